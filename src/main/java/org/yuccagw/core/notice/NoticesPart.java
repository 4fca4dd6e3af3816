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
import org.yuccagw.core.id.EndpointIncarnation;

/**
 * What endpoints said of themselves in answers to this entry: that they leave, and for how long they want nothing from
 * it. Rate limits, which bind all entries together, are {@code RateLimitsPart}'s.
 */
public final class NoticesPart implements ControlPart {
    private static final Duration SWEEP = Duration.ofSeconds(1);

    /** Longer than any endpoint takes to end. */
    private static final Duration LEAVING_KEPT = Duration.ofMinutes(10);

    /** Names of headers come from outside. */
    private static final int MOST_UNKNOWN_NAMES = 50;

    private final Map<EndpointIncarnation, Long> leavingNanos = new HashMap<>();
    private final Map<EndpointIncarnation, BackOff> backOffs = new HashMap<>();
    private final Set<String> unknownNames = new HashSet<>();
    private ControlContext context;
    private boolean sweepScheduled;

    private NoticesPart() {}

    public static NoticesPart create() {
        return new NoticesPart();
    }

    /** An endpoint that wants nothing from this entry until a time. */
    private static final class BackOff {
        private long untilNanos;
        private int requests;
        private int otherCalls;

        private boolean isOver(long nowNanos) {
            return nowNanos - untilNanos >= 0;
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
        }
    }

    @Override
    public void contribute(ControlSnapshot.Builder snapshot) {
        snapshot.put(NoticesSnapshot.class, new NoticesSnapshot(leavingNanos.size(), backOffs.size()));
    }

    // ---- What others ask.

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
            leave(heard.endpoint());
        }
        notice.backOff().ifPresent(time -> backOff(heard.endpoint(), time));
        notice.unknown().forEach(name -> logUnknown(heard.endpoint(), name));
    }

    private void leave(EndpointIncarnation endpoint) {
        if (leavingNanos.putIfAbsent(endpoint, context.nowNanos()) == null) {
            context.perform(Decision.of("endpoint-said-leaving").with("endpoint", endpoint));
            sweepLater();
        }
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
        if (!known.isOver(now)) {
            return false;
        }
        context.perform(Decision.of("back-off-over")
                .with("endpoint", endpoint)
                .with("requests", known.requests)
                .with("other_calls", known.otherCalls));
        return true;
    }
}
