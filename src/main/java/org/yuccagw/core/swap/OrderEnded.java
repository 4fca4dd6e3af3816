package org.yuccagw.core.swap;

import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.EndpointId;

/** The outcome of an {@link OrderEndpoint}. */
public record OrderEnded(EndpointId endpoint, OrderKind kind, long fencing, Outcome outcome) implements ControlEvent {
    /** How an order ended. */
    public enum Outcome {
        /** The endpoint carries out the order. */
        ACCEPTED,
        /** The endpoint has received a higher fencing number: this entry no longer owns the shard. */
        STALE_FENCING,
        /** The endpoint is carrying out another order. */
        BUSY,
        /** The endpoint rejected the order for another reason; nothing changed. */
        REFUSED,
        /**
         * The order wasn't sent: there was no connection, or this entry's authority had ended before the order could be
         * sent.
         */
        NOT_SENT,
        /** The endpoint didn't answer: the order may be carried out. */
        LOST
    }
}
