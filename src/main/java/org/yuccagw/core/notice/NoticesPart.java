package org.yuccagw.core.notice;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlPart;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.follow.Fact;
import org.yuccagw.core.follow.FactSeen;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.peers.NewsSpread;

/**
 * What endpoints said of themselves in answers to this entry: that they leave, and for how long they want nothing from
 * it. Rate limits, which bind all entries together, are {@code RateLimitsPart}'s.
 *
 * <p>Leaving is final for an incarnation. It is remembered longer than the endpoint is listed, since a registration
 * that lapsed with the key-value service comes back as it was. Whoever hears it first tells all that place requests;
 * an entry that misses this is told by the next answer that it passes on itself.
 */
public final class NoticesPart implements ControlPart {
    private static final Duration SWEEP = Duration.ofSeconds(1);

    /** Longer than any endpoint takes to end. */
    private static final Duration LEAVING_KEPT = Duration.ofMinutes(10);

    /** Names of headers come from outside. */
    private static final int MOST_UNKNOWN_NAMES = 50;

    private final NewsSpread spread;
    private final Map<EndpointIncarnation, Long> leavingNanos = new HashMap<>();
    private final Map<EndpointIncarnation, BackOff> backOffs = new HashMap<>();
    private final Set<String> unknownNames = new HashSet<>();
    private ControlContext context;
    private boolean sweepScheduled;

    private NoticesPart(NewsSpread spread) {
        this.spread = spread;
    }

    /**
     * What one entry was told.
     *
     * @param spread tells the others
     */
    public static NoticesPart of(NewsSpread spread) {
        return new NoticesPart(spread);
    }

    /** An endpoint that wants nothing from this entry until a time. */
    private static final class BackOff {
        private long untilNanos;
        private int requests;
        private int otherCalls;

        private Duration left(long nowNanos) {
            return Duration.ofNanos(Math.max(0, untilNanos - nowNanos));
        }
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof NoticeHeard heard) {
            hear(heard);
        } else if (event instanceof PeerReceived received && received.message() instanceof EndpointNews news) {
            learn(received.from(), news);
        } else if (event instanceof FactSeen seen
                && seen.fact() instanceof Fact.EndpointListed listed
                && listed.endpoint().leaving()) {
            remember(listed.endpoint().incarnation());
        }
    }

    @Override
    public void contribute(ControlSnapshot.Builder snapshot) {
        snapshot.put(NoticesSnapshot.class, new NoticesSnapshot(leavingNanos.size(), backOffs.size()));
    }

    // ---- What others ask.

    /** Whether the endpoint said that it leaves, here, to another entry or by its registration. */
    public boolean isLeaving(EndpointIncarnation endpoint) {
        return leavingNanos.containsKey(endpoint);
    }

    /** Whether the endpoint wants nothing from this entry now. */
    public boolean backsOff(EndpointIncarnation endpoint) {
        return !backOffLeft(endpoint).isZero();
    }

    /** How much longer the endpoint wants nothing from this entry; zero if it said nothing like that. */
    public Duration backOffLeft(EndpointIncarnation endpoint) {
        BackOff known = backOffs.get(endpoint);
        return known == null ? Duration.ZERO : known.left(context.nowNanos());
    }

    /** Notes that a request of a caller of this entry is sent there now. */
    public void sendsRequest(EndpointIncarnation endpoint) {
        BackOff known = backOffs.get(endpoint);
        if (known != null) {
            known.requests++;
        }
    }

    /** Notes a call that is no caller's request, such as one for cache events or for the state of an engine. */
    public void sendsCall(EndpointIncarnation endpoint) {
        BackOff known = backOffs.get(endpoint);
        if (known != null) {
            known.otherCalls++;
        }
    }

    // ---- What endpoints say.

    private void hear(NoticeHeard heard) {
        EndpointNotice notice = heard.notice();
        if (notice.leaving()) {
            leave(heard.endpoint(), context.self().entry());
        }
        notice.backOff().ifPresent(time -> backOff(heard.endpoint(), time));
        notice.unknown().forEach(name -> logUnknown(heard.endpoint(), name));
    }

    private void learn(EntryId from, EndpointNews news) {
        leave(news.endpoint(), from);
    }

    private void leave(EndpointIncarnation endpoint, EntryId from) {
        if (!remember(endpoint)) {
            return;
        }
        context.perform(
                Decision.of("endpoint-said-leaving").with("endpoint", endpoint).with("from", from));
        context.raise(new EndpointLeaves(endpoint));
        EndpointNews news = new EndpointNews(endpoint);
        if (from.equals(context.self().entry()) || spread.speaksFor(from)) {
            spread.tell(news);
        }
        spread.tellFollowers(news);
    }

    /** Whether that is new. */
    private boolean remember(EndpointIncarnation endpoint) {
        boolean first = leavingNanos.put(endpoint, context.nowNanos()) == null;
        if (first) {
            sweepLater();
        }
        return first;
    }

    /** One that is asked for while another one lasts ends when the later one of both does. */
    private void backOff(EndpointIncarnation endpoint, Duration time) {
        long until = context.nowNanos() + time.toNanos();
        BackOff known = backOffs.get(endpoint);
        if (known == null) {
            known = new BackOff();
            known.untilNanos = until;
            backOffs.put(endpoint, known);
            context.perform(
                    Decision.of("back-off-asked").with("endpoint", endpoint).with("millis", time.toMillis()));
            sweepLater();
        } else if (until - known.untilNanos > 0) {
            known.untilNanos = until;
        }
    }

    private void logUnknown(EndpointIncarnation endpoint, String name) {
        if (unknownNames.size() < MOST_UNKNOWN_NAMES && unknownNames.add(name)) {
            context.perform(
                    Decision.of("unknown-header").with("endpoint", endpoint).with("name", name));
        }
    }

    // ---- What is over.

    private void sweepLater() {
        if (!sweepScheduled) {
            sweepScheduled = true;
            context.after(SWEEP, this::sweep);
        }
    }

    private void sweep() {
        sweepScheduled = false;
        long now = context.nowNanos();
        leavingNanos.values().removeIf(since -> now - since > LEAVING_KEPT.toNanos());
        backOffs.entrySet().removeIf(each -> endIfOver(each.getKey(), each.getValue(), now));
        if (!leavingNanos.isEmpty() || !backOffs.isEmpty()) {
            sweepLater();
        }
    }

    private boolean endIfOver(EndpointIncarnation endpoint, BackOff known, long now) {
        if (!known.left(now).isZero()) {
            return false;
        }
        context.perform(Decision.of("back-off-over")
                .with("endpoint", endpoint)
                .with("requests", known.requests)
                .with("other_calls", known.otherCalls));
        return true;
    }
}
