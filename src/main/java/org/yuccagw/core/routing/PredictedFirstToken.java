package org.yuccagw.core.routing;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.core.cache.ImportsInProgress;
import org.yuccagw.core.cache.PromptNode;
import org.yuccagw.core.cache.PromptTree;
import org.yuccagw.core.cache.ReplicaIndex;
import org.yuccagw.core.cache.StoredPrefix;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.routing.RouteExplanation.Candidate;

/**
 * Chooses the endpoint with the lowest weighted sum of the predicted time to the first token and the prompt tokens that
 * are recomputed.
 *
 * <p>The predicted time of a candidate is the sum of the fetch from a store, the wait for queued prefill, and the
 * prefill of the blocks that are neither cached nor fetched. A request can fetch nothing, all blocks that a store has
 * beyond the candidate's cached prefix, or the blocks up to a depth at which a run of blocks ends or the tier changes,
 * and recompute the rest. Each of these options is scored. The score is <i>seconds to first token x weight + thousands
 * of recomputed tokens x weight</i> with the weights of the request class.
 *
 * <p>The number of scored candidates is bounded independently of the size of the pool:
 *
 * <ol>
 *   <li>replicas that probably have a prefix of the prompt in their cache, or to which an import of it is running;
 *   <li>the endpoints with the highest rendezvous rank for the prompt, so that entries without information about the
 *       prompt choose the same endpoint. Each further rank adds a small penalty, so the first rank wins unless its
 *       queue is longer by at least that penalty (bounded load);
 *   <li>a few random endpoints, to find an idle one when the others are busy.
 * </ol>
 */
final class PredictedFirstToken implements RoutingPolicy {
    static final String NAME = "predicted-first-token";

    private static final int SMALL_POOL_SIZE = 16;
    private static final int PREFERRED_CANDIDATES = 4;
    private static final int RANDOM_CANDIDATES = 4;
    private static final int MAX_EXPLAINED_CANDIDATES = 5;
    private static final double RANK_PENALTY_MILLIS = 2;
    private static final double OTHER_DOMAIN_PENALTY_MILLIS = 4;
    /**
     * Delay of other requests on the same link per millisecond of a fetch, relative to the delay of the request itself.
     */
    private static final double LINK_CONTENTION_FACTOR = 1;

    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double TOKENS_PER_THOUSAND = 1e3;

    private PredictedFirstToken() {}

    static PredictedFirstToken create() {
        return new PredictedFirstToken();
    }

    /** A scored way to serve the request on one candidate. */
    private record ServingOption(
            EndpointStatus endpoint,
            Optional<Placement.Fetch> fetch,
            Optional<ImportsInProgress.Import> joinedImport,
            double queueMillis,
            double prefillMillis,
            double fetchMillis,
            long recomputedTokens,
            double score) {}

    @Override
    public Optional<Placement> place(RoutingView view) {
        List<ServingOption> options = new ArrayList<>();
        int rank = 0;
        for (EndpointStatus endpoint : candidates(view)) {
            if (view.isEligible(endpoint)) {
                options.add(bestOption(view, endpoint, rank));
            }
            rank++;
        }
        if (options.isEmpty() && view.candidates().size() > SMALL_POOL_SIZE) {
            view.candidates().all().stream()
                    .filter(view::isEligible)
                    .findFirst()
                    .ifPresent(endpoint -> options.add(bestOption(view, endpoint, 0)));
        }
        options.sort(Comparator.comparingDouble(ServingOption::score));
        return options.stream().findFirst().map(best -> placement(best, options));
    }

    private static Placement placement(ServingOption best, List<ServingOption> options) {
        ImmutableList.Builder<Candidate> candidates = ImmutableList.builder();
        for (ServingOption option : options.subList(0, Math.min(MAX_EXPLAINED_CANDIDATES, options.size()))) {
            candidates.add(new Candidate(
                    option.endpoint().id(),
                    option.queueMillis(),
                    option.prefillMillis(),
                    option.fetchMillis(),
                    option.recomputedTokens(),
                    option.score()));
        }
        return new Placement(
                best.endpoint(),
                best.fetch(),
                best.joinedImport(),
                best.recomputedTokens(),
                best.queueMillis() + best.prefillMillis() + best.fetchMillis(),
                NAME,
                candidates.build());
    }

    /** Returns the candidates in the order of their rendezvous rank, followed by the other candidates. */
    private static Set<EndpointStatus> candidates(RoutingView view) {
        List<BlockKey> blocks = view.query().blocks();
        CandidateSet all = view.candidates();
        Set<EndpointStatus> chosen = new LinkedHashSet<>();
        int preferred = all.size() <= SMALL_POOL_SIZE ? all.size() : PREFERRED_CANDIDATES;
        if (!blocks.isEmpty()) {
            chosen.addAll(all.preferred(PromptTree.affinityKey(blocks), preferred));
            if (chosen.size() < all.size()) {
                view.cache().replicas().forEachHolder(blocks, id -> all.find(id).ifPresent(chosen::add));
                addImportTargets(view, chosen);
            }
        }
        if (blocks.isEmpty() && all.size() <= SMALL_POOL_SIZE) {
            chosen.addAll(all.all());
        }
        for (int i = 0; i < RANDOM_CANDIDATES && chosen.size() < all.size(); i++) {
            chosen.add(all.all().get(view.random().nextInt(all.size())));
        }
        return chosen;
    }

    private static void addImportTargets(RoutingView view, Set<EndpointStatus> chosen) {
        BlockKey affinityKey = PromptTree.affinityKey(view.query().blocks());
        for (ImportsInProgress.Import runningImport : view.cache().imports().findAll(affinityKey)) {
            view.candidates().find(runningImport.endpoint()).ifPresent(chosen::add);
        }
    }

    private static ServingOption bestOption(RoutingView view, EndpointStatus endpoint, int rank) {
        List<BlockKey> blocks = view.query().blocks();
        int cachedBlocks = cachedPrefixBlocks(view, endpoint);
        double penaltyMillis = rank * RANK_PENALTY_MILLIS
                + (endpoint.domain().equals(view.ownDomain()) ? 0 : OTHER_DOMAIN_PENALTY_MILLIS);
        ServingOption best = option(view, endpoint, Optional.empty(), Optional.empty(), cachedBlocks, 0, penaltyMillis);
        if (cachedBlocks >= blocks.size()) {
            return best;
        }
        Optional<ImportsInProgress.Import> runningImport =
                view.cache().imports().find(endpoint.id(), blocks.get(cachedBlocks));
        if (runningImport.isPresent()) {
            int depth = importedDepth(runningImport.get(), blocks, cachedBlocks);
            double remainingMillis = runningImport.get().remainingMillis(view.nowNanos());
            return lowerScore(
                    best,
                    option(view, endpoint, Optional.empty(), runningImport, depth, remainingMillis, penaltyMillis));
        }
        Optional<StoredPrefix> stored = StoredPrefix.find(
                view.cache(), blocks, view.path(), fetchStartDepth(view, endpoint, cachedBlocks), view.nowNanos());
        if (stored.isPresent()) {
            double deadlineMillis = view.cache().settings().importDeadline().toMillis();
            for (StoredPrefix.CutPoint end : stored.get().cutPoints()) {
                double fetchMillis = stored.get().fetchMillis(end);
                if (fetchMillis < deadlineMillis) {
                    Placement.Fetch partialFetch = new Placement.Fetch(stored.get(), end.depth());
                    best = lowerScore(
                            best,
                            option(
                                    view,
                                    endpoint,
                                    Optional.of(partialFetch),
                                    Optional.empty(),
                                    end.depth(),
                                    fetchMillis,
                                    penaltyMillis));
                }
            }
        }
        return best;
    }

    private static int cachedPrefixBlocks(RoutingView view, EndpointStatus endpoint) {
        List<BlockKey> blocks = view.query().blocks();
        ReplicaIndex replicas = view.cache().replicas();
        int cachedBlocks = replicas.prefixBlocks(endpoint.id(), blocks);
        boolean stale = cachedBlocks > 0 && replicas.isStale(endpoint.id());
        return stale ? (int) (cachedBlocks * ReplicaIndex.STALE_PREFIX_SHARE) : cachedBlocks;
    }

    /**
     * Returns the depth at which a fetch must start. The blocks attributed to a stale replica may have been evicted,
     * and then all blocks fetched behind them would be useless. The same applies to a run of blocks that is cached only
     * in part: engines evict from the end, so the replica is about to evict the rest of the run, and its events arrive
     * late.
     */
    private static int fetchStartDepth(RoutingView view, EndpointStatus endpoint, int cachedBlocks) {
        if (view.cache().replicas().isStale(endpoint.id())) {
            return 0;
        }
        for (PromptNode node : view.path()) {
            if (node.startDepth() < cachedBlocks && cachedBlocks < node.startDepth() + node.blockCount()) {
                return node.startDepth();
            }
        }
        return cachedBlocks;
    }

    private static int importedDepth(ImportsInProgress.Import runningImport, List<BlockKey> blocks, int from) {
        int depth = from;
        while (depth < blocks.size() && runningImport.includes(blocks.get(depth))) {
            depth++;
        }
        return depth;
    }

    private static ServingOption option(
            RoutingView view,
            EndpointStatus endpoint,
            Optional<Placement.Fetch> fetch,
            Optional<ImportsInProgress.Import> joinedImport,
            int depth,
            double fetchMillis,
            double penaltyMillis) {
        EndpointLoad load = view.loads().of(endpoint);
        long recomputedTokens = Math.max(0, view.query().promptTokens() - (long) depth * view.blockTokens());
        double queueMillis = load.queueMillis(view.nowNanos());
        double prefillMillis = load.baseLatencyMillis() + recomputedTokens / load.tokensPerMilli();
        double firstTokenMillis =
                queueMillis + prefillMillis + fetchMillis * (1 + LINK_CONTENTION_FACTOR) + penaltyMillis;
        double score = view.requestClass().firstTokenWeight() * firstTokenMillis / MILLIS_PER_SECOND
                + view.requestClass().recomputeWeight() * recomputedTokens / TOKENS_PER_THOUSAND;
        return new ServingOption(
                endpoint, fetch, joinedImport, queueMillis, prefillMillis, fetchMillis, recomputedTokens, score);
    }

    private static ServingOption lowerScore(ServingOption left, ServingOption right) {
        return right.score() < left.score() ? right : left;
    }
}
