package org.yuccagw.core.placing;

import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.placing.RequestQueue.QueuedRequest;

/** Refuses requests that can't be served and tells their callers when to return. */
final class Refusals {
    private static final long MIN_RETRY_AFTER_MILLIS = OverloadForecast.MIN_RETRY_AFTER_MILLIS;

    private final Candidates candidates;
    private final RequestQueue queue;
    private final OverloadForecast forecast;
    private final SuspectPartCheck suspectParts;
    private final PlacementComponent.DecisionHandler decisionHandler;
    private ControlContext context;

    private Refusals(
            Candidates candidates,
            RequestQueue queue,
            OverloadForecast forecast,
            SuspectPartCheck suspectParts,
            PlacementComponent.DecisionHandler decisionHandler) {
        this.candidates = candidates;
        this.queue = queue;
        this.forecast = forecast;
        this.suspectParts = suspectParts;
        this.decisionHandler = decisionHandler;
    }

    /**
     * Creates the refusals of one entry.
     *
     * @param forecast reserves capacity for refused callers that return
     * @param suspectParts knows the parts of prompts that make endpoints crash
     * @param decisionHandler receives the refusals
     */
    static Refusals of(
            Candidates candidates,
            RequestQueue queue,
            OverloadForecast forecast,
            SuspectPartCheck suspectParts,
            PlacementComponent.DecisionHandler decisionHandler) {
        return new Refusals(candidates, queue, forecast, suspectParts, decisionHandler);
    }

    void start(ControlContext controlContext) {
        context = controlContext;
    }

    /** Refuses a request during which so many endpoints failed. */
    void refuseSuspect(PlacementRequest request, int failures) {
        refuse(
                request,
                ErrorKind.SUSPECT_REQUEST.raise(failures).withRetryAfter(SuspectPartCheck.RETRY_AFTER),
                "suspect");
    }

    /** Refuses a prompt with a part that makes endpoints crash; returns whether it has one. */
    boolean refuseIfPartIsSuspect(PlacementRequest request) {
        Optional<YuccagwException> error = suspectParts.refusalOf(request);
        error.ifPresent(present -> refuse(request, present, "suspect part"));
        return error.isPresent();
    }

    /** Refuses a retry beyond this entry's share of the retry budget. */
    void refuseRetry(PlacementRequest request) {
        refuse(request, ErrorKind.RETRY_BUDGET_SPENT.raise(request.service()), "retry budget spent");
    }

    /**
     * Refuses a request that no endpoint may accept. One that no endpoint ever will isn't told when to return.
     */
    void refuseWithoutEndpoint(PlacementRequest request, String reason) {
        Optional<SoftwareVersion> missing = candidates.missingSoftware(request);
        if (missing.isPresent()) {
            decide(request, ErrorKind.SOFTWARE_GONE.raise(request.service(), missing.get()), "software gone");
        } else {
            refuse(request, ErrorKind.NO_ENDPOINT.raise(request.service()), reason);
        }
    }

    /** Refuses a prompt and tells its caller to return when there is capacity for it. */
    void refuseUntilRoom(QueuedRequest queued, long backlogMillis) {
        Duration delay = forecast.reserveReturn(queued, backlogMillis, context.nowNanos());
        refuse(queued.request(), ErrorKind.OVERLOADED.raise(backlogMillis).withRetryAfter(delay), "wait too long");
    }

    /** Refuses a request that would have to wait for the given time, and longer than it may. */
    void refuseOverloaded(PlacementRequest request, long waitMillis, String reason) {
        YuccagwException error = ErrorKind.OVERLOADED.raise(waitMillis);
        refuse(request, error.withRetryAfter(retryAfter(waitMillis)), reason);
    }

    private void refuse(PlacementRequest request, YuccagwException error, String reason) {
        YuccagwException errorWithRetry =
                error.retryAfter().isPresent() ? error : error.withRetryAfter(retryAfter(MIN_RETRY_AFTER_MILLIS));
        decide(request, errorWithRetry, reason);
    }

    private void decide(PlacementRequest request, YuccagwException error, String reason) {
        context.perform(PlacementLog.refused(request, reason, error)
                .with("usable", candidates.usableCount(request.service()))
                .with("waiting", queue.size())
                .with("reserved", forecast.reservedReturns()));
        decisionHandler.onDecision(request, new PlacementDecision.Refused(error));
    }

    /**
     * Returns a random delay between one and two times the wait, so that callers that were refused together don't retry
     * together.
     */
    private Duration retryAfter(long millis) {
        long minMillis = Math.max(MIN_RETRY_AFTER_MILLIS, millis);
        return Duration.ofMillis(minMillis + (long) (context.random().nextDouble() * minMillis));
    }
}
