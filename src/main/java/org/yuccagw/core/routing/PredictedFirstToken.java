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
 * Chooses by the predicted time to first token and the prompt work that would be done again.
 *
 * <p>For a candidate the prediction is the fetch from a store, the wait behind queued prefill, and the prefill of what
 * is neither there nor fetched. A request can fetch all that a store has beyond the candidate's own prefix, nothing, or
 * a part up to where a run of blocks ends or the tier changes, and compute the rest; each is weighed. The objective is
 * <i>first token seconds x weight + recomputed thousands x weight</i> with the weights of the class.
 *
 * <p>Candidates weighed are a bounded number, whatever the size of the pool:
 *
 * <ol>
 *   <li>replicas that seem to hold a beginning of the prompt, or to which an import of it is on its way;
 *   <li>those that rendezvous hashing prefers for the prompt, so that entries that know nothing of it agree, each rank
 *       with a small malus: the first wins unless its queue is longer by that much (bounded load);
 *   <li>a few chosen by chance, which finds an idle endpoint when the others are busy.
 * </ol>
 */
final class PredictedFirstToken implements RoutingPolicy {
    static final String NAME = "predicted-first-token";

    private static final int FEW = 16;
    private static final int PREFERRED = 4;
    private static final int CHOSEN_BY_CHANCE = 4;
    private static final int EXPLAINED = 5;
    private static final double RANK_MALUS_MILLIS = 2;
    private static final double OTHER_DOMAIN_MILLIS = 4;
    /** What a millisecond on a link costs those who wait behind it, against one of the request's own. */
    private static final double LINK_PRICE = 1;

    private static final double MILLIS = 1e3;
    private static final double THOUSAND = 1e3;

    private PredictedFirstToken() {}

    static PredictedFirstToken create() {
        return new PredictedFirstToken();
    }

    /** One way to serve the request at one candidate. */
    private record Way(
            EndpointStatus endpoint,
            Optional<Placement.Fetch> fetch,
            Optional<ImportsInProgress.Import> joined,
            double queueMillis,
            double prefillMillis,
            double fetchMillis,
            long recomputed,
            double score) {}

    @Override
    public Optional<Placement> place(RoutingView view) {
        List<Way> ways = new ArrayList<>();
        int rank = 0;
        for (EndpointStatus endpoint : candidates(view)) {
            if (view.mayTake(endpoint)) {
                ways.add(bestWay(view, endpoint, rank));
            }
            rank++;
        }
        if (ways.isEmpty() && view.candidates().size() > FEW) {
            view.candidates().all().stream()
                    .filter(view::mayTake)
                    .findFirst()
                    .ifPresent(endpoint -> ways.add(bestWay(view, endpoint, 0)));
        }
        ways.sort(Comparator.comparingDouble(Way::score));
        return ways.stream().findFirst().map(best -> placement(best, ways));
    }

    private static Placement placement(Way best, List<Way> ways) {
        ImmutableList.Builder<Candidate> weighed = ImmutableList.builder();
        for (Way way : ways.subList(0, Math.min(EXPLAINED, ways.size()))) {
            weighed.add(new Candidate(
                    way.endpoint().id(),
                    way.queueMillis(),
                    way.prefillMillis(),
                    way.fetchMillis(),
                    way.recomputed(),
                    way.score()));
        }
        return new Placement(
                best.endpoint(),
                best.fetch(),
                best.joined(),
                best.recomputed(),
                best.queueMillis() + best.prefillMillis() + best.fetchMillis(),
                NAME,
                weighed.build());
    }

    /** In the order of preference of rendezvous hashing, then the others. */
    private static Set<EndpointStatus> candidates(RoutingView view) {
        List<BlockKey> blocks = view.question().blocks();
        CandidateSet all = view.candidates();
        Set<EndpointStatus> chosen = new LinkedHashSet<>();
        int preferred = all.size() <= FEW ? all.size() : PREFERRED;
        if (!blocks.isEmpty()) {
            chosen.addAll(all.preferred(PromptTree.affinityKey(blocks), preferred));
            if (chosen.size() < all.size()) {
                view.cache().replicas().forEachHolder(blocks, id -> all.find(id).ifPresent(chosen::add));
                addTargetsOfImports(view, chosen);
            }
        }
        if (blocks.isEmpty() && all.size() <= FEW) {
            chosen.addAll(all.all());
        }
        for (int i = 0; i < CHOSEN_BY_CHANCE && chosen.size() < all.size(); i++) {
            chosen.add(all.all().get(view.random().nextInt(all.size())));
        }
        return chosen;
    }

    private static void addTargetsOfImports(RoutingView view, Set<EndpointStatus> chosen) {
        BlockKey name = PromptTree.affinityKey(view.question().blocks());
        for (ImportsInProgress.Import running : view.cache().imports().findAll(name)) {
            view.candidates().find(running.endpoint()).ifPresent(chosen::add);
        }
    }

    private static Way bestWay(RoutingView view, EndpointStatus endpoint, int rank) {
        List<BlockKey> blocks = view.question().blocks();
        int held = heldBlocks(view, endpoint);
        double malus =
                rank * RANK_MALUS_MILLIS + (endpoint.domain().equals(view.ownDomain()) ? 0 : OTHER_DOMAIN_MILLIS);
        Way best = way(view, endpoint, Optional.empty(), Optional.empty(), held, 0, malus);
        if (held >= blocks.size()) {
            return best;
        }
        Optional<ImportsInProgress.Import> running = view.cache().imports().find(endpoint.id(), blocks.get(held));
        if (running.isPresent()) {
            int depth = broughtDepth(running.get(), blocks, held);
            double left = running.get().remainingMillis(view.nowNanos());
            return better(best, way(view, endpoint, Optional.empty(), running, depth, left, malus));
        }
        Optional<StoredPrefix> stored =
                StoredPrefix.find(view.cache(), blocks, view.path(), surelyHeld(view, endpoint, held), view.nowNanos());
        if (stored.isPresent()) {
            double deadline = view.cache().settings().importDeadline().toMillis();
            for (StoredPrefix.CutPoint end : stored.get().cutPoints()) {
                double fetch = stored.get().fetchMillis(end);
                if (fetch < deadline) {
                    Placement.Fetch part = new Placement.Fetch(stored.get(), end.depth());
                    best = better(
                            best, way(view, endpoint, Optional.of(part), Optional.empty(), end.depth(), fetch, malus));
                }
            }
        }
        return best;
    }

    private static int heldBlocks(RoutingView view, EndpointStatus endpoint) {
        List<BlockKey> blocks = view.question().blocks();
        ReplicaIndex replicas = view.cache().replicas();
        int held = replicas.prefixBlocks(endpoint.id(), blocks);
        boolean doubtful = held > 0 && replicas.isStale(endpoint.id());
        return doubtful ? (int) (held * ReplicaIndex.STALE_PREFIX_SHARE) : held;
    }

    /**
     * Where a fetch must begin. What a doubtful replica seems to hold may be gone, and then everything that was fetched
     * behind it would be of no use. The same goes for a run that is held in part: engines evict from the end, so the
     * replica is about to evict the rest, and events tell of it late.
     */
    private static int surelyHeld(RoutingView view, EndpointStatus endpoint, int held) {
        if (view.cache().replicas().isStale(endpoint.id())) {
            return 0;
        }
        for (PromptNode node : view.path()) {
            if (node.startDepth() < held && held < node.startDepth() + node.blockCount()) {
                return node.startDepth();
            }
        }
        return held;
    }

    private static int broughtDepth(ImportsInProgress.Import running, List<BlockKey> blocks, int from) {
        int depth = from;
        while (depth < blocks.size() && running.includes(blocks.get(depth))) {
            depth++;
        }
        return depth;
    }

    private static Way way(
            RoutingView view,
            EndpointStatus endpoint,
            Optional<Placement.Fetch> fetch,
            Optional<ImportsInProgress.Import> joined,
            int depth,
            double fetchMillis,
            double malus) {
        EndpointLoad load = view.loads().of(endpoint);
        long recomputed = Math.max(0, view.question().promptTokens() - (long) depth * view.blockTokens());
        double queue = load.queueMillis(view.nowNanos());
        double prefill = load.baseMillis() + recomputed / load.tokensPerMilli();
        double first = queue + prefill + fetchMillis * (1 + LINK_PRICE) + malus;
        double score = view.requestClass().firstTokenWeight() * first / MILLIS
                + view.requestClass().recomputeWeight() * recomputed / THOUSAND;
        return new Way(endpoint, fetch, joined, queue, prefill, fetchMillis, recomputed, score);
    }

    private static Way better(Way left, Way right) {
        return right.score() < left.score() ? right : left;
    }
}
