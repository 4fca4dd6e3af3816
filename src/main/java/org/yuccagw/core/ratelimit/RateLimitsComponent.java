package org.yuccagw.core.ratelimit;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.follow.KeyValueRecord;
import org.yuccagw.core.follow.KeyValueRecordRemoved;
import org.yuccagw.core.follow.KeyValueRecordUpdated;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.notice.NoticeReceived;
import org.yuccagw.core.notice.RateLimit;
import org.yuccagw.core.peers.PeersComponent;
import org.yuccagw.core.peers.UpdateBroadcaster;

/**
 * Maintains the rate limits of endpoints and decides whether this entry may send one more request to an endpoint.
 *
 * <p>An endpoint states its limit in its answers, so an entry learns of it by its own requests or from the entry that
 * received the answer. The cases:
 *
 * <ol>
 *   <li>A limit that is new or has changed is broadcast at once to all entries that place requests. A lead forwards
 *       what its followers report, and sends them the limits of the endpoints of its failure domain, since they decide
 *       alone when the lead fails.
 *   <li>A limit that was unknown to the entry that placed the request is broadcast as well, whether it is new here or
 *       not: a lead that has restarted knows none.
 *   <li>An entry that continues to receive a limit broadcasts it again every {@link #BROADCAST_INTERVAL}, for newly
 *       started entries and for lost messages.
 *   <li>An answer without a limit ends the limit if the request was sent after the limit was known and no entry has
 *       received it for {@link #MIN_AGE_TO_END}, since answers may overtake each other. The end is broadcast, too.
 *   <li>An update that is older than the end is ignored.
 *   <li>A limit ends with the incarnation of the endpoint.
 * </ol>
 *
 * <p>Invariant: this entry sends at most its share of a known limit, as divided by {@link RateLimitShares}. At least
 * one entry always has a share, so that there are answers that can report the end of the limit.
 */
public final class RateLimitsComponent implements ControlComponent {
    private static final Duration BROADCAST_INTERVAL = Duration.ofSeconds(2);

    /** Long enough to receive answers from an endpoint that is called once per second or less often. */
    private static final Duration LOCAL_REPORT_AGE_LIMIT = Duration.ofSeconds(4);

    private static final Duration MIN_AGE_TO_END = Duration.ofSeconds(1);

    /** For a moment, endpoints tolerate twice their limit. */
    private static final double INTERNAL_CALL_SHARE = 0.5;

    /** Loading of new weights can't be delayed for longer. */
    private static final Duration MAX_INTERNAL_CALL_INTERVAL = Duration.ofSeconds(2);

    /** No earlier message is in flight after this time. */
    private static final Duration END_RETENTION = Duration.ofSeconds(10);

    /** Followers need the limits only when they decide alone, and messages are seldom lost. */
    private static final Duration FOLLOWERS_INTERVAL = Duration.ofSeconds(20);

    /**
     * No entry has reported the limit for this time, so no entry has called the endpoint, or the update about its end
     * was lost.
     */
    private static final Duration UNREPORTED_RETENTION = Duration.ofSeconds(60);

    /** A registration may lapse while the key-value service is unavailable. */
    private static final Duration UNLISTED_RETENTION = Duration.ofSeconds(10);

    private final Fleet fleet;
    private final Map<EndpointIncarnation, LimitedEndpoint> limitedEndpoints = new HashMap<>();
    private final Map<EndpointIncarnation, Long> endNanos = new HashMap<>();
    private final Map<EndpointId, FailureDomain> domains = new HashMap<>();
    private ControlContext context;
    private boolean tickScheduled;
    private long startedNanos;

    private RateLimitsComponent(Fleet fleet) {
        this.fleet = fleet;
    }

    /**
     * Creates the rate limits of one entry.
     *
     * @param fleet the other entries
     */
    public static RateLimitsComponent of(Fleet fleet) {
        return new RateLimitsComponent(fleet);
    }

    /** The other entries. */
    public interface Fleet extends UpdateBroadcaster {
        /** Returns the shares of the entries that place requests on the endpoint. */
        RateLimitShares sharesFor(ListedEndpoint endpoint);
    }

    /** An endpoint with a rate limit. */
    private static final class LimitedEndpoint {
        private final RecentCalls requests = new RecentCalls();
        private final RecentCalls internalCalls = new RecentCalls();
        private final RateLimiter limiter;
        private RateLimit limit;
        private long reportedNanos;
        private long sentToFollowersNanos;
        private Optional<Long> receivedHereNanos = Optional.empty();
        private Optional<Long> unlistedNanos = Optional.empty();

        private LimitedEndpoint(RateLimit limit, long nowNanos, long reportedNanos) {
            this.limit = limit;
            this.reportedNanos = reportedNanos;
            this.limiter = RateLimiter.startingAt(nowNanos);
        }
    }

    @Override
    public void start(ControlContext controlContext) {
        context = controlContext;
        startedNanos = context.nowNanos();
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof NoticeReceived received) {
            onNotice(received);
        } else if (event instanceof PeerReceived received && received.message() instanceof RateLimitUpdate update) {
            onUpdate(received.from(), update);
        } else if (event instanceof KeyValueRecordUpdated updated
                && updated.record() instanceof KeyValueRecord.EndpointListed listed) {
            onListed(listed.endpoint());
        } else if (event instanceof KeyValueRecordRemoved removed
                && removed.subject() instanceof KeyValueRecord.Subject.EndpointSubject subject) {
            onUnlisted(subject.endpoint());
        }
    }

    @Override
    public void contribute(ControlSnapshot.Builder snapshot) {
        snapshot.put(RateLimitsSnapshot.class, new RateLimitsSnapshot(limitedEndpoints.size()));
    }

    // State for other components

    /** Returns whether the endpoint has a known limit. */
    public boolean isLimited(EndpointIncarnation endpoint) {
        return limitedEndpoints.containsKey(endpoint);
    }

    /** Returns whether no endpoint has a known limit. */
    public boolean isEmpty() {
        return limitedEndpoints.isEmpty();
    }

    /** Returns the requests per second that this entry may send to an endpoint with a limit. */
    public double shareOf(ListedEndpoint endpoint) {
        return currentShare(endpoint, limitedEndpoints.get(endpoint.incarnation()));
    }

    /** Returns the entries of a mesh that have a share of the limit of an endpoint. */
    public List<EntryId> shareOwners(ListedEndpoint endpoint) {
        LimitedEndpoint known = limitedEndpoints.get(endpoint.incarnation());
        return fleet.sharesFor(endpoint).shareOwners(endpoint, known.limit);
    }

    /** Returns whether this entry may send the endpoint one more request now. */
    public boolean allowsRequest(ListedEndpoint endpoint) {
        LimitedEndpoint known = limitedEndpoints.get(endpoint.incarnation());
        return known == null || known.limiter.allows(currentShare(endpoint, known), context.nowNanos());
    }

    /** Records that a request is sent to the endpoint now. */
    public void recordRequest(EndpointIncarnation endpoint) {
        LimitedEndpoint known = limitedEndpoints.get(endpoint);
        if (known != null) {
            known.requests.add(context.nowNanos());
            known.limiter.consume();
        }
    }

    /** Returns the minimum time between two internal calls to the endpoint; zero if it has no limit. */
    public Duration minInternalCallInterval(EndpointIncarnation endpoint) {
        LimitedEndpoint known = limitedEndpoints.get(endpoint);
        if (known == null) {
            return Duration.ZERO;
        }
        Duration interval = Duration.ofMillis((long) (1_000 / (known.limit.perSecond() * INTERNAL_CALL_SHARE)));
        return Comparators.min(interval, MAX_INTERNAL_CALL_INTERVAL);
    }

    /**
     * Records an internal call, which serves no caller's request, such as one for cache events or for the state of an
     * engine.
     */
    public void recordInternalCall(EndpointIncarnation endpoint) {
        LimitedEndpoint known = limitedEndpoints.get(endpoint);
        if (known != null) {
            known.internalCalls.add(context.nowNanos());
            known.limiter.consume();
        }
    }

    private double currentShare(ListedEndpoint endpoint, LimitedEndpoint known) {
        if (context.nowNanos() - startedNanos < PeersComponent.DISCOVERY_PERIOD.toNanos()) {
            return 0;
        }
        return fleet.sharesFor(endpoint).shareOf(context.self().entry(), endpoint, known.limit);
    }

    // Updates from endpoints and other entries

    private void onNotice(NoticeReceived received) {
        Optional<RateLimit> limit = received.notice().rateLimit();
        if (limit.isPresent()) {
            onLimit(limit.get(), received);
        } else if (received.limitKnownAtPlacement()) {
            onNoLimit(received.endpoint());
        }
    }

    private void onLimit(RateLimit limit, NoticeReceived received) {
        long now = context.nowNanos();
        boolean changed =
                applyLimit(received.endpoint(), limit, now, context.self().entry());
        LimitedEndpoint known = limitedEndpoints.get(received.endpoint());
        known.receivedHereNanos = Optional.of(now);
        if (changed || !received.limitKnownAtPlacement()) {
            fleet.broadcast(updateOf(received.endpoint(), known));
        }
    }

    private void onNoLimit(EndpointIncarnation endpoint) {
        boolean unknownHere = !limitedEndpoints.containsKey(endpoint);
        if (unknownHere
                || endIfOutdated(endpoint, context.nowNanos(), context.self().entry())) {
            fleet.broadcast(new RateLimitUpdate(endpoint, Optional.empty(), 0));
        }
    }

    private void onUpdate(EntryId from, RateLimitUpdate update) {
        long asOfNanos = context.nowNanos() - update.ageMillis() * 1_000_000;
        boolean changed = update.limit().isPresent()
                ? isAfterEnd(update.endpoint(), asOfNanos)
                        && applyLimit(update.endpoint(), update.limit().get(), asOfNanos, from)
                : endIfOutdated(update.endpoint(), asOfNanos, from);
        if (!fleet.forwardsFor(from)) {
            return;
        }
        if (limitedEndpoints.containsKey(update.endpoint())) {
            limitedEndpoints.get(update.endpoint()).receivedHereNanos = Optional.of(context.nowNanos());
        }
        if (changed) {
            fleet.broadcast(update);
        }
    }

    private boolean isAfterEnd(EndpointIncarnation endpoint, long asOfNanos) {
        Long endedNanos = endNanos.get(endpoint);
        return endedNanos == null || asOfNanos - endedNanos > 0;
    }

    /** Applies a limit. Returns whether the limit is new or has changed. */
    private boolean applyLimit(EndpointIncarnation endpoint, RateLimit limit, long asOfNanos, EntryId from) {
        LimitedEndpoint known = limitedEndpoints.get(endpoint);
        if (known == null) {
            LimitedEndpoint added = new LimitedEndpoint(limit, context.nowNanos(), asOfNanos);
            limitedEndpoints.put(endpoint, added);
            sendToFollowers(endpoint, added);
            scheduleTick();
        } else if (asOfNanos - known.reportedNanos < 0) {
            return false;
        } else {
            known.reportedNanos = asOfNanos;
            if (limit.equals(known.limit)) {
                return false;
            }
            known.limit = limit;
        }
        context.perform(Decision.of("rate-limit-heard")
                .with("endpoint", endpoint)
                .with("per_second", limit)
                .with("from", from)
                .with("age_ms", (context.nowNanos() - asOfNanos) / 1_000_000));
        return true;
    }

    private boolean endIfOutdated(EndpointIncarnation endpoint, long asOfNanos, EntryId from) {
        LimitedEndpoint known = limitedEndpoints.get(endpoint);
        boolean ends = known != null && asOfNanos - known.reportedNanos >= MIN_AGE_TO_END.toNanos();
        if (ends) {
            endLimit(endpoint, from);
        }
        return ends;
    }

    private void endLimit(EndpointIncarnation endpoint, EntryId from) {
        LimitedEndpoint known = limitedEndpoints.remove(endpoint);
        endNanos.put(endpoint, context.nowNanos());
        if (isInLocalDomain(endpoint)) {
            fleet.sendToFollowers(new RateLimitUpdate(endpoint, Optional.empty(), 0));
        }
        scheduleTick();
        context.perform(Decision.of("rate-limit-ended")
                .with("endpoint", endpoint)
                .with("per_second", known.limit)
                .with("from", from)
                .with("named_ms_ago", (context.nowNanos() - known.reportedNanos) / 1_000_000));
    }

    // Registrations

    private void onListed(ListedEndpoint endpoint) {
        EndpointIncarnation incarnation = endpoint.incarnation();
        domains.put(endpoint.id(), endpoint.domain());
        limitedEndpoints
                .keySet()
                .removeIf(known -> known.endpoint().equals(incarnation.endpoint()) && known.isBefore(incarnation));
        LimitedEndpoint known = limitedEndpoints.get(incarnation);
        if (known != null) {
            known.unlistedNanos = Optional.empty();
        }
    }

    private void onUnlisted(EndpointId endpoint) {
        domains.remove(endpoint);
        limitedEndpoints.forEach((incarnation, known) -> {
            if (incarnation.endpoint().equals(endpoint)) {
                known.unlistedNanos = Optional.of(context.nowNanos());
            }
        });
    }

    // Periodic tasks

    private void scheduleTick() {
        if (!tickScheduled) {
            tickScheduled = true;
            context.after(BROADCAST_INTERVAL, this::tick);
        }
    }

    private void tick() {
        tickScheduled = false;
        removeExpired();
        limitedEndpoints.forEach((endpoint, known) -> {
            rebroadcast(endpoint, known);
            sendToFollowersIfDue(endpoint, known);
            logUse(endpoint, known);
        });
        if (!limitedEndpoints.isEmpty() || !endNanos.isEmpty()) {
            scheduleTick();
        }
    }

    private void removeExpired() {
        long now = context.nowNanos();
        endNanos.values().removeIf(endedNanos -> now - endedNanos > END_RETENTION.toNanos());
        limitedEndpoints
                .values()
                .removeIf(known -> known.unlistedNanos
                                .filter(sinceNanos -> now - sinceNanos > UNLISTED_RETENTION.toNanos())
                                .isPresent()
                        || now - known.reportedNanos > UNREPORTED_RETENTION.toNanos());
    }

    private void rebroadcast(EndpointIncarnation endpoint, LimitedEndpoint known) {
        known.receivedHereNanos
                .filter(receivedNanos -> context.nowNanos() - receivedNanos < LOCAL_REPORT_AGE_LIMIT.toNanos())
                .ifPresent(receivedNanos -> fleet.broadcast(updateOf(endpoint, known)));
    }

    private void sendToFollowersIfDue(EndpointIncarnation endpoint, LimitedEndpoint known) {
        if (context.nowNanos() - known.sentToFollowersNanos >= FOLLOWERS_INTERVAL.toNanos()) {
            sendToFollowers(endpoint, known);
        }
    }

    private void sendToFollowers(EndpointIncarnation endpoint, LimitedEndpoint known) {
        known.sentToFollowersNanos = context.nowNanos();
        if (isInLocalDomain(endpoint)) {
            fleet.sendToFollowers(updateOf(endpoint, known));
        }
    }

    private boolean isInLocalDomain(EndpointIncarnation endpoint) {
        return context.self().domain().equals(domains.get(endpoint.endpoint()));
    }

    private RateLimitUpdate updateOf(EndpointIncarnation endpoint, LimitedEndpoint known) {
        long ageMillis = (context.nowNanos() - known.reportedNanos) / 1_000_000;
        return new RateLimitUpdate(endpoint, Optional.of(known.limit), ageMillis);
    }

    private void logUse(EndpointIncarnation endpoint, LimitedEndpoint known) {
        long now = context.nowNanos();
        int requests = known.requests.count(now);
        int internalCalls = known.internalCalls.count(now);
        if (requests + internalCalls > 0) {
            context.perform(Decision.of("rate-limit-use")
                    .with("endpoint", endpoint)
                    .with("per_second", known.limit)
                    .with("named_ms_ago", (now - known.reportedNanos) / 1_000_000)
                    .with("requests", requests)
                    .with("other_calls", internalCalls)
                    .with("within_ms", RecentCalls.WINDOW.toMillis()));
        }
    }
}
