package org.yuccagw.core.forward;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import org.yuccagw.core.forward.ForwardMachine.TimerKind;

/**
 * Ends legs that haven't begun in time at engines with outdated weights.
 *
 * <p>A request may wait for long in the queue of its engine. Weights that were permitted when it was sent may not be
 * when it begins, and the engine doesn't check that.
 */
final class BeginLimit {
    /** An engine may notice the end of its connection only after a drain time of 150 ms and some delay. */
    static final Duration END_TIME = Duration.ofMillis(300);

    private static final long NO_LEG = 0;

    private final ForwardEffects effects;
    private final LegPair legs;

    private BeginLimit(ForwardEffects effects, LegPair legs) {
        this.effects = effects;
        this.legs = legs;
    }

    static BeginLimit of(ForwardEffects effects, LegPair legs) {
        return new BeginLimit(effects, legs);
    }

    /** Sets the timer for the first leg whose time ends, if there is one. */
    void watch() {
        waiting().stream()
                .map(this::remaining)
                .min(Comparator.naturalOrder())
                .ifPresent(remaining -> effects.schedule(TimerKind.BEGIN, NO_LEG, remaining));
    }

    /** Returns the legs that haven't begun and whose time is over. */
    List<Leg> overdue() {
        return waiting().stream().filter(leg -> remaining(leg).isZero()).toList();
    }

    private List<Leg> waiting() {
        return legs.inProgress().stream()
                .filter(leg -> leg.head().isEmpty())
                .filter(leg -> leg.placed().beginWithin().isPresent())
                .toList();
    }

    private Duration remaining(Leg leg) {
        Duration within = leg.placed().beginWithin().orElseThrow().minus(END_TIME);
        Duration remaining = within.minusNanos(effects.nowNanos() - leg.sentNanos());
        return remaining.isNegative() ? Duration.ZERO : remaining;
    }
}
