package org.yuccagw.core.ratelimit;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlPart;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.id.EndpointIncarnation;

/** Which endpoints ask for fewer requests, as their answers to this entry tell, and what this entry sends them. */
public final class RateLimitsPart implements ControlPart {
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);

    private final Map<EndpointIncarnation, Limited> limited = new HashMap<>();
    private ControlContext context;
    private boolean logScheduled;

    private RateLimitsPart() {}

    /** The limits that one entry knows of. */
    public static RateLimitsPart create() {
        return new RateLimitsPart();
    }

    /** An endpoint with a limit. */
    private static final class Limited {
        private final RecentCalls requests = new RecentCalls();
        private final RecentCalls calls = new RecentCalls();
        private RateLimit limit;
        private long namedNanos;
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof RateLimitHeard heard) {
            heard.limit().ifPresent(limit -> name(heard.endpoint(), limit));
        }
    }

    /** Notes that a request is sent there now. */
    public void sendsRequest(EndpointIncarnation endpoint) {
        Limited known = limited.get(endpoint);
        if (known != null) {
            known.requests.add(context.nowNanos());
        }
    }

    /** Notes a call that is no caller's request, such as one for cache events or for the state of an engine. */
    public void sendsCall(EndpointIncarnation endpoint) {
        Limited known = limited.get(endpoint);
        if (known != null) {
            known.calls.add(context.nowNanos());
        }
    }

    private void name(EndpointIncarnation endpoint, RateLimit limit) {
        Limited known = limited.computeIfAbsent(endpoint, name -> new Limited());
        known.namedNanos = context.nowNanos();
        if (!limit.equals(known.limit)) {
            known.limit = limit;
            context.perform(Decision.of("rate-limit-heard")
                    .with("endpoint", endpoint)
                    .with("per_second", limit)
                    .with("from", context.self().entry()));
        }
        logLater();
    }

    private void logLater() {
        if (!logScheduled && !limited.isEmpty()) {
            logScheduled = true;
            context.after(LOG_INTERVAL, this::logUse);
        }
    }

    private void logUse() {
        logScheduled = false;
        limited.forEach(this::logUse);
        logLater();
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
