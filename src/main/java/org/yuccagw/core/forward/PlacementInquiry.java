package org.yuccagw.core.forward;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.forward.ForwardMachine.TimerKind;
import org.yuccagw.core.placing.AttemptEnded;
import org.yuccagw.core.placing.AttemptEnded.End;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.placing.PlacementRequest.Kind;

/**
 * The placement request of one machine, which has at most one in progress.
 *
 * <p>A placement can't be cancelled while it is being decided. So a decision may arrive that is no longer wanted, or
 * that was asked for before other endpoints failed. Such a placement is released.
 */
final class PlacementInquiry {
    private static final long NO_LEG = 0;
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(50);
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(400);

    private final ForwardEffects effects;
    private final AttemptHistory history;
    private final StreamPin pin;
    private Duration retryDelay = INITIAL_RETRY_DELAY;
    private boolean pending;
    private boolean wanted;
    private boolean outdated;

    private PlacementInquiry(ForwardEffects effects, AttemptHistory history, StreamPin pin) {
        this.effects = effects;
        this.history = history;
        this.pin = pin;
    }

    static PlacementInquiry of(ForwardEffects effects, AttemptHistory history, StreamPin pin) {
        return new PlacementInquiry(effects, history, pin);
    }

    /** Requests an endpoint. While a decision is pending, the request follows once that has arrived. */
    void request(Kind kind, Duration remaining) {
        wanted = true;
        outdated = pending;
        if (!pending) {
            pending = true;
            if (history.isLimitReached()) {
                effects.requestReturn(history.returnable(), pin.continuation(), remaining);
            } else {
                effects.requestPlacement(history.excluded(), kind, pin.continuation(), remaining);
            }
        }
    }

    /** Schedules the next request after a refusal. */
    void retryLater() {
        effects.schedule(TimerKind.PLACEMENT, NO_LEG, retryDelay);
        retryDelay = Comparators.min(retryDelay.multipliedBy(2), MAX_RETRY_DELAY);
    }

    /** The decision in progress, if there is one, isn't wanted any more. */
    void cancel() {
        wanted = false;
    }

    boolean isWanted() {
        return wanted;
    }

    /** Returns the decision that has arrived if it is wanted. Otherwise its placement is released. */
    Optional<PlacementDecision> accept(PlacementDecision decision, Duration remaining) {
        pending = false;
        if (wanted && !outdated) {
            wanted = false;
            return Optional.of(decision);
        }
        release(decision);
        if (wanted) {
            request(Kind.REPEAT, remaining);
        }
        return Optional.empty();
    }

    void release(PlacementDecision decision) {
        if (decision instanceof PlacementDecision.Placed unused) {
            effects.report(new AttemptEnded(unused.ticket(), End.LEFT));
        }
    }
}
