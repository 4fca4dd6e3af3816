package org.yuccagw.core.placing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.yuccagw.core.id.ServiceName;

/** This entry's shares of the retry budgets of all services. */
final class RetryBudget {
    private final RetryBounds bounds;
    private final IntSupplier shareCount;
    private final Map<ServiceName, RetryAllowance> allowances = new HashMap<>();

    private RetryBudget(RetryBounds bounds, IntSupplier shareCount) {
        this.bounds = bounds;
        this.shareCount = shareCount;
    }

    /**
     * Creates the budget of one entry.
     *
     * @param shareCount returns the number of equal shares into which the slack is divided at present
     */
    static RetryBudget of(RetryBounds bounds, IntSupplier shareCount) {
        return new RetryBudget(bounds, shareCount);
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
        return !request.isRetry() || allowanceOf(request.service()).permitsRetry(nowNanos, shareCount.getAsInt());
    }

    /**
     * Consumes one retry if the request, which is sent now, is one. Returns false if it may not be sent, since this
     * entry's share of the budget is spent.
     */
    boolean tryConsume(PlacementRequest request, long nowNanos) {
        return !request.isRetry() || allowanceOf(request.service()).tryConsume(nowNanos, shareCount.getAsInt());
    }

    private RetryAllowance allowanceOf(ServiceName service) {
        return allowances.computeIfAbsent(
                service, name -> RetryAllowance.of(bounds.ratio(), bounds.slack(), bounds.window()));
    }
}
