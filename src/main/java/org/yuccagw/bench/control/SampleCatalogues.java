package org.yuccagw.bench.control;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.Limits;
import org.yuccagw.core.catalogue.OperatorKey;
import org.yuccagw.core.catalogue.RequestClass;
import org.yuccagw.core.catalogue.Service;
import org.yuccagw.core.catalogue.Service.ModelSettings;
import org.yuccagw.core.catalogue.SystemLimits;
import org.yuccagw.core.catalogue.Workspace;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.id.WorkspaceId;

/** Whole, valid catalogues of any size for tests and experiments, and single changes of them. */
public final class SampleCatalogues {
    /** The weight version of every model service, before a change. */
    public static final WeightVersion FIRST_VERSION = WeightVersion.of("v1");

    private static final String CLASS = "interactive";

    private SampleCatalogues() {}

    /** Workspaces {@code workspace-0} and so on, no services. */
    public static Catalogue ofWorkspaces(int count) {
        Map<WorkspaceId, Workspace> workspaces = new HashMap<>();
        for (int index = 0; index < count; index++) {
            Workspace workspace = workspace("workspace-" + index, 10);
            workspaces.put(workspace.id(), workspace);
        }
        RequestClass requestClass = new RequestClass(
                CLASS, 0, 1, Duration.ofSeconds(10), Duration.ofMinutes(5), Duration.ofSeconds(5), 1, 1);
        return Catalogue.of(
                0,
                SystemLimits.defaults(),
                Map.of(CLASS, requestClass),
                workspaces,
                Map.of(),
                List.of(new OperatorKey("mari", hash("operator mari"))));
    }

    /** The catalogue with another concurrency limit for one workspace, which is added if need be. */
    public static Catalogue withLimit(Catalogue base, String workspace, int concurrentRequests) {
        Map<WorkspaceId, Workspace> workspaces = new HashMap<>(base.workspaces());
        Workspace changed = workspace(workspace, concurrentRequests);
        workspaces.put(changed.id(), changed);
        return Catalogue.of(
                base.revision(), base.system(), base.classes(), workspaces, base.services(), base.operators());
    }

    /** The catalogue with a model service {@code pool} on the pool of the same name. */
    public static Catalogue withPool(
            Catalogue base, String pool, WeightVersion version, boolean checksFencing, int atOnce, int floor) {
        Map<ServiceName, Service> services = new HashMap<>(base.services());
        Service service = new Service(
                ServiceName.of(pool),
                "serving@example.org",
                CLASS,
                Limits.unlimited(),
                pool,
                checksFencing,
                Optional.of(new ModelSettings(version, "", atOnce, floor, 16, 1024)),
                List.of());
        services.put(service.name(), service);
        return Catalogue.of(
                base.revision(), base.system(), base.classes(), base.workspaces(), services, base.operators());
    }

    private static Workspace workspace(String name, int concurrentRequests) {
        return new Workspace(
                WorkspaceId.of(name),
                "owner@example.org",
                CLASS,
                new Limits(concurrentRequests, 0, 0),
                1,
                List.of(hash("key " + name)),
                hash("secret " + name));
    }

    private static String hash(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }
}
