package org.yuccagw.core.placing;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.placing.EndpointSelector.Selection;
import org.yuccagw.core.placing.RequestQueue.QueuedRequest;
import org.yuccagw.core.stores.CachePlan;
import org.yuccagw.core.stores.CacheSalt;

/** Places one request on an endpoint with free capacity, or refuses it if no endpoint could answer it in time. */
final class PlacementStep {
    private final Candidates candidates;
    private final EndpointChoice choice;
    private final RunningAttempts attempts;
    private final CachePlanner cachePlanner;
    private final RequestQueue queue;
    private final RetryBudget retryBudget;
    private final Refusals refusals;
    private final PlacementComponent.DecisionHandler decisionHandler;
    private ControlContext context;

    private PlacementStep(
            Candidates candidates,
            EndpointChoice choice,
            RunningAttempts attempts,
            CachePlanner cachePlanner,
            RequestQueue queue,
            RetryBudget retryBudget,
            Refusals refusals,
            PlacementComponent.DecisionHandler decisionHandler) {
        this.candidates = candidates;
        this.choice = choice;
        this.attempts = attempts;
        this.cachePlanner = cachePlanner;
        this.queue = queue;
        this.retryBudget = retryBudget;
        this.refusals = refusals;
        this.decisionHandler = decisionHandler;
    }

    /**
     * Creates the step of one entry.
     *
     * @param attempts receives the attempts that are placed
     * @param queue counts what workspaces use of their shares
     * @param retryBudget permits the retries, of which each that is placed consumes one
     * @param decisionHandler receives the placements
     */
    static PlacementStep of(
            Candidates candidates,
            EndpointChoice choice,
            RunningAttempts attempts,
            CachePlanner cachePlanner,
            RequestQueue queue,
            RetryBudget retryBudget,
            Refusals refusals,
            PlacementComponent.DecisionHandler decisionHandler) {
        return new PlacementStep(
                candidates, choice, attempts, cachePlanner, queue, retryBudget, refusals, decisionHandler);
    }

    void start(ControlContext controlContext) {
        context = controlContext;
    }

    /** Places or refuses the request. Returns false if no endpoint can accept it now. */
    boolean tryPlace(QueuedRequest queued) {
        PlacementRequest request = queued.request();
        if (refusals.refuseIfPartIsSuspect(request)) {
            return true;
        }
        List<EndpointState> eligible = candidates.forRequest(request);
        if (eligible.isEmpty()) {
            return refuseIfRejectedForTooLong(queued);
        }
        long leftMillis = request.leftMillis() - queued.waitedMillis(context.nowNanos());
        Optional<Selection> selection = choice.select(queued, eligible);
        if (selection.isEmpty()) {
            return false;
        }
        if (selection.get().firstByteMillis() > leftMillis) {
            long missingMillis = (long) selection.get().firstByteMillis() - leftMillis;
            refusals.refuseOverloaded(request, missingMillis, "wait too long");
            return true;
        }
        if (!retryBudget.tryConsume(request, context.nowNanos())) {
            refusals.refuseRetry(request);
            return true;
        }
        place(queued, selection.get());
        return true;
    }

    /**
     * Guards against callers that wait for their whole timeout although it is known that no endpoint accepts their
     * requests.
     */
    private boolean refuseIfRejectedForTooLong(QueuedRequest queued) {
        long millis = candidates.remainingRejectionTime(queued.request()).toMillis();
        boolean tooLong = millis > (queued.untilNanos() - context.nowNanos()) / 1_000_000 && millis > 0;
        if (tooLong) {
            refusals.refuseOverloaded(queued.request(), millis, "endpoints turn away");
        }
        return tooLong;
    }

    private void place(QueuedRequest queued, Selection best) {
        PlacementRequest request = queued.request();
        EndpointState endpoint = best.endpoint();
        queue.recordPlaced(queued);
        candidates.recordPlaced(endpoint);
        long ticket = attempts.add(request, best);
        OptionalLong version = candidates.versionFor(request, endpoint);
        Optional<String> salt = request.prompt()
                .map(prompt -> CacheSalt.of(request.workspace(), request.permittedRegions(), version.orElse(0)));
        Optional<CachePlan> cache = cachePlanner.plan(request, endpoint, version, salt);
        boolean rateLimited = candidates.isRateLimited(endpoint);
        context.perform(PlacementLog.placed(queued, best, version, salt.orElse(""), context.nowNanos())
                .with("rate_limited", rateLimited));
        PlacementDecision.Placed placed = new PlacementDecision.Placed(
                ticket,
                endpoint.listed(),
                version,
                candidates.beginWithin(request, version),
                salt,
                cache,
                queued.priority().urgency(),
                (long) best.firstByteMillis(),
                rateLimited);
        decisionHandler.onDecision(request, placed);
    }
}
