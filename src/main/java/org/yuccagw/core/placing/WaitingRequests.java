package org.yuccagw.core.placing;

import java.time.Duration;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.placing.RequestQueue.QueuedRequest;

/**
 * Lets requests wait while no endpoint has free capacity, offers them again soon, and refuses those that would wait or
 * have waited for too long.
 */
final class WaitingRequests {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(10);

    /** Answers start or end hundreds of times per second while requests wait; each would cause a check of its own. */
    private static final Duration MIN_CHECK_INTERVAL = Duration.ofMillis(2);

    private final RequestQueue queue;
    private final Candidates candidates;
    private final OverloadForecast forecast;
    private final EndpointChoice choice;
    private final PlacementStep step;
    private final Refusals refusals;
    private final PlacementComponent.DecisionHandler decisionHandler;
    private ControlContext context;
    private boolean checkScheduled;
    private long lastCheckNanos;

    private WaitingRequests(
            RequestQueue queue,
            Candidates candidates,
            OverloadForecast forecast,
            EndpointChoice choice,
            PlacementStep step,
            Refusals refusals,
            PlacementComponent.DecisionHandler decisionHandler) {
        this.queue = queue;
        this.candidates = candidates;
        this.forecast = forecast;
        this.choice = choice;
        this.step = step;
        this.refusals = refusals;
        this.decisionHandler = decisionHandler;
    }

    /**
     * Creates the waiting of one entry.
     *
     * @param forecast predicts how long a request would wait
     * @param choice learns when requests wait
     * @param step places a request or refuses it
     * @param decisionHandler learns which requests wait
     */
    static WaitingRequests of(
            RequestQueue queue,
            Candidates candidates,
            OverloadForecast forecast,
            EndpointChoice choice,
            PlacementStep step,
            Refusals refusals,
            PlacementComponent.DecisionHandler decisionHandler) {
        return new WaitingRequests(queue, candidates, forecast, choice, step, refusals, decisionHandler);
    }

    void start(ControlContext controlContext) {
        context = controlContext;
    }

    /**
     * Places the request if an endpoint has free capacity now, otherwise queues it. Requests that already wait and
     * precede it are offered first, with the next check of the queue.
     */
    void placeOrWait(QueuedRequest queued) {
        if (!queue.precedes(queued) && step.tryPlace(queued)) {
            return;
        }
        if (candidates.isUnservable(queued.request())) {
            refusals.refuseWithoutEndpoint(queued.request(), "all tried");
            return;
        }
        long maxWaitMillis = queued.maxWaitMillis();
        long engineWaitMillis = forecast.engineWaitMillis(queued, context.nowNanos());
        long rateLimitWaitMillis = forecast.rateLimitWaitMillis(queued);
        if (engineWaitMillis > maxWaitMillis) {
            refusals.refuseUntilRoom(queued, engineWaitMillis);
        } else if (rateLimitWaitMillis > maxWaitMillis) {
            refusals.refuseOverloaded(queued.request(), rateLimitWaitMillis, "rate limits");
        } else {
            queue.add(queued);
            choice.recordWaiting();
            decisionHandler.onQueued(queued.request());
            scheduleCheck();
        }
    }

    /** Offers the waiting requests after a change of the load, unless they were offered just before. */
    void offerAfterChange() {
        if (!queue.isEmpty() && context.nowNanos() - lastCheckNanos >= MIN_CHECK_INTERVAL.toNanos()) {
            check();
        }
    }

    private void scheduleCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            context.after(CHECK_INTERVAL, () -> {
                checkScheduled = false;
                check();
            });
        }
    }

    private void check() {
        lastCheckNanos = context.nowNanos();
        queue.offerAll(context.nowNanos(), step::tryPlace, this::refuseExpired);
        if (!queue.isEmpty()) {
            choice.recordWaiting();
            scheduleCheck();
        }
    }

    private void refuseExpired(QueuedRequest queued) {
        PlacementRequest request = queued.request();
        if (candidates.usableCount(request.service()) == 0 || request.prompt().isEmpty()) {
            refusals.refuseWithoutEndpoint(request, "none usable");
        } else {
            refusals.refuseUntilRoom(queued, forecast.engineWaitMillis(queued, context.nowNanos()));
        }
    }
}
