package org.yuccagw.core.routing;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Optional;
import org.yuccagw.core.cache.CacheSettings;
import org.yuccagw.core.cache.PromptTree;
import org.yuccagw.core.cache.ReplicaIndex;
import org.yuccagw.core.cache.StoredPrefix;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.routing.RouteRequested.Query;

/**
 * The routing policies by name: the default policy and simpler policies as baselines for comparison.
 *
 * <p>A policy defines how the endpoint is chosen, and also when cache blocks are exported and evicted.
 */
public final class RoutePolicies {
    /** Name of the default policy. */
    public static final String PREDICTED_FIRST_TOKEN = PredictedFirstToken.NAME;

    public static final String RANDOM = "random";
    public static final String LEAST_LOADED = "least-loaded";
    public static final String AFFINITY = "affinity";
    public static final String AFFINITY_ALWAYS_EXPORT = "affinity-always-export";

    /** An affinity policy skips a preferred endpoint whose load exceeds the mean load by more than this factor. */
    private static final double LOAD_BOUND_FACTOR = 1.25;

    private static final int PREFERRED_ENDPOINTS = 4;

    private static final ImmutableMap<String, RoutingPolicy> BY_NAME = ImmutableMap.of(
            PREDICTED_FIRST_TOKEN,
            PredictedFirstToken.create(),
            RANDOM,
            RoutePolicies::atRandom,
            LEAST_LOADED,
            RoutePolicies::leastLoaded,
            AFFINITY,
            RoutePolicies::byAffinity,
            AFFINITY_ALWAYS_EXPORT,
            RoutePolicies::byAffinityWithImport);

    private RoutePolicies() {}

    /** Returns the names of all policies, the default policy first. */
    public static List<String> names() {
        return BY_NAME.keySet().asList();
    }

    /**
     * Returns the policy with the given name.
     *
     * @throws IllegalArgumentException if there is no such policy; the message lists all names
     */
    public static RoutingPolicy byName(String name) {
        RoutingPolicy policy = BY_NAME.get(name);
        if (policy == null) {
            throw new IllegalArgumentException("no routing policy '" + name + "': use one of " + names());
        }
        return policy;
    }

    /** Returns the cache settings of the policy, derived from the default settings. */
    public static CacheSettings cacheSettings(String name, CacheSettings defaults) {
        if (name.equals(PREDICTED_FIRST_TOKEN)) {
            return defaults;
        }
        CacheSettings.ExportPolicy exports = name.equals(AFFINITY_ALWAYS_EXPORT)
                ? CacheSettings.ExportPolicy.ALWAYS
                : CacheSettings.ExportPolicy.NEVER;
        return defaults.withPolicies(exports, CacheSettings.EvictionPolicy.LEAST_RECENTLY_USED);
    }

    private static Optional<Placement> atRandom(RoutingView view) {
        List<EndpointStatus> eligible = eligibleEndpoints(view);
        if (eligible.isEmpty()) {
            return Optional.empty();
        }
        EndpointStatus chosen = eligible.get(view.random().nextInt(eligible.size()));
        return Optional.of(Placement.withoutFetch(chosen, uncachedTokens(view, chosen), RANDOM));
    }

    private static Optional<Placement> leastLoaded(RoutingView view) {
        return leastLoadedOf(eligibleEndpoints(view), view)
                .map(chosen -> Placement.withoutFetch(chosen, uncachedTokens(view, chosen), LEAST_LOADED));
    }

    private static Optional<Placement> byAffinity(RoutingView view) {
        return affinityEndpoint(view)
                .map(chosen -> Placement.withoutFetch(chosen, uncachedTokens(view, chosen), AFFINITY));
    }

    /** Like {@link #byAffinity}, but fetches all blocks that a store has beyond the cached prefix of the endpoint. */
    private static Optional<Placement> byAffinityWithImport(RoutingView view) {
        return affinityEndpoint(view).map(chosen -> {
            Query query = view.query();
            int cachedBlocks = view.cache().replicas().prefixBlocks(chosen.id(), query.blocks());
            Optional<StoredPrefix> stored =
                    StoredPrefix.find(view.cache(), query.blocks(), view.path(), cachedBlocks, view.nowNanos());
            int depth =
                    stored.map(prefix -> cachedBlocks + prefix.blocks().size()).orElse(cachedBlocks);
            return new Placement(
                    chosen,
                    stored.map(prefix -> new Placement.Fetch(prefix, depth)),
                    Optional.empty(),
                    Math.max(0, query.promptTokens() - (long) depth * view.blockTokens()),
                    0,
                    AFFINITY_ALWAYS_EXPORT,
                    com.google.common.collect.ImmutableList.of());
        });
    }

    /**
     * Rendezvous hashing with bounded load: returns the highest-ranked preferred endpoint whose load is within the
     * bound, or the least loaded endpoint if there is none.
     */
    private static Optional<EndpointStatus> affinityEndpoint(RoutingView view) {
        if (view.query().blocks().isEmpty()) {
            return leastLoadedOf(eligibleEndpoints(view), view);
        }
        double totalLoad = 0;
        for (EndpointStatus endpoint : view.candidates().all()) {
            totalLoad += view.loads().of(endpoint).requestCount();
        }
        double loadBound =
                LOAD_BOUND_FACTOR * (totalLoad + 1) / view.candidates().size() + 1;
        List<EndpointStatus> ranked =
                view.candidates().preferred(PromptTree.affinityKey(view.query().blocks()), PREFERRED_ENDPOINTS);
        return ranked.stream()
                .filter(view::isEligible)
                .filter(endpoint -> view.loads().of(endpoint).requestCount() <= loadBound)
                .findFirst()
                .or(() -> leastLoadedOf(eligibleEndpoints(view), view));
    }

    private static Optional<EndpointStatus> leastLoadedOf(List<EndpointStatus> endpoints, RoutingView view) {
        EndpointStatus least = null;
        double leastLoad = Double.MAX_VALUE;
        int ties = 0;
        for (EndpointStatus endpoint : endpoints) {
            double load = view.loads().of(endpoint).requestCount();
            ties = load == leastLoad ? ties + 1 : 1;
            // Reservoir sampling chooses among endpoints of equal load with equal probability.
            if (load < leastLoad || (load == leastLoad && view.random().nextInt(ties) == 0)) {
                least = endpoint;
                leastLoad = load;
            }
        }
        return Optional.ofNullable(least);
    }

    private static List<EndpointStatus> eligibleEndpoints(RoutingView view) {
        return view.candidates().all().stream().filter(view::isEligible).toList();
    }

    private static long uncachedTokens(RoutingView view, EndpointStatus endpoint) {
        ReplicaIndex replicas = view.cache().replicas();
        int cachedBlocks = replicas.prefixBlocks(endpoint.id(), view.query().blocks());
        return Math.max(0, view.query().promptTokens() - (long) cachedBlocks * view.blockTokens());
    }
}
