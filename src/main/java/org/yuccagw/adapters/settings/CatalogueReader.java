package org.yuccagw.adapters.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.Limits;
import org.yuccagw.core.catalogue.OperatorKey;
import org.yuccagw.core.catalogue.RequestClass;
import org.yuccagw.core.catalogue.Service;
import org.yuccagw.core.catalogue.Service.ModelSettings;
import org.yuccagw.core.catalogue.Service.Operation;
import org.yuccagw.core.catalogue.SystemLimits;
import org.yuccagw.core.catalogue.Workspace;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.id.WorkspaceId;

/**
 * Reads one catalogue document and checks the constraints between its fields: every class that is referenced is
 * defined, and no key belongs to two workspaces, because the workspace of a request would be ambiguous.
 *
 * <p>Optional fields: without {@code system} the default limits apply, without {@code limits} there are none, without
 * {@code class} a service uses the class of the calling workspace, and without {@code model} a service is a plain one.
 */
final class CatalogueReader {
    /** Upper bound of counts, and of priorities by their absolute value. */
    private static final int MAX_COUNT = 1_000_000;

    private static final int MIN_SECRET_CHARACTERS = 16;
    private static final List<String> METHODS = List.of("*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE");

    private final Map<String, String> workspaceByKeyHash = new HashMap<>();
    private Map<String, RequestClass> classes = Map.of();

    private CatalogueReader() {}

    static Catalogue read(byte[] document) throws YuccagwException {
        StrictObject root = StrictObject.parse(
                document,
                ErrorKind.CATALOGUE_INVALID,
                "revision",
                "system",
                "classes",
                "workspaces",
                "services",
                "operators");
        return new CatalogueReader().readRoot(root);
    }

    private Catalogue readRoot(StrictObject root) throws YuccagwException {
        long revision = root.has("revision") ? root.wholeNumber("revision", 0, Long.MAX_VALUE) : 0;
        SystemLimits system = root.has("system") ? readSystem(root) : SystemLimits.defaults();
        classes = readClasses(root);
        return Catalogue.of(revision, system, classes, readWorkspaces(root), readServices(root), readOperators(root));
    }

    private static SystemLimits readSystem(StrictObject root) throws YuccagwException {
        StrictObject system = root.object(
                "system",
                "shards",
                "claim_retention_ms",
                "quarantine_ms",
                "retry_budget",
                "retry_earn",
                "freshness_limit_ms",
                "resume_grace_ms");
        return new SystemLimits(
                system.integer("shards", 1, 4096),
                system.duration("claim_retention_ms"),
                system.duration("quarantine_ms"),
                system.integer("retry_budget", 0, MAX_COUNT),
                system.decimal("retry_earn"),
                system.duration("freshness_limit_ms"),
                system.duration("resume_grace_ms"));
    }

    private static Map<String, RequestClass> readClasses(StrictObject root) throws YuccagwException {
        Map<String, StrictObject> objects = root.namedObjects(
                "classes",
                "priority",
                "weight",
                "first_token_deadline_ms",
                "answer_deadline_ms",
                "progress_timeout_ms",
                "first_token_weight",
                "recompute_weight");
        Map<String, RequestClass> classes = new LinkedHashMap<>();
        for (Map.Entry<String, StrictObject> entry : objects.entrySet()) {
            StrictObject object = entry.getValue();
            RequestClass requestClass = new RequestClass(
                    entry.getKey(),
                    object.integer("priority", -MAX_COUNT, MAX_COUNT),
                    object.positiveDecimal("weight"),
                    object.duration("first_token_deadline_ms"),
                    object.duration("answer_deadline_ms"),
                    object.duration("progress_timeout_ms"),
                    object.decimal("first_token_weight"),
                    object.decimal("recompute_weight"));
            if (requestClass.firstTokenWeight() + requestClass.recomputeWeight() == 0) {
                throw object.error("first_token_weight", "one of first_token_weight and recompute_weight is above 0");
            }
            classes.put(entry.getKey(), requestClass);
        }
        return classes;
    }

    private Map<WorkspaceId, Workspace> readWorkspaces(StrictObject root) throws YuccagwException {
        Map<String, StrictObject> objects =
                root.namedObjects("workspaces", "owner", "class", "limits", "weight", "key_hashes", "cache_secret");
        Map<WorkspaceId, Workspace> workspaces = new LinkedHashMap<>();
        for (Map.Entry<String, StrictObject> entry : objects.entrySet()) {
            StrictObject object = entry.getValue();
            WorkspaceId id = WorkspaceId.of(entry.getKey());
            workspaces.put(
                    id,
                    new Workspace(
                            id,
                            object.nonBlankText("owner"),
                            readClassName(object),
                            readLimits(object),
                            object.positiveDecimal("weight"),
                            readKeyHashes(entry.getKey(), object),
                            readSecret(object)));
        }
        return workspaces;
    }

    private List<String> readKeyHashes(String workspace, StrictObject object) throws YuccagwException {
        List<String> hashes = object.keyHashes("key_hashes");
        for (String hash : hashes) {
            String other = workspaceByKeyHash.putIfAbsent(hash, workspace);
            if (other != null) {
                throw object.error("key_hashes", "a key of this list is given to workspace '" + other + "' already");
            }
        }
        return hashes;
    }

    private static String readSecret(StrictObject object) throws YuccagwException {
        String secret = object.text("cache_secret");
        if (secret.length() < MIN_SECRET_CHARACTERS) {
            throw object.error(
                    "cache_secret", "expected at least " + MIN_SECRET_CHARACTERS + " characters, chosen at random");
        }
        return secret;
    }

    private Map<ServiceName, Service> readServices(StrictObject root) throws YuccagwException {
        Map<String, StrictObject> objects = root.namedObjects(
                "services", "owner", "class", "limits", "pool", "checks_fencing", "model", "non_idempotent_operations");
        Map<ServiceName, Service> services = new LinkedHashMap<>();
        for (Map.Entry<String, StrictObject> entry : objects.entrySet()) {
            StrictObject object = entry.getValue();
            ServiceName name = ServiceName.of(entry.getKey());
            services.put(
                    name,
                    new Service(
                            name,
                            object.nonBlankText("owner"),
                            object.has("class") ? readClassName(object) : "",
                            readLimits(object),
                            object.name("pool"),
                            object.flag("checks_fencing"),
                            object.has("model") ? Optional.of(readModel(object)) : Optional.empty(),
                            object.has("non_idempotent_operations") ? readOperations(object) : List.of()));
        }
        return services;
    }

    private static ModelSettings readModel(StrictObject service) throws YuccagwException {
        StrictObject model = service.object(
                "model", "version", "adapter", "swaps_at_once", "replica_floor", "block_tokens", "bytes_per_token");
        return new ModelSettings(
                WeightVersion.of(model.name("version")),
                model.optionalText("adapter").orElse(""),
                model.integer("swaps_at_once", 1, MAX_COUNT),
                model.integer("replica_floor", 0, MAX_COUNT),
                model.integer("block_tokens", 1, MAX_COUNT),
                model.integer("bytes_per_token", 1, Integer.MAX_VALUE));
    }

    private static List<Operation> readOperations(StrictObject service) throws YuccagwException {
        List<Operation> operations = new ArrayList<>();
        for (StrictObject object : service.objects("non_idempotent_operations", "method", "path_prefix")) {
            String method = object.text("method");
            if (!METHODS.contains(method)) {
                throw object.error("method", "expected one of " + METHODS + ", found \"" + method + "\"");
            }
            String prefix = object.text("path_prefix");
            if (!prefix.startsWith("/")) {
                throw object.error("path_prefix", "expected a path that begins with '/', found \"" + prefix + "\"");
            }
            operations.add(new Operation(method, prefix));
        }
        return operations;
    }

    private static List<OperatorKey> readOperators(StrictObject root) throws YuccagwException {
        List<OperatorKey> operators = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (StrictObject object : root.objects("operators", "name", "key_hash")) {
            OperatorKey operator = new OperatorKey(object.name("name"), object.keyHash("key_hash"));
            if (!names.add(operator.name())) {
                throw object.error("name", "operator '" + operator.name() + "' stands twice: give each its own name");
            }
            operators.add(operator);
        }
        if (operators.isEmpty()) {
            throw root.error("operators", "expected at least one operator, or nobody could edit the catalogue again");
        }
        return operators;
    }

    private String readClassName(StrictObject object) throws YuccagwException {
        String name = object.name("class");
        if (!classes.containsKey(name)) {
            String known =
                    classes.isEmpty() ? "define it under 'classes'" : "did you mean '" + nearestClass(name) + "'?";
            throw object.error("class", "no class is named '" + name + "', " + known);
        }
        return name;
    }

    private String nearestClass(String name) {
        return NearestName.of(name, classes.keySet());
    }

    private static Limits readLimits(StrictObject object) throws YuccagwException {
        if (!object.has("limits")) {
            return Limits.unlimited();
        }
        StrictObject limits =
                object.object("limits", "concurrent_requests", "requests_per_second", "tokens_per_second");
        return new Limits(
                limits.has("concurrent_requests") ? limits.integer("concurrent_requests", 0, MAX_COUNT) : 0,
                limits.has("requests_per_second") ? limits.decimal("requests_per_second") : 0,
                limits.has("tokens_per_second") ? limits.decimal("tokens_per_second") : 0);
    }
}
