package org.yuccagw.core.duty;

import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.fleet.ModelWeights;

/** What the holder of the weights duty asks of an engine. */
public sealed interface EngineCall extends ControlAction {
    ListedEndpoint endpoint();

    /** Asks for its state; answered by {@link EngineAnswer.Told}. */
    record AskState(ListedEndpoint endpoint) implements EngineCall {}

    /**
     * Orders it to load weights under its running requests; answered by {@link EngineAnswer.Ordered}.
     *
     * @param expectedOrders the number of orders accepted so far that makes a late copy of this order void
     * @param heldUntilNanos monotonic time after which the order must not leave any more
     */
    record OrderWeights(
            ListedEndpoint endpoint, ModelWeights weights, long fence, long expectedOrders, long heldUntilNanos)
            implements EngineCall {}
}
