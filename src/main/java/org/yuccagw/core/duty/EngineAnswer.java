package org.yuccagw.core.duty;

import java.util.Optional;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.EndpointIncarnation;

/** The outcome of an {@link EngineCall}. */
public sealed interface EngineAnswer extends ControlEvent {
    /** Returns the incarnation of the engine that was called. */
    EndpointIncarnation endpoint();

    /** The state of the engine, or empty if it didn't answer. */
    record StateReported(EndpointIncarnation endpoint, Optional<EngineState> state) implements EngineAnswer {}

    record OrderAnswered(EndpointIncarnation endpoint, Outcome outcome) implements EngineAnswer {}

    /** The outcome of an order. */
    enum Outcome {
        ACCEPTED,
        HOLDS_ALREADY,
        /** The engine is carrying out another order, or has accepted another number of orders than expected. */
        CONFLICT,
        /** The engine has received a higher fencing number. */
        FENCED,
        /** Another endpoint uses the address now. */
        GONE,
        /** The engine didn't answer: the order may take effect, now or later. */
        UNKNOWN,
        /** The order wasn't sent, because the lease had ended. */
        NOT_SENT
    }
}
