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
     * Orders it to load weights; answered by {@link EngineAnswer.Ordered}.
     *
     * @param manner what becomes of the requests that run there
     * @param expectedOrders the number of orders accepted so far that makes a late copy of this order void
     * @param heldUntilNanos monotonic time after which the order must not leave any more
     */
    record OrderWeights(
            ListedEndpoint endpoint,
            ModelWeights weights,
            Manner manner,
            long fence,
            long expectedOrders,
            long heldUntilNanos)
            implements EngineCall {}

    /** What becomes of running requests when weights are loaded. */
    enum Manner {
        /** They end first; requests that haven't begun are refused as not run meanwhile. */
        AFTER_RUNS,
        /** They go on with the new weights. */
        UNDER_RUNS
    }
}
