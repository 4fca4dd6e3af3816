package org.yuccagw.core.forward;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.deployment.Route;
import org.yuccagw.core.forward.ForwardMachine.TimerKind;
import org.yuccagw.core.placing.PlacementDecision;

/**
 * Watches the legs of a repeatable request for the time without progress after which another endpoint is sought.
 * Progress is the head of the answer and then, on a resumable stream, each complete event.
 */
final class SilenceWatch {
    /** Multiple of the first-byte target. */
    private static final int HEAD_TARGETS = 2;

    /**
     * The same multiple for streams. It is higher because a retry discards the prefill of the first engine, and under
     * load the next engine starts it again behind other requests. Callers wait for four times the target.
     */
    private static final int STREAM_HEAD_TARGETS = 3;

    /** Multiple of the predicted time to the first byte. */
    private static final int HEAD_PREDICTIONS = 3;

    /** Multiple of the longest allowed gap between events. */
    private static final int EVENT_GAPS = 3;

    private static final Duration MIN_TIMEOUT = Duration.ofMillis(350);

    private final Route route;
    private final ForwardEffects effects;
    private boolean readingPaused;

    private SilenceWatch(Route route, ForwardEffects effects) {
        this.route = route;
        this.effects = effects;
    }

    static SilenceWatch of(Route route, ForwardEffects effects) {
        return new SilenceWatch(route, effects);
    }

    /** Sets the timer for the next progress of a leg. */
    void watch(Leg leg) {
        if (leg.head().isEmpty() && route.repeatable()) {
            effects.schedule(TimerKind.HEAD, leg.number(), headTimeout(leg.placed()));
        } else if (leg.head().isPresent() && route.isResumableStream()) {
            effects.schedule(TimerKind.GAP, leg.number(), gapTimeout());
        }
    }

    /** Records that the caller doesn't keep up, so that nothing is read from endpoints. */
    void pauseReading() {
        readingPaused = true;
    }

    /** Records that endpoints are read again. The time without reading doesn't count as silence. */
    void resumeReading(Optional<Leg> leg) {
        readingPaused = false;
        leg.ifPresent(resumed -> resumed.recordProgress(effects.nowNanos()));
    }

    /** Returns whether a stream is silent. If it isn't yet, its timer is set again for the remaining time. */
    boolean isSilent(Leg stream) {
        if (readingPaused) {
            watch(stream);
            return false;
        }
        Duration remaining = gapTimeout().minus(pauseOf(stream));
        if (remaining.isNegative() || remaining.isZero()) {
            return true;
        }
        effects.schedule(TimerKind.GAP, stream.number(), remaining);
        return false;
    }

    Duration pauseOf(Leg leg) {
        return Duration.ofNanos(effects.nowNanos() - leg.progressNanos());
    }

    private Duration headTimeout(PlacementDecision.Placed placed) {
        int targets = route.streamed() ? STREAM_HEAD_TARGETS : HEAD_TARGETS;
        Duration byTarget = route.target().multipliedBy(targets);
        Duration byPrediction = Duration.ofMillis(placed.firstByteMillis() * HEAD_PREDICTIONS);
        return Comparators.max(Comparators.max(byTarget, byPrediction), MIN_TIMEOUT);
    }

    private Duration gapTimeout() {
        return Comparators.max(route.maxGap().multipliedBy(EVENT_GAPS), MIN_TIMEOUT);
    }
}
