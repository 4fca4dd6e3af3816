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
 * Updates one pool to the weights in the catalogue, a few endpoints at a time.
 *
 * <p>The cases, in the order in which {@link #step} handles them:
 *
 * <ol>
 *   <li>This entry doesn't own the pool's shard now: nothing is done.
 *   <li>It gained the shard recently and the endpoints don't check fencing numbers: it waits until no order of an
 *       earlier owner can arrive any more.
 *   <li>The permits haven't been read since the shard was gained: they are read. Permits of the earlier owner count.
 *   <li>An endpoint with a permit matches, was removed, was replaced, or has been silent for long: its permit ends.
 *   <li>Fewer permits than the limit are in use, and without one more endpoint the floor would still be kept: the next
 *       endpoint gets a permit. Ended and new permits are written in one compare-and-swap; no order is sent before it
 *       is confirmed.
 *   <li>An endpoint with a permit reported its state after the permit was confirmed, doesn't match, and isn't loading:
 *       it is ordered to load. The order contains the fencing number and the time from which on it must not be sent.
 *   <li>The answer to an order was lost: the endpoint's next report shows whether it is loading; only if it isn't, the
 *       order is retried.
 * </ol>
 */
final class PoolSwap {
    static final Duration ORDER_LIFETIME = Duration.ofSeconds(3);

    private static final Duration MAX_REPORT_AGE = Duration.ofSeconds(5);
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(1500);
    private static final Duration PERMITTED_PROBE_INTERVAL = Duration.ofMillis(250);
    private static final Duration SILENT_PERMIT_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(6);
    private static final int PROBES_PER_STEP = 20;

    private final ControlContext context;
    private final String pool;
    private final LongSupplier authorityEndsNanos;
    private final Map<EndpointId, LastReport> lastReports = new HashMap<>();
    private final Map<EndpointId, Long> orderEndedNanos = new HashMap<>();
    private final Map<EndpointId, Long> pendingOrderNanos = new HashMap<>();
    private final Map<EndpointId, Long> probedNanos = new HashMap<>();
    private Service service;
    private Map<EndpointId, EndpointStatus> endpoints = Map.of();
    private boolean owner;
    private boolean fenced;
    private long epoch;
    private long ordersAllowedFromNanos;
    private boolean permitsRead;
    private SwapPermits permits = SwapPermits.none();
    private long permitsRevision;
    private long permitsConfirmedNanos;
    private boolean calling;
    private long callNanos;
    private long callNumber;
    private String blockedReason = "";

    /** The last report of an endpoint and the time of its arrival. */
    private record LastReport(EndpointReported report, long receivedNanos) {}

    PoolSwap(ControlContext context, String pool, LongSupplier authorityEndsNanos) {
        this.context = context;
        this.pool = pool;
        this.authorityEndsNanos = authorityEndsNanos;
    }

    void setService(Service newService) {
        service = newService;
    }

    void onShardGained(long newEpoch) {
        owner = true;
        fenced = false;
        epoch = newEpoch;
        permitsRead = false;
        orderEndedNanos.clear();
        pendingOrderNanos.clear();
        Duration delay = service.checksFencing() ? Duration.ZERO : earlierOrdersTimeout();
        ordersAllowedFromNanos = context.nowNanos() + delay.toNanos();
    }

    /** Returns how long endpoints that ignore fencing numbers may still receive an order of an earlier owner. */
    static Duration earlierOrdersTimeout() {
        return ShardsComponent.maxPreviousOwnerAuthority().plus(ORDER_LIFETIME);
    }

    void onShardLost() {
        owner = false;
        calling = false;
    }

    void setEndpoints(Map<EndpointId, EndpointStatus> poolEndpoints) {
        endpoints = poolEndpoints;
        lastReports.keySet().retainAll(poolEndpoints.keySet());
    }

    void onReport(EndpointReported report) {
        if (endpoints.containsKey(report.endpoint())) {
            lastReports.put(report.endpoint(), new LastReport(report, context.nowNanos()));
        }
    }

    void onOrderEnded(OrderEnded ended) {
        if (ended.fencing() != epoch) {
            return;
        }
        if (ended.outcome() == Outcome.STALE_FENCING) {
            // A later owner has already sent an order. Nothing more is done for the pool until this entry gains the
            // shard again.
            fenced = true;
        }
        // For every outcome, only a report that arrives after this moment counts for the next decision.
        pendingOrderNanos.remove(ended.endpoint());
        orderEndedNanos.put(ended.endpoint(), context.nowNanos());
    }

    /** Returns the fencing number for orders sent now, or empty if none may be sent. */
    OptionalLong currentFencingNumber(ShardAuthority authority, ShardNumber shard) {
        OptionalLong epochNow = authority.epochIfHeld(shard, context.nowNanos());
        boolean mayOrder = owner && !fenced && epochNow.isPresent() && epochNow.getAsLong() == epoch;
        return mayOrder && context.nowNanos() - ordersAllowedFromNanos >= 0 ? epochNow : OptionalLong.empty();
    }

    /** Performs the next step; must be called only while {@link #currentFencingNumber} is present. */
    void step(Optional<NetworkAddress> weightStore) {
        if (calling && context.nowNanos() - callNanos < CALL_TIMEOUT.toNanos()) {
            return;
        }
        if (!permitsRead) {
            readPermits();
            return;
        }
        Map<EndpointId, Long> next = nextPermits();
        if (!next.equals(permits.incarnations())) {
            writePermits(SwapPermits.of(next));
            return;
        }
        for (EndpointId endpoint : permits.incarnations().keySet()) {
            advance(endpoints.get(endpoint), weightStore);
        }
        probeStale();
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
                blockedReason));
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

    /**
     * Writes the permits. Only a confirmed write changes the local permits; after any other answer they are read again.
     */
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

    /** Returns false for an answer that belongs to an earlier ownership or arrived too late. */
    private boolean endCall(long number) {
        if (number != callNumber || !calling) {
            return false;
        }
        calling = false;
        return owner;
    }

    private Map<EndpointId, Long> nextPermits() {
        Map<EndpointId, Long> next = new TreeMap<>();
        permits.incarnations().forEach((endpoint, incarnation) -> {
            if (isStillNeeded(endpoint, incarnation)) {
                next.put(endpoint, incarnation);
            }
        });
        blockedReason = "";
        for (EndpointStatus candidate : candidates(next)) {
            if (next.size() >= model().swapsAtOnce()) {
                blockedReason = "at the limit of " + model().swapsAtOnce() + " at once";
                break;
            }
            if (candidate.takesNewWork() && countAvailableWithout(next) - 1 < model().replicaFloor()) {
                blockedReason = "at the floor of " + model().replicaFloor() + " able endpoints";
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
        LastReport last = lastReports.get(id);
        long silentSince = last == null ? permitsConfirmedNanos : Math.max(last.receivedNanos(), permitsConfirmedNanos);
        if (context.nowNanos() - silentSince > SILENT_PERMIT_TIMEOUT.toNanos()) {
            return false;
        }
        return !matches(id);
    }

    private List<EndpointStatus> candidates(Map<EndpointId, Long> permitted) {
        List<EndpointStatus> candidates = new ArrayList<>();
        for (EndpointStatus endpoint : endpoints.values()) {
            boolean isFresh = hasReportedSince(endpoint.id(), context.nowNanos() - MAX_REPORT_AGE.toNanos());
            boolean needsSwap = isFresh && !matches(endpoint.id());
            if (needsSwap
                    && !permitted.containsKey(endpoint.id())
                    && !lastReports.get(endpoint.id()).report().leaving()) {
                candidates.add(endpoint);
            }
        }
        candidates.sort((left, right) -> {
            int byAvailability = Boolean.compare(left.takesNewWork(), right.takesNewWork());
            return byAvailability != 0 ? byAvailability : left.id().compareTo(right.id());
        });
        return candidates;
    }

    private long countAvailableWithout(Map<EndpointId, Long> permitted) {
        return endpoints.values().stream()
                .filter(endpoint -> endpoint.takesNewWork() && !permitted.containsKey(endpoint.id()))
                .count();
    }

    // ---- Orders.

    private void advance(EndpointStatus endpoint, Optional<NetworkAddress> weightStore) {
        if (endpoint == null || isOrderPending(endpoint.id())) {
            return;
        }
        long since =
                Math.max(permitsConfirmedNanos, orderEndedNanos.getOrDefault(endpoint.id(), permitsConfirmedNanos));
        if (!hasReportedSince(endpoint.id(), since)) {
            probe(endpoint, PERMITTED_PROBE_INTERVAL);
            return;
        }
        EndpointReported report = lastReports.get(endpoint.id()).report();
        if (report.loading() || matches(endpoint.id())) {
            probe(endpoint, PERMITTED_PROBE_INTERVAL);
            return;
        }
        pendingOrderNanos.put(endpoint.id(), context.nowNanos());
        boolean versionMatches = report.version().equals(Optional.of(model().version()));
        OrderKind kind = versionMatches ? OrderKind.LOAD_ADAPTER : OrderKind.LOAD_VERSION;
        String value = versionMatches ? model().adapter() : model().version().value();
        context.perform(new OrderEndpoint(
                endpoint.id(), endpoint.address(), kind, value, epoch, authorityEndsNanos.getAsLong(), weightStore));
    }

    /**
     * Returns whether an order has no outcome yet. It may still arrive, and a second order could make the endpoint load
     * twice.
     */
    private boolean isOrderPending(EndpointId id) {
        Long since = pendingOrderNanos.get(id);
        return since != null && context.nowNanos() - since < 2 * ORDER_LIFETIME.toNanos();
    }

    private void probeStale() {
        int probed = 0;
        for (EndpointStatus endpoint : endpoints.values()) {
            if (probed < PROBES_PER_STEP && probe(endpoint, PROBE_INTERVAL)) {
                probed++;
            }
        }
    }

    private boolean probe(EndpointStatus endpoint, Duration interval) {
        long before = context.nowNanos() - interval.toNanos();
        boolean recent = hasReportedSince(endpoint.id(), before)
                || probedNanos.getOrDefault(endpoint.id(), before - 1) - before > 0;
        if (recent) {
            return false;
        }
        probedNanos.put(endpoint.id(), context.nowNanos());
        context.perform(new ProbeEndpoint(endpoint.id(), endpoint.incarnation(), endpoint.address()));
        return true;
    }

    private boolean hasReportedSince(EndpointId id, long nanos) {
        LastReport last = lastReports.get(id);
        return last != null && last.receivedNanos() - nanos > 0;
    }

    private boolean matches(EndpointId id) {
        LastReport last = lastReports.get(id);
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
