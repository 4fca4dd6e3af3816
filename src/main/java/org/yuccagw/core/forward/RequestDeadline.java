package org.yuccagw.core.forward;

import com.google.common.collect.Comparators;
import java.time.Duration;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;

/** The time until which a request has to be answered: the shorter one of its caller's and its route's timeout. */
final class RequestDeadline {
    /** An attempt with less time than this is not worth starting, since it cannot succeed. */
    private static final Duration MIN_ATTEMPT_TIME = Duration.ofMillis(20);

    private final ForwardEffects effects;
    private final Duration timeout;
    private final long untilNanos;

    private RequestDeadline(ForwardEffects effects, Duration timeout) {
        this.effects = effects;
        this.timeout = timeout;
        this.untilNanos = effects.nowNanos() + timeout.toNanos();
    }

    /** Returns the deadline of a request that begins now. */
    static RequestDeadline of(ForwardRequest request, ForwardEffects effects) {
        Duration timeout =
                Comparators.min(request.callerTimeout(), request.route().timeout());
        return new RequestDeadline(effects, timeout);
    }

    /** Returns the time left; zero if the deadline has passed. */
    Duration remaining() {
        return Duration.ofNanos(Math.max(0, untilNanos - effects.nowNanos()));
    }

    boolean permitsAttempt() {
        return remaining().compareTo(MIN_ATTEMPT_TIME) > 0;
    }

    /** Returns the error for a request that may have run when the deadline passed. */
    YuccagwException passed() {
        return ErrorKind.DEADLINE_PASSED.raise(timeout.toMillis());
    }
}
