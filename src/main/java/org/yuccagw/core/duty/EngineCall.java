package org.yuccagw.core.duty;

import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.fleet.ModelWeights;

/** A call of the holder of the weights duty to an engine. */
public sealed interface EngineCall extends ControlAction {
    ListedEndpoint endpoint();

    /** Queries the engine's state; answered by {@link EngineAnswer.StateReported}. */
    record QueryState(ListedEndpoint endpoint) implements EngineCall {}

    /**
     * Orders the engine to load weights while its requests keep running; answered by {@link
     * EngineAnswer.OrderAnswered}.
     *
     * @param expectedOrders the number of orders that the engine has accepted so far; it rejects a late copy of this
     *     order, since the number is higher by then
     * @param leaseExpiryNanos monotonic time from which on the order must not be sent any more
     */
    record OrderWeights(
            ListedEndpoint endpoint, ModelWeights weights, long fence, long expectedOrders, long leaseExpiryNanos)
            implements EngineCall {}
}
