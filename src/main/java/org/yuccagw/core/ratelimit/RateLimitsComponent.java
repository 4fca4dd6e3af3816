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
 * Which endpoints ask for fewer requests, and whether this entry may send one more there.
 *
 * <p>An endpoint names its limit in its answers, so an entry hears of it by its own requests or from the entry whose
 * answer it was. The cases:
 *
 * <ol>
 *   <li>A limit that is new or has changed is told to all that place requests at once. A lead passes on what its
 *       followers tell, and tells them of the endpoints of its failure domain, since they decide alone when it dies.
 *   <li>So is one that whoever placed the request didn't know, be it news here or not: a lead that has started again
 *       knows of none.
 *   <li>Whoever still hears it tells it again every {@link #INTERVAL}, for those that have just started and for lost
 *       messages.
 *   <li>An answer without it ends it, if the request was sent after the limit was known and nobody has heard it for
 *       {@link #STILL_NAMED}; answers overtake each other. That is told, too.
 *   <li>News older than the end is passed over.
 *   <li>What was known ends with the incarnation of the endpoint.
 * </ol>
 *
 * <p>Invariant: this entry sends its part of a known limit at most, as {@link RateLimitShares} divides it. Some part is
 * always somebody's, so that there are answers that can tell of the end.
 */
public final class RateLimitsComponent implements ControlComponent {
    private static final Duration INTERVAL = Duration.ofSeconds(2);

    /** An endpoint that is called once a second or less often is still heard. */
    private static final Duration HEARD_LATELY = Duration.ofSeconds(4);

    private static final Duration STILL_NAMED = Duration.ofSeconds(1);

    /** What endpoints bear beyond their limit for a moment is twice as much. */
    private static final double SHARE_OF_CALLS = 0.5;

    /** New weights can't wait for longer. */
    private static final Duration LONGEST_BETWEEN_CALLS = Duration.ofSeconds(2);

    /** By then no message of before is on its way. */
    private static final Duration ENDS_KEPT = Duration.ofSeconds(10);

    /** Followers need it only when they decide alone, and lose messages seldom. */
    private static final Duration FOLLOWERS_INTERVAL = Duration.ofSeconds(20);

    /** Nobody tells of it any more, so nobody has called the endpoint or the news of its end was lost. */
    private static final Duration UNHEARD_KEPT = Duration.ofSeconds(60);

    /** A registration may lapse while the key-value service is away. */
    private static final Duration UNLISTED_KEPT = Duration.ofSeconds(10);

    private final Fleet fleet;
    private final Map<EndpointIncarnation, Limited> limited = new HashMap<>();
    private final Map<EndpointIncarnation, Long> endedNanos = new HashMap<>();
    private final Map<EndpointId, FailureDomain> domains = new HashMap<>();
    private ControlContext context;
    private boolean tickScheduled;
    private long startedNanos;

    private RateLimitsComponent(Fleet fleet) {
        this.fleet = fleet;
    }

    /**
     * The limits that one entry knows of.
     *
     * @param fleet the other entries
     */
    public static RateLimitsComponent of(Fleet fleet) {
        return new RateLimitsComponent(fleet);
    }

    /** The other entries. */
    public interface Fleet extends UpdateBroadcaster {
        /** Who places requests on the endpoint. */
        RateLimitShares sendersTo(ListedEndpoint endpoint);
    }

    /** An endpoint with a limit. */
    private static final class Limited {
        private final RecentCalls requests = new RecentCalls();
        private final RecentCalls calls = new RecentCalls();
        private final RateLimiter limiter;
        private RateLimit limit;
        private long namedNanos;
        private long toldFollowersNanos;
        private Optional<Long> heardHereNanos = Optional.empty();
        private Optional<Long> unlistedNanos = Optional.empty();

        private Limited(RateLimit limit, long nowNanos, long namedNanos) {
            this.limit = limit;
            this.namedNanos = namedNanos;
            this.limiter = RateLimiter.from(nowNanos);
        }
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        startedNanos = context.nowNanos();
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof NoticeReceived heard) {
            hear(heard);
        } else if (event instanceof PeerReceived received && received.message() instanceof RateLimitUpdate news) {
            learn(received.from(), news);
        } else if (event instanceof KeyValueRecordUpdated updated
                && updated.record() instanceof KeyValueRecord.EndpointListed listed) {
            list(listed.endpoint());
        } else if (event instanceof KeyValueRecordRemoved removed
                && removed.subject() instanceof KeyValueRecord.Subject.EndpointSubject subject) {
            unlist(subject.endpoint());
        }
    }

    @Override
    public void contribute(ControlSnapshot.Builder snapshot) {
        snapshot.put(RateLimitsSnapshot.class, new RateLimitsSnapshot(limited.size()));
    }

    // ---- What others ask.

    /** Whether the endpoint names a limit, as far as this entry knows. */
    public boolean isLimited(EndpointIncarnation endpoint) {
        return limited.containsKey(endpoint);
    }

    /** Whether no endpoint names a limit, as far as this entry knows. */
    public boolean isEmpty() {
        return limited.isEmpty();
    }

    /** Requests a second that this entry may send to an endpoint with a limit. */
    public double part(ListedEndpoint endpoint) {
        return partOf(endpoint, limited.get(endpoint.incarnation()));
    }

    /** The entries of a mesh that have a part of the limit of an endpoint. */
    public List<EntryId> owners(ListedEndpoint endpoint) {
        Limited known = limited.get(endpoint.incarnation());
        return fleet.sendersTo(endpoint).owners(endpoint, known.limit);
    }

    /** Whether this entry may send one more request there now. */
    public boolean allows(ListedEndpoint endpoint) {
        Limited known = limited.get(endpoint.incarnation());
        return known == null || known.limiter.allows(partOf(endpoint, known), context.nowNanos());
    }

    /** Notes that a request is sent there now. */
    public void sendsRequest(EndpointIncarnation endpoint) {
        Limited known = limited.get(endpoint);
        if (known != null) {
            known.requests.add(context.nowNanos());
            known.limiter.take();
        }
    }

    /** How far apart calls that are no requests have to be, if the endpoint has a limit. */
    public Duration betweenCalls(EndpointIncarnation endpoint) {
        Limited known = limited.get(endpoint);
        if (known == null) {
            return Duration.ZERO;
        }
        Duration share = Duration.ofMillis((long) (1_000 / (known.limit.perSecond() * SHARE_OF_CALLS)));
        return Comparators.min(share, LONGEST_BETWEEN_CALLS);
    }

    /** Notes a call that is no caller's request, such as one for cache events or for the state of an engine. */
    public void sendsCall(EndpointIncarnation endpoint) {
        Limited known = limited.get(endpoint);
        if (known != null) {
            known.calls.add(context.nowNanos());
            known.limiter.take();
        }
    }

    private double partOf(ListedEndpoint endpoint, Limited known) {
        if (context.nowNanos() - startedNanos < PeersComponent.DISCOVERY_PERIOD.toNanos()) {
            return 0;
        }
        return fleet.sendersTo(endpoint).partOf(context.self().entry(), endpoint, known.limit);
    }

    // ---- What endpoints and other entries tell.

    private void hear(NoticeReceived heard) {
        Optional<RateLimit> limit = heard.notice().rateLimit();
        if (limit.isPresent()) {
            hearOf(limit.get(), heard);
        } else if (heard.limitForeseen()) {
            hearOfNone(heard.endpoint());
        }
    }

    private void hearOf(RateLimit limit, NoticeReceived heard) {
        long now = context.nowNanos();
        boolean news = name(heard.endpoint(), limit, now, context.self().entry());
        Limited known = limited.get(heard.endpoint());
        known.heardHereNanos = Optional.of(now);
        if (news || !heard.limitForeseen()) {
            fleet.broadcast(newsOf(heard.endpoint(), known));
        }
    }

    private void hearOfNone(EndpointIncarnation endpoint) {
        boolean knownToOthersOnly = !limited.containsKey(endpoint);
        if (knownToOthersOnly
                || endAsOf(endpoint, context.nowNanos(), context.self().entry())) {
            fleet.broadcast(new RateLimitUpdate(endpoint, Optional.empty(), 0));
        }
    }

    private void learn(EntryId from, RateLimitUpdate news) {
        long asOf = context.nowNanos() - news.ageMillis() * 1_000_000;
        boolean changed = news.limit().isPresent()
                ? isAfterEnd(news.endpoint(), asOf)
                        && name(news.endpoint(), news.limit().get(), asOf, from)
                : endAsOf(news.endpoint(), asOf, from);
        if (!fleet.forwardsFor(from)) {
            return;
        }
        if (limited.containsKey(news.endpoint())) {
            limited.get(news.endpoint()).heardHereNanos = Optional.of(context.nowNanos());
        }
        if (changed) {
            fleet.broadcast(news);
        }
    }

    private boolean isAfterEnd(EndpointIncarnation endpoint, long asOfNanos) {
        Long ended = endedNanos.get(endpoint);
        return ended == null || asOfNanos - ended > 0;
    }

    /** Takes over a limit; whether that is news. */
    private boolean name(EndpointIncarnation endpoint, RateLimit limit, long asOfNanos, EntryId from) {
        Limited known = limited.get(endpoint);
        if (known == null) {
            Limited first = new Limited(limit, context.nowNanos(), asOfNanos);
            limited.put(endpoint, first);
            tellFollowers(endpoint, first);
            tickLater();
        } else if (asOfNanos - known.namedNanos < 0) {
            return false;
        } else {
            known.namedNanos = asOfNanos;
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

    private boolean endAsOf(EndpointIncarnation endpoint, long asOfNanos, EntryId from) {
        Limited known = limited.get(endpoint);
        boolean ends = known != null && asOfNanos - known.namedNanos >= STILL_NAMED.toNanos();
        if (ends) {
            end(endpoint, from);
        }
        return ends;
    }

    private void end(EndpointIncarnation endpoint, EntryId from) {
        Limited known = limited.remove(endpoint);
        endedNanos.put(endpoint, context.nowNanos());
        if (isNear(endpoint)) {
            fleet.sendToFollowers(new RateLimitUpdate(endpoint, Optional.empty(), 0));
        }
        tickLater();
        context.perform(Decision.of("rate-limit-ended")
                .with("endpoint", endpoint)
                .with("per_second", known.limit)
                .with("from", from)
                .with("named_ms_ago", (context.nowNanos() - known.namedNanos) / 1_000_000));
    }

    // ---- Registrations.

    private void list(ListedEndpoint endpoint) {
        EndpointIncarnation incarnation = endpoint.incarnation();
        domains.put(endpoint.id(), endpoint.domain());
        limited.keySet()
                .removeIf(known -> known.endpoint().equals(incarnation.endpoint()) && known.isBefore(incarnation));
        Limited known = limited.get(incarnation);
        if (known != null) {
            known.unlistedNanos = Optional.empty();
        }
    }

    private void unlist(EndpointId endpoint) {
        domains.remove(endpoint);
        limited.forEach((incarnation, known) -> {
            if (incarnation.endpoint().equals(endpoint)) {
                known.unlistedNanos = Optional.of(context.nowNanos());
            }
        });
    }

    // ---- Each interval.

    private void tickLater() {
        if (!tickScheduled) {
            tickScheduled = true;
            context.after(INTERVAL, this::tick);
        }
    }

    private void tick() {
        tickScheduled = false;
        forget();
        limited.forEach((endpoint, known) -> {
            tellAgain(endpoint, known);
            tellFollowersAgain(endpoint, known);
            logUse(endpoint, known);
        });
        if (!limited.isEmpty() || !endedNanos.isEmpty()) {
            tickLater();
        }
    }

    private void forget() {
        long now = context.nowNanos();
        endedNanos.values().removeIf(ended -> now - ended > ENDS_KEPT.toNanos());
        limited.values()
                .removeIf(known -> known.unlistedNanos
                                .filter(unlisted -> now - unlisted > UNLISTED_KEPT.toNanos())
                                .isPresent()
                        || now - known.namedNanos > UNHEARD_KEPT.toNanos());
    }

    private void tellAgain(EndpointIncarnation endpoint, Limited known) {
        known.heardHereNanos
                .filter(heard -> context.nowNanos() - heard < HEARD_LATELY.toNanos())
                .ifPresent(heard -> fleet.broadcast(newsOf(endpoint, known)));
    }

    private void tellFollowersAgain(EndpointIncarnation endpoint, Limited known) {
        if (context.nowNanos() - known.toldFollowersNanos >= FOLLOWERS_INTERVAL.toNanos()) {
            tellFollowers(endpoint, known);
        }
    }

    private void tellFollowers(EndpointIncarnation endpoint, Limited known) {
        known.toldFollowersNanos = context.nowNanos();
        if (isNear(endpoint)) {
            fleet.sendToFollowers(newsOf(endpoint, known));
        }
    }

    private boolean isNear(EndpointIncarnation endpoint) {
        return context.self().domain().equals(domains.get(endpoint.endpoint()));
    }

    private RateLimitUpdate newsOf(EndpointIncarnation endpoint, Limited known) {
        long ageMillis = (context.nowNanos() - known.namedNanos) / 1_000_000;
        return new RateLimitUpdate(endpoint, Optional.of(known.limit), ageMillis);
    }

    private void logUse(EndpointIncarnation endpoint, Limited known) {
        long now = context.nowNanos();
        int requests = known.requests.count(now);
        int calls = known.calls.count(now);
        if (requests + calls > 0) {
            context.perform(Decision.of("rate-limit-use")
                    .with("endpoint", endpoint)
                    .with("per_second", known.limit)
                    .with("named_ms_ago", (now - known.namedNanos) / 1_000_000)
                    .with("requests", requests)
                    .with("other_calls", calls)
                    .with("within_ms", RecentCalls.SPAN.toMillis()));
        }
    }
}
