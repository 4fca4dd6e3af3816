package org.yuccagw.core.placing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.yuccagw.core.id.ServiceName;

/** This entry's shares of the retry budgets of all services. */
final class RetryBudget {
    private final RetryBounds bounds;
    private final ToDoubleFunction<Duration> share;
    private final Map<ServiceName, RetryAllowance> allowances = new HashMap<>();

    private RetryBudget(RetryBounds bounds, ToDoubleFunction<Duration> share) {
        this.bounds = bounds;
        this.share = share;
    }

    /**
     * Creates the budget of one entry.
     *
     * @param share returns this entry's share of the slack, between 0 and 1, for the window in which it is counted
     */
    static RetryBudget of(RetryBounds bounds, ToDoubleFunction<Duration> share) {
        return new RetryBudget(bounds, share);
    }

    /** Counts a request that arrived, which raises the budget of its service if it is no retry. */
    void countArrival(PlacementRequest request, long nowNanos) {
        RetryAllowance allowance = allowanceOf(request.service());
        if (request.kind() == PlacementRequest.Kind.FIRST) {
            allowance.countRequest(nowNanos);
        }
    }

    /** Returns whether the request may be sent now: it is no retry, or this entry's share of the budget permits one. */
    boolean permits(PlacementRequest request, long nowNanos) {
        return !request.isRetry() || allowanceOf(request.service()).permitsRetry(nowNanos, currentShare());
    }

    /**
     * Consumes one retry if the request, which is sent now, is one. Returns false if it may not be sent, since this
     * entry's share of the budget is spent.
     */
    boolean tryConsume(PlacementRequest request, long nowNanos) {
        return !request.isRetry() || allowanceOf(request.service()).tryConsume(nowNanos, currentShare());
    }

    private double currentShare() {
        return share.applyAsDouble(bounds.window());
    }

    private RetryAllowance allowanceOf(ServiceName service) {
        return allowances.computeIfAbsent(
                service, name -> RetryAllowance.of(bounds.ratio(), bounds.slack(), bounds.window()));
    }
}
