package org.yuccagw.standins.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.standins.http.StandInJson;

/** Documents that operators and endpoints write into the key-value service, for tests that play their part. */
public final class PlatformDocuments {
    /** Where the configuration lies. */
    public static final String CONFIGURATION = "op/config";

    /** Memory of every engine, in tokens. */
    public static final long ENGINE_TOKENS = 50_000;

    /** When endpoints started that have started once, as Unix time in milliseconds. */
    public static final long FIRST_START_MILLIS = 1_000;

    private final ObjectNode root = StandInJson.object();
    private final List<String> workspaces = new ArrayList<>();

    private PlatformDocuments(long version) {
        root.put("version", version);
        root.putArray("routes");
        root.putArray("services");
        root.putObject("limits").put("maxBodyBytes", 1 << 20).put("headerTimeoutMs", 2_000);
    }

    /** A configuration to which routes and services are added. */
    public static PlatformDocuments configuration(long version) {
        return new PlatformDocuments(version);
    }

    /** A route of the host {@code a.example}; {@code kind} in the platform's word. */
    public PlatformDocuments route(String prefix, String kind, String service, int timeoutMillis, int attempts) {
        ObjectNode route = ((ArrayNode) root.path("routes")).addObject();
        route.put("name", prefix).put("host", "a.example").put("pathPrefix", prefix);
        route.put("kind", kind).put("service", service).put("timeoutMs", timeoutMillis);
        route.put("targetLatencyMs", 200).put("maxAttempts", attempts).put("priority", 1);
        return this;
    }

    /** Lets the streams of the last route be resumed at another endpoint. */
    public PlatformDocuments resumable() {
        last("routes").put("resumable", true).put("sessionAffinity", true).put("gapAimMs", 200);
        return this;
    }

    /** Binds the requests of the last route to regions. */
    public PlatformDocuments homes(String... regions) {
        ArrayNode homes = last("routes").putArray("allowedRegions");
        List.of(regions).forEach(homes::add);
        return this;
    }

    /** Sets the target and the priority of the last route. */
    public PlatformDocuments wanted(int targetMillis, int priority) {
        last("routes").put("targetLatencyMs", targetMillis).put("priority", priority);
        return this;
    }

    /** A service of plain endpoints. */
    public PlatformDocuments plain(String service) {
        ((ArrayNode) root.path("services")).addObject().put("name", service);
        return this;
    }

    /** Bounds what cold endpoints of the last service bear. */
    public PlatformDocuments cold(double lastsSeconds, double perSecond) {
        last("services").put("coldStartS", lastsSeconds).put("coldPerS", perSecond);
        return this;
    }

    /** A service of model engines. */
    public PlatformDocuments engines(String service, String model) {
        ObjectNode engine = ((ArrayNode) root.path("services"))
                .addObject()
                .put("name", service)
                .putObject("engine");
        engine.put("slots", 8).put("kvCapacity", ENGINE_TOKENS).put("tokenKvBytes", 1_000);
        engine.putArray("models").addObject().put("name", model);
        return this;
    }

    /** A managed cache store. */
    public PlatformDocuments store(
            String name, NetworkAddress address, String domain, long tokens, double firstMillis) {
        ((ArrayNode) root.path("services"))
                .addObject()
                .put("name", name)
                .put("kvStoreAddr", address.toString())
                .put("zone", domain)
                .put("kvCapacity", tokens)
                .put("linkMbps", 1_000)
                .put("maxInflight", 12)
                .put("managed", true)
                .put("first_ms", firstMillis);
        return this;
    }

    /** A workspace with one key. */
    public PlatformDocuments workspace(String name, String key, boolean isolated) {
        ArrayNode all = workspaces.isEmpty() ? root.putArray("tenants") : (ArrayNode) root.path("tenants");
        workspaces.add(name);
        ObjectNode workspace = all.addObject().put("name", name).put("isolated", isolated);
        workspace.putArray("apiKeys").add(key);
        return this;
    }

    private ObjectNode last(String list) {
        ArrayNode all = (ArrayNode) root.path(list);
        return (ObjectNode) all.get(all.size() - 1);
    }

    public byte[] bytes() {
        return StandInJson.bytes(root);
    }

    /** The key of an endpoint's registration. */
    public static String endpointKey(String id) {
        return "servers/" + id;
    }

    /** The registration of a plain endpoint at its first start. */
    public static byte[] endpoint(String service, NetworkAddress address, String domain, boolean leaving) {
        return endpoint(service, address, domain, leaving, FIRST_START_MILLIS);
    }

    /** The registration of a plain endpoint that started at a time. */
    public static byte[] endpoint(
            String service, NetworkAddress address, String domain, boolean leaving, long startedMillis) {
        return StandInJson.bytes(registration(service, address, domain, leaving, startedMillis));
    }

    /** The registration of a model engine at its first start. */
    public static byte[] engine(String service, NetworkAddress address, String domain, String model, long version) {
        return engine(service, address, domain, model, version, FIRST_START_MILLIS);
    }

    /** The registration of a model engine that started at a time. */
    public static byte[] engine(
            String service, NetworkAddress address, String domain, String model, long version, long startedMillis) {
        return engine(service, address, domain, model, version, startedMillis, 0);
    }

    /** The registration of a model engine that stays cold for a while. */
    public static byte[] engine(
            String service,
            NetworkAddress address,
            String domain,
            String model,
            long version,
            long startedMillis,
            long coldMillis) {
        ObjectNode registration = registration(service, address, domain, false, startedMillis);
        registration.put("coldLeftMs", coldMillis);
        registration.putArray("models").addObject().put("name", model).put("version", version);
        return StandInJson.bytes(registration);
    }

    /** The key whose presence says that a failure domain is evacuated. */
    public static String evacuationKey(String domain) {
        return "op/evacuate/" + domain;
    }

    /** The key under which weights of a model are named. */
    public static String weightsKey(String model) {
        return "op/version/" + model;
    }

    /** Names weights of a model. */
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
