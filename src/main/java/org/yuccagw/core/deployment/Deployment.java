package org.yuccagw.core.deployment;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.WorkspaceId;

/**
 * One version of the operators' configuration, with the look-ups that each request needs.
 *
 * <p>A request belongs to the route of its host that has the longest matching path prefix. The routes of a host are
 * sorted by descending length of their prefix, so the first match is the right one.
 *
 * <p>Example: with routes {@code /a/} and {@code /a/b/}, the path {@code /a/b/c} belongs to the second, {@code /a/x} to
 * the first, and {@code /b/} to none.
 */
public final class Deployment {
    private final long version;
    private final ImmutableMap<String, ImmutableList<Route>> routesByHost;
    private final ImmutableMap<ServiceName, BackEndService> services;
    private final ImmutableList<CacheStore> stores;
    private final ImmutableMap<String, Route> routesByName;
    private final ImmutableMap<String, WorkspaceAccess> workspacesByKey;
    private final ImmutableMap<WorkspaceId, WorkspaceAccess> workspacesById;
    private final ImmutableMap<ServiceName, Duration> shortestTargets;
    private final boolean keysRequired;
    private final RequestLimits limits;

    private Deployment(
            long version,
            List<Route> routes,
            List<BackEndService> services,
            List<CacheStore> stores,
            Optional<List<WorkspaceAccess>> workspaces,
            RequestLimits limits) {
        List<WorkspaceAccess> known = workspaces.orElse(List.of());
        this.version = version;
        this.routesByHost = byHost(routes);
        this.services = byName(services);
        this.shortestTargets = shortestTargets(routes);
        this.stores = ImmutableList.copyOf(stores);
        this.routesByName =
                routes.stream().collect(ImmutableMap.toImmutableMap(Route::name, route -> route, (one, other) -> one));
        this.workspacesByKey = byKey(known);
        this.workspacesById = known.stream()
                .collect(ImmutableMap.toImmutableMap(WorkspaceAccess::id, access -> access, (one, other) -> one));
        this.keysRequired = workspaces.isPresent();
        this.limits = limits;
    }

    /**
     * Creates a configuration.
     *
     * @param workspaces those whose keys are accepted, perhaps none; empty if callers need no key
     */
    public static Deployment of(
            long version,
            List<Route> routes,
            List<BackEndService> services,
            List<CacheStore> stores,
            Optional<List<WorkspaceAccess>> workspaces,
            RequestLimits limits) {
        return new Deployment(version, routes, services, stores, workspaces, limits);
    }

    /** Returns the version, which is higher for each change by operators. */
    public long version() {
        return version;
    }

    /**
     * Returns the route of a request.
     *
     * @param host as the caller sent it, with or without a port
     */
    public Optional<Route> route(String host, String path) {
        ImmutableList<Route> routes = routesByHost.getOrDefault(hostName(host), ImmutableList.of());
        return routes.stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /** Returns the route with this name. */
    public Optional<Route> routeNamed(String name) {
        return Optional.ofNullable(routesByName.get(name));
    }

    public Optional<WorkspaceAccess> workspace(WorkspaceId id) {
        return Optional.ofNullable(workspacesById.get(id));
    }

    /** Returns whether callers must send a key, except on open routes. */
    public boolean keysRequired() {
        return keysRequired;
    }

    public Optional<WorkspaceAccess> workspaceOf(String key) {
        return Optional.ofNullable(workspacesByKey.get(key));
    }

    public Optional<BackEndService> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns the shortest target time to the first byte over the streaming routes of the service, or empty if it has
     * none.
     */
    public Optional<Duration> shortestTarget(ServiceName service) {
        return Optional.ofNullable(shortestTargets.get(service));
    }

    public ImmutableMap<ServiceName, BackEndService> services() {
        return services;
    }

    public ImmutableList<CacheStore> stores() {
        return stores;
    }

    public RequestLimits limits() {
        return limits;
    }

    public int routeCount() {
        return routesByHost.values().stream().mapToInt(List::size).sum();
    }

    private static String hostName(String host) {
        int colon = host.lastIndexOf(':');
        String name = colon > 0 && host.indexOf(']') < colon ? host.substring(0, colon) : host;
        return name.toLowerCase(Locale.ROOT);
    }

    private static ImmutableMap<String, ImmutableList<Route>> byHost(List<Route> routes) {
        Map<String, List<Route>> routeGroups = new LinkedHashMap<>();
        for (Route route : routes) {
            routeGroups
                    .computeIfAbsent(hostName(route.host()), host -> new ArrayList<>())
                    .add(route);
        }
        ImmutableMap.Builder<String, ImmutableList<Route>> sorted = ImmutableMap.builder();
        Comparator<Route> longestFirst = Comparator.comparingInt(
                        (Route route) -> route.pathPrefix().length())
                .reversed();
        routeGroups.forEach((host, group) -> sorted.put(host, ImmutableList.sortedCopyOf(longestFirst, group)));
        return sorted.buildOrThrow();
    }

    private static ImmutableMap<ServiceName, Duration> shortestTargets(List<Route> routes) {
        Map<ServiceName, Duration> targets = new LinkedHashMap<>();
        for (Route route : routes) {
            if (route.streamed()) {
                route.shares().forEach(share -> targets.merge(share.service(), route.target(), Comparators::min));
            }
        }
        return ImmutableMap.copyOf(targets);
    }

    private static ImmutableMap<ServiceName, BackEndService> byName(List<BackEndService> services) {
        Map<ServiceName, BackEndService> servicesByName = new LinkedHashMap<>();
        services.forEach(service -> servicesByName.put(service.name(), service));
        return ImmutableMap.copyOf(servicesByName);
    }

    private static ImmutableMap<String, WorkspaceAccess> byKey(List<WorkspaceAccess> workspaces) {
        Map<String, WorkspaceAccess> accessByKey = new HashMap<>();
        for (WorkspaceAccess workspace : workspaces) {
            workspace.keys().forEach(key -> accessByKey.put(key, workspace));
        }
        return ImmutableMap.copyOf(accessByKey);
    }
}
