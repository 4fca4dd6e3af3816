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

/** Reads the operators' configuration. Fields that are unknown to this version are ignored. */
final class DeploymentReader {
    private static final int DEFAULT_MAX_HEADER_BYTES = 16 * 1024;
    private static final int DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final int DEFAULT_HEADER_TIMEOUT_MILLIS = 5_000;
    private static final int DEFAULT_IDLE_TIMEOUT_MILLIS = 60_000;
    private static final int DEFAULT_ROUTE_TIMEOUT_MILLIS = 30_000;
    private static final int DEFAULT_TARGET_LATENCY_MILLIS = 500;
    private static final int DEFAULT_TARGET_GAP_MILLIS = 500;
    private static final int DEFAULT_MAX_INFLIGHT = 4;
    private static final int MILLIS_PER_SECOND = 1_000;

    private static final String WORKSPACES = "tenants";

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
        return Deployment.of(
                document.required("version").asLong(),
                routes,
                services,
                stores,
                readWorkspaces(document),
                readLimits(document.path("limits")));
    }

    private static Route readRoute(JsonNode route) {
        ImmutableList.Builder<ServiceShare> shares = ImmutableList.builder();
        JsonNode trafficSplit = route.path("trafficSplit");
        if (trafficSplit.isEmpty()) {
            shares.add(new ServiceShare(ServiceName.of(route.required("service").asText()), 1));
        } else {
            trafficSplit.forEach(share -> shares.add(new ServiceShare(
                    ServiceName.of(share.required("service").asText()),
                    share.path("weight").asInt(1))));
        }
        return new Route(
                route.path("name").asText(""),
                route.required("host").asText(),
                route.required("pathPrefix").asText(),
                readKind(route.required("kind").asText()),
                readMillis(route, "timeoutMs", DEFAULT_ROUTE_TIMEOUT_MILLIS),
                readMillis(route, "targetLatencyMs", DEFAULT_TARGET_LATENCY_MILLIS),
                readMillis(route, "gapAimMs", DEFAULT_TARGET_GAP_MILLIS),
                route.path("priority").asInt(0),
                shares.build(),
                Math.max(1, route.path("maxAttempts").asInt(1)),
                route.path("noAuth").asBoolean(false),
                route.path("sessionAffinity").asBoolean(false),
                route.path("resumable").asBoolean(false),
                readAllowedRegions(route));
    }

    private static RouteKind readKind(String kind) {
        return switch (kind) {
            case "idempotent" -> RouteKind.IDEMPOTENT;
            case "streaming" -> RouteKind.STREAM;
            // The safe default for an unknown kind: its requests never run twice.
            default -> RouteKind.NON_IDEMPOTENT;
        };
    }

    private static BackEndService readService(JsonNode service) {
        return new BackEndService(
                ServiceName.of(service.required("name").asText()),
                service.hasNonNull("engine") ? Optional.of(readEngine(service.path("engine"))) : Optional.empty(),
                service.path("maxConnections").asInt(0),
                service.path("healthPath").asText(""),
                readColdStart(service));
    }

    private static ColdTraits readColdStart(JsonNode service) {
        long millis = Math.round(service.path("coldStartS").asDouble(0) * MILLIS_PER_SECOND);
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
                engine.path("maxInflight").asInt(DEFAULT_MAX_INFLIGHT),
                models.build());
    }

    private static CacheStore readStore(JsonNode store) {
        return new CacheStore(
                StoreId.of(store.required("name").asText()),
                NetworkAddress.parse(store.required("kvStoreAddr").asText()),
                FailureDomain.of(store.required("zone").asText()),
                store.path("kvCapacity").asLong(0),
                store.path("linkMbps").asDouble(0),
                store.path("maxInflight").asInt(DEFAULT_MAX_INFLIGHT),
                store.path("managed").asBoolean(false),
                store.path("first_ms").asDouble(0));
    }

    /** Returns the workspaces; empty only if the field is absent, since an empty list leaves no key in force. */
    private static Optional<List<WorkspaceAccess>> readWorkspaces(JsonNode document) {
        if (!document.has(WORKSPACES)) {
            return Optional.empty();
        }
        List<WorkspaceAccess> workspaces = new ArrayList<>();
        document.path(WORKSPACES).forEach(workspace -> workspaces.add(readWorkspace(workspace)));
        return Optional.of(workspaces);
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
                readAllowedRegions(workspace));
    }

    private static PermittedRegions readAllowedRegions(JsonNode object) {
        List<Region> regions = new ArrayList<>();
        object.path("allowedRegions").forEach(region -> regions.add(Region.of(region.asText())));
        return PermittedRegions.in(regions);
    }

    private static RequestLimits readLimits(JsonNode limits) {
        return new RequestLimits(
                limits.path("maxHeaderBytes").asInt(DEFAULT_MAX_HEADER_BYTES),
                limits.path("maxBodyBytes").asInt(DEFAULT_MAX_BODY_BYTES),
                readMillis(limits, "headerTimeoutMs", DEFAULT_HEADER_TIMEOUT_MILLIS),
                readMillis(limits, "idleTimeoutMs", DEFAULT_IDLE_TIMEOUT_MILLIS));
    }

    private static Duration readMillis(JsonNode object, String field, int defaultMillis) {
        return Duration.ofMillis(object.path(field).asLong(defaultMillis));
    }
}
