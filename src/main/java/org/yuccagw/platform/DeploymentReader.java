package org.yuccagw.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.yuccagw.core.deployment.BackEndService;
import org.yuccagw.core.deployment.CacheStore;
import org.yuccagw.core.deployment.ColdTraits;
import org.yuccagw.core.deployment.Deployment;
import org.yuccagw.core.deployment.EngineTraits;
import org.yuccagw.core.deployment.PermittedRegions;
import org.yuccagw.core.deployment.RequestLimits;
import org.yuccagw.core.deployment.Route;
import org.yuccagw.core.deployment.RouteKind;
import org.yuccagw.core.deployment.ServiceShare;
import org.yuccagw.core.deployment.WorkspaceAccess;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.Region;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.StoreId;
import org.yuccagw.core.id.WorkspaceId;

/** Reads the operators' configuration. Fields that this version doesn't know are passed over. */
final class DeploymentReader {
    private static final int USUAL_HEADER_BYTES = 16 * 1024;
    private static final int USUAL_BODY_BYTES = 4 * 1024 * 1024;
    private static final int USUAL_HEADER_MILLIS = 5_000;
    private static final int USUAL_IDLE_MILLIS = 60_000;
    private static final int USUAL_TIMEOUT_MILLIS = 30_000;
    private static final int USUAL_TARGET_MILLIS = 500;
    private static final int USUAL_GAP_MILLIS = 500;
    private static final int USUAL_WATCHERS = 4;
    private static final int MILLIS_IN_SECOND = 1_000;

    private DeploymentReader() {}

    static Deployment read(JsonNode document) {
        List<Route> routes = new ArrayList<>();
        document.path("routes").forEach(route -> routes.add(readRoute(route)));
        List<BackEndService> services = new ArrayList<>();
        List<CacheStore> stores = new ArrayList<>();
        for (JsonNode service : document.path("services")) {
            if (service.hasNonNull("kvStoreAddr")) {
                stores.add(readStore(service));
            } else {
                services.add(readService(service));
            }
        }
        List<WorkspaceAccess> workspaces = new ArrayList<>();
        document.path("tenants").forEach(workspace -> workspaces.add(readWorkspace(workspace)));
        return Deployment.of(
                document.required("version").asLong(),
                routes,
                services,
                stores,
                workspaces,
                readLimits(document.path("limits")));
    }

    private static Route readRoute(JsonNode route) {
        ImmutableList.Builder<ServiceShare> shares = ImmutableList.builder();
        JsonNode split = route.path("trafficSplit");
        if (split.isEmpty()) {
            shares.add(new ServiceShare(ServiceName.of(route.required("service").asText()), 1));
        } else {
            split.forEach(share -> shares.add(new ServiceShare(
                    ServiceName.of(share.required("service").asText()),
                    share.path("weight").asInt(1))));
        }
        return new Route(
                route.path("name").asText(""),
                route.required("host").asText(),
                route.required("pathPrefix").asText(),
                readKind(route.required("kind").asText()),
                millis(route, "timeoutMs", USUAL_TIMEOUT_MILLIS),
                millis(route, "targetLatencyMs", USUAL_TARGET_MILLIS),
                millis(route, "gapAimMs", USUAL_GAP_MILLIS),
                route.path("priority").asInt(0),
                shares.build(),
                Math.max(1, route.path("maxAttempts").asInt(1)),
                route.path("noAuth").asBoolean(false),
                route.path("sessionAffinity").asBoolean(false),
                route.path("resumable").asBoolean(false),
                readHomes(route));
    }

    private static RouteKind readKind(String word) {
        return switch (word) {
            case "idempotent" -> RouteKind.IDEMPOTENT;
            case "streaming" -> RouteKind.STREAM;
            // The safe reading of a word that isn't known: never run it twice.
            default -> RouteKind.NON_IDEMPOTENT;
        };
    }

    private static BackEndService readService(JsonNode service) {
        return new BackEndService(
                ServiceName.of(service.required("name").asText()),
                service.hasNonNull("engine") ? Optional.of(readEngine(service.path("engine"))) : Optional.empty(),
                service.path("maxConnections").asInt(0),
                service.path("healthPath").asText(""),
                readCold(service));
    }

    private static ColdTraits readCold(JsonNode service) {
        long millis = Math.round(service.path("coldStartS").asDouble(0) * MILLIS_IN_SECOND);
        return new ColdTraits(
                Duration.ofMillis(millis), service.path("coldPerS").asDouble(0));
    }

    private static EngineTraits readEngine(JsonNode engine) {
        ImmutableList.Builder<String> models = ImmutableList.builder();
        engine.path("models").forEach(model -> models.add(model.path("name").asText("")));
        return new EngineTraits(
                engine.path("slots").asInt(1),
                engine.path("kvCapacity").asLong(Long.MAX_VALUE / 2),
                engine.path("tokenKvBytes").asLong(0),
                engine.path("linkMbps").asDouble(0),
                engine.path("maxInflight").asInt(USUAL_WATCHERS),
                models.build());
    }

    private static CacheStore readStore(JsonNode store) {
        return new CacheStore(
                StoreId.of(store.required("name").asText()),
                NetworkAddress.parse(store.required("kvStoreAddr").asText()),
                FailureDomain.of(store.required("zone").asText()),
                store.path("kvCapacity").asLong(0),
                store.path("linkMbps").asDouble(0),
                store.path("maxInflight").asInt(USUAL_WATCHERS),
                store.path("managed").asBoolean(false),
                store.path("first_ms").asDouble(0));
    }

    private static WorkspaceAccess readWorkspace(JsonNode workspace) {
        ImmutableSet.Builder<String> keys = ImmutableSet.builder();
        workspace.path("apiKeys").forEach(key -> keys.add(key.asText()));
        OptionalInt priority = workspace.hasNonNull("priority")
                ? OptionalInt.of(workspace.path("priority").asInt())
                : OptionalInt.empty();
        return new WorkspaceAccess(
                WorkspaceId.of(workspace.required("name").asText()),
                keys.build(),
                priority,
                workspace.path("isolated").asBoolean(false),
                readHomes(workspace));
    }

    private static PermittedRegions readHomes(JsonNode object) {
        List<Region> regions = new ArrayList<>();
        object.path("allowedRegions").forEach(region -> regions.add(Region.of(region.asText())));
        return PermittedRegions.in(regions);
    }

    private static RequestLimits readLimits(JsonNode limits) {
        return new RequestLimits(
                limits.path("maxHeaderBytes").asInt(USUAL_HEADER_BYTES),
                limits.path("maxBodyBytes").asInt(USUAL_BODY_BYTES),
                millis(limits, "headerTimeoutMs", USUAL_HEADER_MILLIS),
                millis(limits, "idleTimeoutMs", USUAL_IDLE_MILLIS));
    }

    private static Duration millis(JsonNode object, String field, int usual) {
        return Duration.ofMillis(object.path(field).asLong(usual));
    }
}
