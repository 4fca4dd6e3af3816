package org.yuccagw.core.routing;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Optional;
import org.yuccagw.core.cache.CacheSettings;
import org.yuccagw.core.cache.PromptTree;
import org.yuccagw.core.cache.ReplicaIndex;
import org.yuccagw.core.cache.StoredPrefix;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.routing.RouteRequested.Question;

/**
 * The policies by name: the one of the product, and the plain ones that it is measured against.
 *
 * <p>A policy is a way to choose the endpoint together with when blocks are exported and evicted.
 */
public final class RoutePolicies {
    /** Setting name of the product's own policy. */
    public static final String PREDICTED_FIRST_TOKEN = PredictedFirstToken.NAME;

    public static final String RANDOM = "random";
    public static final String LEAST_LOADED = "least-loaded";
    public static final String AFFINITY = "affinity";
    public static final String AFFINITY_ALWAYS_EXPORT = "affinity-always-export";

    /** With affinity, a preferred endpoint is passed over when it has this many times the mean load. */
    private static final double LOAD_BOUND = 1.25;

    private static final int RANKED = 4;

    private static final ImmutableMap<String, RoutingPolicy> BY_NAME = ImmutableMap.of(
            PREDICTED_FIRST_TOKEN,
            PredictedFirstToken.create(),
            RANDOM,
            RoutePolicies::byChance,
            LEAST_LOADED,
            RoutePolicies::leastLoaded,
            AFFINITY,
            RoutePolicies::byAffinity,
            AFFINITY_ALWAYS_EXPORT,
            RoutePolicies::byAffinityWithImport);

    private RoutePolicies() {}

    /** All names, the product's own first. */
    public static List<String> names() {
        return BY_NAME.keySet().asList();
    }

    /**
     * The policy of this name.
     *
     * @throws IllegalArgumentException if there is none; the message names all
     */
    public static RoutingPolicy byName(String name) {
        RoutingPolicy policy = BY_NAME.get(name);
        if (policy == null) {
            throw new IllegalArgumentException("no routing policy '" + name + "': use one of " + names());
        }
        return policy;
    }

    /** The cache settings that belong to the policy. */
    public static CacheSettings cacheSettings(String name, CacheSettings usual) {
        if (name.equals(PREDICTED_FIRST_TOKEN)) {
            return usual;
        }
        CacheSettings.ExportPolicy exports = name.equals(AFFINITY_ALWAYS_EXPORT)
                ? CacheSettings.ExportPolicy.ALWAYS
                : CacheSettings.ExportPolicy.NEVER;
        return usual.withPolicies(exports, CacheSettings.EvictionPolicy.LEAST_RECENTLY_USED);
    }

    private static Optional<Placement> byChance(RoutingView view) {
        List<EndpointStatus> free = allowed(view);
        if (free.isEmpty()) {
            return Optional.empty();
        }
        EndpointStatus chosen = free.get(view.random().nextInt(free.size()));
        return Optional.of(Placement.plain(chosen, uncached(view, chosen), RANDOM));
    }

    private static Optional<Placement> leastLoaded(RoutingView view) {
        return leastOf(allowed(view), view)
                .map(chosen -> Placement.plain(chosen, uncached(view, chosen), LEAST_LOADED));
    }

    private static Optional<Placement> byAffinity(RoutingView view) {
        return affine(view).map(chosen -> Placement.plain(chosen, uncached(view, chosen), AFFINITY));
    }

    /** As by affinity, and all that a store has beyond the endpoint's own prefix is fetched. */
    private static Optional<Placement> byAffinityWithImport(RoutingView view) {
        return affine(view).map(chosen -> {
            Question question = view.question();
            int held = view.cache().replicas().prefixBlocks(chosen.id(), question.blocks());
            Optional<StoredPrefix> stored =
                    StoredPrefix.find(view.cache(), question.blocks(), view.path(), held, view.nowNanos());
            int depth = stored.map(prefix -> held + prefix.blocks().size()).orElse(held);
            return new Placement(
                    chosen,
                    stored.map(prefix -> new Placement.Fetch(prefix, depth)),
                    Optional.empty(),
                    Math.max(0, question.promptTokens() - (long) depth * view.blockTokens()),
                    0,
                    AFFINITY_ALWAYS_EXPORT,
                    com.google.common.collect.ImmutableList.of());
        });
    }

    /** Rendezvous hashing with bounded load: the first in rank whose load isn't far over the mean. */
    private static Optional<EndpointStatus> affine(RoutingView view) {
        if (view.question().blocks().isEmpty()) {
            return leastOf(allowed(view), view);
        }
        double total = 0;
        for (EndpointStatus endpoint : view.candidates().all()) {
            total += view.loads().of(endpoint).requests();
        }
        double bound = LOAD_BOUND * (total + 1) / view.candidates().size() + 1;
        List<EndpointStatus> ranked = view.candidates()
                .preferred(PromptTree.affinityKey(view.question().blocks()), RANKED);
        return ranked.stream()
                .filter(view::mayTake)
                .filter(endpoint -> view.loads().of(endpoint).requests() <= bound)
                .findFirst()
                .or(() -> leastOf(allowed(view), view));
    }

    private static Optional<EndpointStatus> leastOf(List<EndpointStatus> endpoints, RoutingView view) {
        EndpointStatus least = null;
        double leastLoad = Double.MAX_VALUE;
        int equals = 0;
        for (EndpointStatus endpoint : endpoints) {
            double load = view.loads().of(endpoint).requests();
            equals = load == leastLoad ? equals + 1 : 1;
            // Among equals each has the same chance, so that the first in the list isn't always taken.
            if (load < leastLoad || (load == leastLoad && view.random().nextInt(equals) == 0)) {
                least = endpoint;
                leastLoad = load;
            }
        }
        return Optional.ofNullable(least);
    }

    private static List<EndpointStatus> allowed(RoutingView view) {
        return view.candidates().all().stream().filter(view::mayTake).toList();
    }

    private static long uncached(RoutingView view, EndpointStatus endpoint) {
        ReplicaIndex replicas = view.cache().replicas();
        int held = replicas.prefixBlocks(endpoint.id(), view.question().blocks());
        return Math.max(0, view.question().promptTokens() - (long) held * view.blockTokens());
    }
}
