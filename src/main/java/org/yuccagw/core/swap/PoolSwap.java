package org.yuccagw.core.swap;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.yuccagw.core.catalogue.Service;
import org.yuccagw.core.catalogue.Service.ModelSettings;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.endpoint.EndpointReported;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.endpoint.ProbeEndpoint;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueAnswer.Item;
import org.yuccagw.core.port.KeyValueCall;
import org.yuccagw.core.shard.ShardAuthority;
import org.yuccagw.core.shard.ShardsComponent;
import org.yuccagw.core.swap.OrderEnded.Outcome;

/**
 * Brings one pool to the weights that the catalogue wants, a few endpoints at a time.
 *
 * <p>The cases, in the order in which {@link #step} takes them:
 *
 * <ol>
 *   <li>This entry doesn't own the pool's shard now: nothing.
 *   <li>It gained the shard lately and the endpoints don't check fencing numbers: wait until no order of an earlier
 *       owner can arrive any more.
 *   <li>The permits weren't read since the shard was gained: read them. Those of the earlier owner count.
 *   <li>A permitted endpoint matches, is gone, was replaced, or is silent for long: its permit ends.
 *   <li>There is room under the limit and above the floor: the next endpoint gets a permit. Both changes are one
 *       compare-and-swap; nothing is ordered before it is confirmed.
 *   <li>A permitted endpoint reported its state after the permit was confirmed, doesn't match, and isn't loading: it is
 *       ordered. The order carries the fencing number and the time from which on it must not be sent.
 *   <li>An order's answer was lost: the endpoint's next report tells whether it is loading; only if not, it is ordered
 *       again.
 * </ol>
 */
final class PoolSwap {
    static final Duration ORDER_LIFE = Duration.ofSeconds(3);

    private static final Duration REPORT_FRESH = Duration.ofSeconds(5);
    private static final Duration PROBE_AFTER = Duration.ofMillis(1500);
    private static final Duration PROBE_PERMITTED_AFTER = Duration.ofMillis(250);
    private static final Duration SILENT_PERMIT = Duration.ofSeconds(30);
    private static final Duration CALL_SILENCE = Duration.ofSeconds(6);
    private static final int PROBES_PER_STEP = 20;

    private final ControlContext context;
    private final String pool;
    private final LongSupplier authorityEnds;
    private final Map<EndpointId, Seen> seen = new HashMap<>();
    private final Map<EndpointId, Long> orderedNanos = new HashMap<>();
    private final Map<EndpointId, Long> underWayNanos = new HashMap<>();
    private final Map<EndpointId, Long> probedNanos = new HashMap<>();
    private Service service;
    private Map<EndpointId, EndpointStatus> endpoints = Map.of();
    private boolean owner;
    private boolean fenced;
    private long epoch;
    private long mayOrderNanos;
    private boolean permitsRead;
    private SwapPermits permits = SwapPermits.none();
    private long permitsRevision;
    private long permitsConfirmedNanos;
    private boolean calling;
    private long callNanos;
    private long callNumber;
    private String held = "";

    /** An endpoint's last own word and when it came. */
    private record Seen(EndpointReported report, long atNanos) {}

    PoolSwap(ControlContext context, String pool, LongSupplier authorityEnds) {
        this.context = context;
        this.pool = pool;
        this.authorityEnds = authorityEnds;
    }

    void want(Service wanted) {
        service = wanted;
    }

    void gained(long newEpoch) {
        owner = true;
        fenced = false;
        epoch = newEpoch;
        permitsRead = false;
        orderedNanos.clear();
        underWayNanos.clear();
        Duration wait = service.checksFencing() ? Duration.ZERO : earlierOrdersGone();
        mayOrderNanos = context.nowNanos() + wait.toNanos();
    }

    /** Endpoints that ignore fencing numbers obey an earlier owner as long as one of its orders can be on its way. */
    static Duration earlierOrdersGone() {
        return ShardsComponent.maxPreviousOwnerAuthority().plus(ORDER_LIFE);
    }

    void lost() {
        owner = false;
        calling = false;
    }

    void endpoints(Map<EndpointId, EndpointStatus> ofPool) {
        endpoints = ofPool;
        seen.keySet().retainAll(ofPool.keySet());
    }

    void reported(EndpointReported report) {
        if (endpoints.containsKey(report.endpoint())) {
            seen.put(report.endpoint(), new Seen(report, context.nowNanos()));
        }
    }

    void orderEnded(OrderEnded ended) {
        if (ended.fencing() != epoch) {
            return;
        }
        if (ended.outcome() == Outcome.STALE_FENCING) {
            // A later owner has ordered already. Until the shard is gained anew, nothing more is done for the pool.
            fenced = true;
        }
        // Whatever else became of it: only a report that is newer than this moment counts for the next decision.
        underWayNanos.remove(ended.endpoint());
        orderedNanos.put(ended.endpoint(), context.nowNanos());
    }

    /** The fencing number under which an order may be given now, empty if none may. */
    OptionalLong fencingNow(ShardAuthority authority, ShardNumber shard) {
        OptionalLong now = authority.epochIfHeld(shard, context.nowNanos());
        boolean may = owner && !fenced && now.isPresent() && now.getAsLong() == epoch;
        return may && context.nowNanos() - mayOrderNanos >= 0 ? now : OptionalLong.empty();
    }

    /** Does what can be done now; only to be called while {@link #fencingNow} is present. */
    void step(Optional<NetworkAddress> weightStore) {
        if (calling && context.nowNanos() - callNanos < CALL_SILENCE.toNanos()) {
            return;
        }
        if (!permitsRead) {
            readPermits();
            return;
        }
        Map<EndpointId, Long> next = permitsAfterThis();
        if (!next.equals(permits.incarnations())) {
            writePermits(SwapPermits.of(next));
            return;
        }
        for (EndpointId endpoint : permits.incarnations().keySet()) {
            bringOn(endpoints.get(endpoint), weightStore);
        }
        probeOld();
    }

    Optional<SwapsSnapshot.PoolStatus> status() {
        if (!owner || service == null) {
            return Optional.empty();
        }
        int matching = (int) endpoints.values().stream()
                .filter(endpoint -> matches(endpoint.id()))
                .count();
        return Optional.of(new SwapsSnapshot.PoolStatus(
                pool,
                model().version().value(),
                matching,
                endpoints.size() - matching,
                ImmutableList.copyOf(permits.incarnations().keySet()),
                held));
    }

    // ---- Permits.

    private void readPermits() {
        long number = beginCall();
        context.call(new KeyValueCall.Read(SwapPermits.key(pool)), answer -> {
            if (endCall(number) && answer instanceof KeyValueAnswer.Found found) {
                Optional<Item> item = found.items().stream().findFirst();
                permits = item.map(Item::value).map(SwapPermits::decode).orElse(SwapPermits.none());
                permitsRevision = item.map(Item::revision).orElse(KeyValueCall.ABSENT);
                permitsRead = true;
                permitsConfirmedNanos = context.nowNanos();
            }
        });
    }

    /** Only a confirmed write changes the permits here; after any other answer they are read anew. */
    private void writePermits(SwapPermits next) {
        long number = beginCall();
        permitsRead = false;
        context.call(
                new KeyValueCall.CompareAndSwap(
                        SwapPermits.key(pool), permitsRevision, next.encode(), Optional.empty()),
                answer -> {
                    if (endCall(number) && answer instanceof KeyValueAnswer.Written written) {
                        permits = next;
                        permitsRevision = written.revision();
                        permitsRead = true;
                        permitsConfirmedNanos = context.nowNanos();
                    }
                });
    }

    private long beginCall() {
        calling = true;
        callNanos = context.nowNanos();
        return ++callNumber;
    }

    /** False for an answer that belongs to an earlier ownership or came too late. */
    private boolean endCall(long number) {
        if (number != callNumber || !calling) {
            return false;
        }
        calling = false;
        return owner;
    }

    private Map<EndpointId, Long> permitsAfterThis() {
        Map<EndpointId, Long> next = new TreeMap<>();
        permits.incarnations().forEach((endpoint, incarnation) -> {
            if (isStillNeeded(endpoint, incarnation)) {
                next.put(endpoint, incarnation);
            }
        });
        held = "";
        for (EndpointStatus candidate : candidates(next)) {
            if (next.size() >= model().swapsAtOnce()) {
                held = "at the limit of " + model().swapsAtOnce() + " at once";
                break;
            }
            if (candidate.takesNewWork() && ableWithout(next) - 1 < model().replicaFloor()) {
                held = "at the floor of " + model().replicaFloor() + " able endpoints";
                continue;
            }
            next.put(candidate.id(), candidate.incarnation());
        }
        return next;
    }

    private boolean isStillNeeded(EndpointId id, long incarnation) {
        EndpointStatus endpoint = endpoints.get(id);
        if (endpoint == null || endpoint.incarnation() != incarnation) {
            return false;
        }
        Seen last = seen.get(id);
        long silentSince = last == null ? permitsConfirmedNanos : Math.max(last.atNanos(), permitsConfirmedNanos);
        if (context.nowNanos() - silentSince > SILENT_PERMIT.toNanos()) {
            return false;
        }
        return !matches(id);
    }

    private List<EndpointStatus> candidates(Map<EndpointId, Long> permitted) {
        List<EndpointStatus> candidates = new ArrayList<>();
        for (EndpointStatus endpoint : endpoints.values()) {
            boolean isFresh = isSeenSince(endpoint.id(), context.nowNanos() - REPORT_FRESH.toNanos());
            boolean wrong = isFresh && !matches(endpoint.id());
            if (wrong
                    && !permitted.containsKey(endpoint.id())
                    && !seen.get(endpoint.id()).report().leaving()) {
                candidates.add(endpoint);
            }
        }
        candidates.sort((left, right) -> {
            int unableFirst = Boolean.compare(left.takesNewWork(), right.takesNewWork());
            return unableFirst != 0 ? unableFirst : left.id().compareTo(right.id());
        });
        return candidates;
    }

    private long ableWithout(Map<EndpointId, Long> permitted) {
        return endpoints.values().stream()
                .filter(endpoint -> endpoint.takesNewWork() && !permitted.containsKey(endpoint.id()))
                .count();
    }

    // ---- Orders.

    private void bringOn(EndpointStatus endpoint, Optional<NetworkAddress> weightStore) {
        if (endpoint == null || isUnderWay(endpoint.id())) {
            return;
        }
        long since = Math.max(permitsConfirmedNanos, orderedNanos.getOrDefault(endpoint.id(), permitsConfirmedNanos));
        if (!isSeenSince(endpoint.id(), since)) {
            probe(endpoint, PROBE_PERMITTED_AFTER);
            return;
        }
        EndpointReported report = seen.get(endpoint.id()).report();
        if (report.loading() || matches(endpoint.id())) {
            probe(endpoint, PROBE_PERMITTED_AFTER);
            return;
        }
        underWayNanos.put(endpoint.id(), context.nowNanos());
        boolean versionMatches = report.version().equals(Optional.of(model().version()));
        OrderKind kind = versionMatches ? OrderKind.LOAD_ADAPTER : OrderKind.LOAD_VERSION;
        String value = versionMatches ? model().adapter() : model().version().value();
        context.perform(new OrderEndpoint(
                endpoint.id(), endpoint.address(), kind, value, epoch, authorityEnds.getAsLong(), weightStore));
    }

    /** An order without outcome may still arrive; a second one beside it could make the endpoint load twice. */
    private boolean isUnderWay(EndpointId id) {
        Long since = underWayNanos.get(id);
        return since != null && context.nowNanos() - since < 2 * ORDER_LIFE.toNanos();
    }

    private void probeOld() {
        int probed = 0;
        for (EndpointStatus endpoint : endpoints.values()) {
            if (probed < PROBES_PER_STEP && probe(endpoint, PROBE_AFTER)) {
                probed++;
            }
        }
    }

    private boolean probe(EndpointStatus endpoint, Duration interval) {
        long before = context.nowNanos() - interval.toNanos();
        boolean recent =
                isSeenSince(endpoint.id(), before) || probedNanos.getOrDefault(endpoint.id(), before - 1) - before > 0;
        if (recent) {
            return false;
        }
        probedNanos.put(endpoint.id(), context.nowNanos());
        context.perform(new ProbeEndpoint(endpoint.id(), endpoint.incarnation(), endpoint.address()));
        return true;
    }

    private boolean isSeenSince(EndpointId id, long nanos) {
        Seen last = seen.get(id);
        return last != null && last.atNanos() - nanos > 0;
    }

    private boolean matches(EndpointId id) {
        Seen last = seen.get(id);
        if (last == null || last.report().loading()) {
            return false;
        }
        Optional<WeightVersion> version = Optional.of(model().version());
        return last.report().version().equals(version)
                && last.report().adapter().equals(model().adapter());
    }

    private ModelSettings model() {
        return service.model().orElseThrow();
    }
}
