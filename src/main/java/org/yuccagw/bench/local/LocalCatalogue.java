package org.yuccagw.bench.local;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.Limits;
import org.yuccagw.core.catalogue.OperatorKey;
import org.yuccagw.core.catalogue.RequestClass;
import org.yuccagw.core.catalogue.Service;
import org.yuccagw.core.catalogue.SystemLimits;
import org.yuccagw.core.catalogue.Workspace;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.id.WorkspaceId;

/** The catalogue of a local deployment: two workspaces, a model service, and a plain service. */
public final class LocalCatalogue {
    /** Bearer key of an operator. */
    public static final String OPERATOR_KEY = "local-operator-key";

    /** Name of the model service and its pool. */
    public static final String MODEL = "assistant";

    /** Name of the plain service and its pool. */
    public static final String PLAIN = "notebook";

    /** Weight version that engines start with. */
    public static final WeightVersion VERSION = WeightVersion.of("v1");

    static final int BLOCK_TOKENS = 16;

    /** Cache bytes of one prompt token when it is moved. */
    public static final int BYTES_PER_TOKEN = 64;

    private static final String CLASS = "interactive";

    private LocalCatalogue() {}

    /** The bearer key of a workspace of this catalogue. */
    public static String workspaceKey(String workspace) {
        return "local-key-of-" + workspace;
    }

    public static Catalogue usual() {
        return withWorkspaces(List.of("statistics", "ministry"), Limits.unlimited());
    }

    /** The usual catalogue with these workspaces, all with the same limits. */
    public static Catalogue withWorkspaces(List<String> names, Limits limits) {
        RequestClass interactive = new RequestClass(
                CLASS, 0, 1, Duration.ofSeconds(20), Duration.ofMinutes(5), Duration.ofSeconds(5), 1, 1);
        Map<WorkspaceId, Workspace> workspaces = names.stream()
                .map(name -> workspace(name, limits))
                .collect(java.util.stream.Collectors.toMap(Workspace::id, workspace -> workspace));
        return Catalogue.of(
                0,
                SystemLimits.defaults(),
                Map.of(CLASS, interactive),
                workspaces,
                Map.of(ServiceName.of(MODEL), model(), ServiceName.of(PLAIN), plain()),
                List.of(new OperatorKey("operator", hash(OPERATOR_KEY))));
    }

    static String hash(String key) {
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    }

    private static Workspace workspace(String name, Limits limits) {
        return new Workspace(
                WorkspaceId.of(name),
                name + "@example.org",
                CLASS,
                limits,
                1,
                List.of(hash(workspaceKey(name))),
                "cache-secret-of-" + name);
    }

    private static Service model() {
        return new Service(
                ServiceName.of(MODEL),
                "assistant@example.org",
                CLASS,
                Limits.unlimited(),
                MODEL,
                true,
                Optional.of(new Service.ModelSettings(VERSION, "", 2, 1, BLOCK_TOKENS, BYTES_PER_TOKEN)),
                List.of());
    }

    private static Service plain() {
        return new Service(
                ServiceName.of(PLAIN),
                "platform@example.org",
                CLASS,
                Limits.unlimited(),
                PLAIN,
                false,
                Optional.empty(),
                List.of(new Service.Operation("POST", "/label")));
    }
}
