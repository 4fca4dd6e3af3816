package org.yuccagw.core.request;

import org.yuccagw.core.endpoint.AttemptObserved;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.retry.FailureClass;
import org.yuccagw.core.retry.RetryTable;

/** The ways in which an attempt on an endpoint ends without a whole answer. */
public enum AttemptFailure {
    /** No connection was established, so not one byte was sent. */
    CONNECT_FAILED(FailureClass.CONNECT_FAILED, AttemptObserved.Outcome.CONNECT_FAILED),
    /** The endpoint refused before running, because it has no free capacity. */
    OVERLOADED(FailureClass.OVERLOADED, AttemptObserved.Outcome.OVERLOADED),
    /** The endpoint refused before running, because it is leaving. */
    LEAVING(FailureClass.LEAVING, AttemptObserved.Outcome.SAID_LEAVING),
    /** The engine refused before running, because it runs another weight version. */
    WRONG_VERSION(FailureClass.WRONG_VERSION, AttemptObserved.Outcome.WRONG_VERSION),
    /** The endpoint refused before running, because it regards the request as invalid. */
    REJECTED(FailureClass.REJECTED, AttemptObserved.Outcome.ANSWERED),
    /** The endpoint answered with a server error. */
    SERVER_ERROR(FailureClass.FAILED, AttemptObserved.Outcome.FAILED),
    /** The connection broke, or ended before the end mark of the answer. */
    BROKEN(FailureClass.CONNECTION_RESET, AttemptObserved.Outcome.FAILED),
    /** No byte was received within the progress timeout. */
    SILENT(FailureClass.CONNECTION_SILENT, AttemptObserved.Outcome.SILENT),
    /** The endpoint doesn't know the stream to resume. */
    STREAM_FORGOTTEN(FailureClass.CONNECTION_RESET, AttemptObserved.Outcome.ANSWERED),
    /** The connection broke, and the endpoint doesn't accept connections any more. */
    DIED(FailureClass.ENDPOINT_DIED, AttemptObserved.Outcome.DIED);

    private final FailureClass failureClass;
    private final AttemptObserved.Outcome observedOutcome;

    AttemptFailure(FailureClass failureClass, AttemptObserved.Outcome observedOutcome) {
        this.failureClass = failureClass;
        this.observedOutcome = observedOutcome;
    }

    /** Returns the row of the retry table that applies to this failure. */
    public FailureClass failureClass() {
        return failureClass;
    }

    /** Whether this failure proves that the attempt did not run. */
    public boolean provesNotRun() {
        return RetryTable.row(failureClass).ran() == ErrorKind.Ran.NOT_RUN;
    }

    /** Returns the outcome to record for the endpoint. */
    public AttemptObserved.Outcome observedOutcome() {
        return observedOutcome;
    }
}
