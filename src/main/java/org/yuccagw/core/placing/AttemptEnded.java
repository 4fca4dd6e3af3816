package org.yuccagw.core.placing;

import java.util.Optional;
import java.util.OptionalLong;
import org.yuccagw.core.control.ControlEvent;

/**
 * An attempt on an endpoint has ended.
 *
 * @param ticket identifies the placement of the attempt
 * @param end how the attempt ended
 * @param version the weight version that the endpoint reported in its answer; empty if it reported none
 * @param pace the times between the events of a streamed answer; empty if there were none
 * @param success whether the endpoint sent a whole successful answer
 */
public record AttemptEnded(long ticket, End end, OptionalLong version, Optional<AnswerPace> pace, Success success)
        implements ControlEvent {
    /** Creates the event for an attempt without a streamed or successful answer. */
    public AttemptEnded(long ticket, End end, OptionalLong version) {
        this(ticket, end, version, Optional.empty(), Success.NONE);
    }

    /** Creates the event for an attempt whose endpoint reported no weight version. */
    public AttemptEnded(long ticket, End end) {
        this(ticket, end, OptionalLong.empty());
    }

    /** Whether an endpoint sent a whole successful answer. */
    public enum Success {
        /** It sent none, or a part of one. */
        NONE,
        /** It may have, but only the end of its connection showed the end of the answer. */
        UNPROVEN,
        /** It did. */
        PROVEN
    }

    /** How an attempt ended. */
    public enum End {
        /** The endpoint sent a complete answer of any status that isn't a fault of the endpoint. */
        ANSWERED,
        /** The endpoint answered with a failure of its own. */
        FAULT,
        /** The endpoint answered that it did not run the request. */
        SHED,
        /** The address belongs to another endpoint now. */
        WRONG_ENDPOINT,
        /** The endpoint runs another weight version than expected. */
        WRONG_VERSION,
        /** The connection could not be established, so nothing was sent. */
        UNREACHED,
        /**
         * Like {@link #UNREACHED}, but reported by only one other entry, which may have lost its own connectivity.
         * Doesn't count against the endpoint.
         */
        UNREACHED_BY_ONE,
        /** The connection broke, or the received bytes were no valid answer to the request. */
        BROKEN,
        /** The endpoint sent nothing before the timeout. */
        SILENT,
        /** The caller disconnected or its deadline passed. Doesn't count against the endpoint. */
        LEFT;

        /** Returns whether the endpoint may have run the request. */
        public boolean mayHaveRun() {
            return this != SHED
                    && this != WRONG_ENDPOINT
                    && this != WRONG_VERSION
                    && this != UNREACHED
                    && this != UNREACHED_BY_ONE;
        }
    }
}
