package org.yuccagw.core.lease;

import java.time.Duration;
import org.yuccagw.core.control.ControlContext;

/**
 * A time at which something was certain, for limits that must not be extended while this process doesn't run.
 *
 * <p>The monotonic clock doesn't count the time for which the VM is suspended, the wall clock does but may be set. The
 * time since a moment is therefore that of the monotonic clock, unless the wall clock has advanced much further. A
 * wall clock that was set forward shortens limits, and none is ever extended.
 *
 * @param nanos monotonic time
 * @param wallMillis wall-clock time
 */
public record Moment(long nanos, long wallMillis) {
    /** Larger than the difference that the correction of clocks causes within a limit of some seconds. */
    private static final Duration MAX_DRIFT = Duration.ofMillis(400);

    /** Returns the moment of the current event. */
    public static Moment now(ControlContext context) {
        return new Moment(context.nowNanos(), context.wallMillis());
    }

    /** Returns the moment that precedes this one by the given time. */
    public Moment minus(Duration time) {
        return new Moment(nanos - time.toNanos(), wallMillis - time.toMillis());
    }

    /** Returns the moment that follows this one by the given time. */
    public Moment plus(Duration time) {
        return minus(time.negated());
    }

    /** Returns whether this moment precedes another one, by the monotonic clock. */
    public boolean isBefore(Moment other) {
        return nanos - other.nanos < 0;
    }

    /** Returns the time from this moment to a later one; never less than zero. */
    public Duration until(Moment later) {
        Duration monotonic = Duration.ofNanos(Math.max(0, later.nanos - nanos));
        Duration wall = Duration.ofMillis(later.wallMillis - wallMillis);
        return wall.compareTo(monotonic.plus(MAX_DRIFT)) > 0 ? wall : monotonic;
    }
}
