package org.yuccagw.core.endpoint;

import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.EndpointId;

/** The outcome of one attempt to send a request to an endpoint, used for the ejection of outliers. */
public record AttemptObserved(EndpointId endpoint, long incarnation, Outcome outcome) implements ControlEvent {
    /** How the attempt ended, as far as the endpoint caused it. */
    public enum Outcome {
        ANSWERED,
        CONNECT_FAILED,
        OVERLOADED,
        SAID_LEAVING,
        WRONG_VERSION,
        FAILED,
        SILENT,
        DIED
    }
}
