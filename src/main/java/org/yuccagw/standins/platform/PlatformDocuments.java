package org.yuccagw.standins.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.standins.http.StandInJson;

/** Documents that operators and endpoints write to the key-value service, for tests that simulate them. */
public final class PlatformDocuments {
    /** The key of the configuration. */
    public static final String CONFIGURATION = "op/config";

    /** The cache memory of each engine, in tokens. */
    public static final long ENGINE_TOKENS = 50_000;

    /** More than fit into the memory of the engines of tests, which have no other limit. */
    private static final int ENGINE_SLOTS = 256;

    /** The start time of endpoints that have started once, as Unix time in milliseconds. */
    public static final long FIRST_START_MILLIS = 1_000;

    private final ObjectNode root = StandInJson.object();
    private final List<String> workspaces = new ArrayList<>();

    private PlatformDocuments(long version) {
        root.put("version", version);
        root.putArray("routes");
        root.putArray("services");
        root.putObject("limits").put("maxBodyBytes", 1 << 20).put("headerTimeoutMs", 2_000);
    }

    /** Creates a configuration without routes and services. */
    public static PlatformDocuments configuration(long version) {
        return new PlatformDocuments(version);
    }

    /** Adds a route of the host {@code a.example}; {@code kind} is a value of the platform's field of this name. */
    public PlatformDocuments route(String prefix, String kind, String service, int timeoutMillis, int attempts) {
        ObjectNode route = ((ArrayNode) root.path("routes")).addObject();
        route.put("name", prefix).put("host", "a.example").put("pathPrefix", prefix);
        route.put("kind", kind).put("service", service).put("timeoutMs", timeoutMillis);
        route.put("targetLatencyMs", 200).put("maxAttempts", attempts).put("priority", 1);
        return this;
    }

    /** Makes the streams of the last route resumable at another endpoint. */
    public PlatformDocuments resumable() {
        last("routes").put("resumable", true).put("sessionAffinity", true).put("gapAimMs", 200);
        return this;
    }

    /** Sets the longest pause between events for which a stream of the last route is on time. */
    public PlatformDocuments eventGap(int millis) {
        last("routes").put("gapAimMs", millis);
        return this;
    }

    /** Restricts the requests of the last route to regions. */
    public PlatformDocuments allowedRegions(String... regions) {
        ArrayNode allowedRegions = last("routes").putArray("allowedRegions");
        List.of(regions).forEach(allowedRegions::add);
        return this;
    }

    /** Sets the latency target and the priority of the last route. */
    public PlatformDocuments latencyTarget(int targetMillis, int priority) {
        last("routes").put("targetLatencyMs", targetMillis).put("priority", priority);
        return this;
    }

    /** Adds a service of plain endpoints. */
    public PlatformDocuments plain(String service) {
        ((ArrayNode) root.path("services")).addObject().put("name", service);
        return this;
    }

    /** Sets the duration of a cold start and the request rate of cold endpoints for the last service. */
    public PlatformDocuments coldStart(double durationSeconds, double perSecond) {
        last("services").put("coldStartS", durationSeconds).put("coldPerS", perSecond);
        return this;
    }

    /** Adds a service of model engines, which run as many requests at once as their memory holds. */
    public PlatformDocuments engines(String service, String model) {
        ObjectNode engine = ((ArrayNode) root.path("services"))
                .addObject()
                .put("name", service)
                .putObject("engine");
        engine.put("slots", ENGINE_SLOTS).put("kvCapacity", ENGINE_TOKENS).put("tokenKvBytes", 1_000);
        engine.putArray("models").addObject().put("name", model);
        return this;
    }

    /** Adds a managed cache store. */
    public PlatformDocuments store(
            String name, NetworkAddress address, String domain, long tokens, double startLatencyMillis) {
        ((ArrayNode) root.path("services"))
                .addObject()
                .put("name", name)
                .put("kvStoreAddr", address.toString())
                .put("zone", domain)
                .put("kvCapacity", tokens)
                .put("linkMbps", 1_000)
                .put("maxInflight", 12)
                .put("managed", true)
                .put("first_ms", startLatencyMillis);
        return this;
    }

    /** Adds a workspace with one key. */
    public PlatformDocuments workspace(String name, String key, boolean isolated) {
        ArrayNode all = workspaces.isEmpty() ? root.putArray("tenants") : (ArrayNode) root.path("tenants");
        workspaces.add(name);
        ObjectNode workspace = all.addObject().put("name", name).put("isolated", isolated);
        workspace.putArray("apiKeys").add(key);
        return this;
    }

    /** States that keys are required, though no workspace may have been added. */
    public PlatformDocuments keysRequired() {
        root.withArray("tenants");
        return this;
    }

    private ObjectNode last(String list) {
        ArrayNode all = (ArrayNode) root.path(list);
        return (ObjectNode) all.get(all.size() - 1);
    }

    /** Returns the configuration as JSON. */
    public byte[] bytes() {
        return StandInJson.bytes(root);
    }

    /** Returns the key of the registration of an endpoint. */
    public static String endpointKey(String id) {
        return "servers/" + id;
    }

    /** Returns the registration of a plain endpoint after its first start. */
    public static byte[] endpoint(String service, NetworkAddress address, String domain, boolean leaving) {
        return endpoint(service, address, domain, leaving, FIRST_START_MILLIS);
    }

    /** Returns a registration with another version of the endpoint's software. */
    public static byte[] withSoftware(String software, byte[] registration) {
        ObjectNode changed = (ObjectNode) StandInJson.parse(registration);
        return StandInJson.bytes(changed.put("version", software));
    }

    /** Returns the registration of a plain endpoint with a start time. */
    public static byte[] endpoint(
            String service, NetworkAddress address, String domain, boolean leaving, long startedMillis) {
        return StandInJson.bytes(registration(service, address, domain, leaving, startedMillis));
    }

    /** Returns the registration of a model engine after its first start. */
    public static byte[] engine(String service, NetworkAddress address, String domain, String model, long version) {
        return engine(service, address, domain, model, version, FIRST_START_MILLIS);
    }

    /** Returns the registration of a model engine with a start time. */
    public static byte[] engine(
            String service, NetworkAddress address, String domain, String model, long version, long startedMillis) {
        return engine(service, address, domain, model, version, startedMillis, 0);
    }

    /** Returns the registration of a model engine with a start time and a remaining cold start duration. */
    public static byte[] engine(
            String service,
            NetworkAddress address,
            String domain,
            String model,
            long version,
            long startedMillis,
            long remainingColdMillis) {
        ObjectNode registration = registration(service, address, domain, false, startedMillis);
        registration.put("coldLeftMs", remainingColdMillis);
        registration.putArray("models").addObject().put("name", model).put("version", version);
        return StandInJson.bytes(registration);
    }

    /** Returns the key whose presence marks a failure domain as evacuated. */
    public static String evacuationKey(String domain) {
        return "op/evacuate/" + domain;
    }

    /** Returns the key of the requested weight version of a model. */
    public static String weightsKey(String model) {
        return "op/version/" + model;
    }

    /** Returns the document that requests a weight version of a model. */
    public static byte[] weights(String model, long version) {
        return StandInJson.bytes(StandInJson.object().put("model", model).put("version", version));
    }

    private static ObjectNode registration(
            String service, NetworkAddress address, String domain, boolean leaving, long startedMillis) {
        return StandInJson.object()
                .put("service", service)
                .put("address", address.toString())
                .put("zone", domain)
                .put("version", "v1")
                .put("slots", 4)
                .put("state", leaving ? "draining" : "ready")
                .put("coldLeftMs", 0)
                .put("sequence", 1)
                .put("born", startedMillis);
    }
}
