package org.yuccagw.core.placing;

import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EntryId;

/**
 * A request that was sent to a lead for placement, and which decisions about it are still outstanding: that of the
 * lead, and once the lead has been passed over also that of this entry.
 *
 * <p>Invariant: the request stays in the queue of the lead until its caller is sent a decision.
 */
final class DelegatedRequest {
    private final PlacementRequest request;
    private final EntryId lead;
    private final long sentNanos;
    private Optional<ControlContext.Timer> timer = Optional.empty();
    private boolean leadOutstanding = true;
    private boolean passedOver;
    private boolean decidedLocally;
    private long leadDeadlineNanos;
    private Optional<HeldRefusal> refusal = Optional.empty();

    /** A refusal that its caller hasn't been sent, since the other decision may be a placement. */
    private record HeldRefusal(YuccagwException error, long heldNanos) {}

    DelegatedRequest(PlacementRequest request, EntryId lead, long sentNanos) {
        this.request = request;
        this.lead = lead;
        this.sentNanos = sentNanos;
    }

    PlacementRequest request() {
        return request;
    }

    EntryId lead() {
        return lead;
    }

    long waitedMillis(long nowNanos) {
        return (nowNanos - sentNanos) / 1_000_000;
    }

    /** Replaces the timer of the next step. */
    void setTimer(ControlContext.Timer next) {
        cancelTimer();
        timer = Optional.of(next);
    }

    void cancelTimer() {
        timer.ifPresent(ControlContext.Timer::cancel);
        timer = Optional.empty();
    }

    /** Records that this entry decides too, and until when a refusal by it waits for the lead. */
    void passOver(long deadlineNanos) {
        passedOver = true;
        leadDeadlineNanos = deadlineNanos;
    }

    boolean isPassedOver() {
        return passedOver;
    }

    /** Records that the lead has the request in its queue, so that a refusal by this entry waits longer for it. */
    void extendLeadDeadline(long deadlineNanos) {
        leadDeadlineNanos = deadlineNanos;
    }

    /** Records that no placement by the lead is expected any more. One that arrives nevertheless is used. */
    void giveUpLead() {
        leadOutstanding = false;
    }

    void holdRefusalOfLead(YuccagwException error, long nowNanos) {
        leadOutstanding = false;
        refusal = Optional.of(new HeldRefusal(error, nowNanos));
    }

    /** Holds a refusal by this entry. That of the lead, which knows the queues of the engines, takes precedence. */
    void holdLocalRefusal(YuccagwException error, long nowNanos) {
        decidedLocally = true;
        if (refusal.isEmpty()) {
            refusal = Optional.of(new HeldRefusal(error, nowNanos));
        }
    }

    /** Returns the time for which a refusal by this entry still waits for the lead; zero if it doesn't. */
    Duration remainingHold(long nowNanos) {
        long remainingNanos = leadOutstanding ? leadDeadlineNanos - nowNanos : 0;
        return Duration.ofNanos(Math.max(0, remainingNanos));
    }

    /**
     * Returns the refusal for the caller if this entry has decided, with the time after which the caller may return
     * counted from now.
     */
    Optional<YuccagwException> decidedRefusal(long nowNanos) {
        return decidedLocally ? refusal.map(held -> countedFrom(nowNanos, held)) : Optional.empty();
    }

    private static YuccagwException countedFrom(long nowNanos, HeldRefusal held) {
        long heldMillis = (nowNanos - held.heldNanos()) / 1_000_000;
        return held.error()
                .retryAfter()
                .map(retryAfter ->
                        Math.max(OverloadForecast.MIN_RETRY_AFTER_MILLIS, retryAfter.toMillis() - heldMillis))
                .map(millis -> held.error().withRetryAfter(Duration.ofMillis(millis)))
                .orElse(held.error());
    }
}
