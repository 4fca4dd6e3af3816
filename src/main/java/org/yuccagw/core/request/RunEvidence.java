package org.yuccagw.core.request;

import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.retry.RetryDecision;

/** Whether a request may have run, and how its latest attempt failed. Once it may have run, that never changes. */
final class RunEvidence {
    private boolean mayHaveRun;
    private boolean mayHaveRunBefore;
    private AttemptFailure lastFailure;
    private String lastDetail = "";

    private RunEvidence() {}

    static RunEvidence create() {
        return new RunEvidence();
    }

    void recordRun() {
        mayHaveRun = true;
    }

    /**
     * Records the failure of an attempt.
     *
     * @param resuming whether it was resuming a run, which has run whatever the failure proves
     */
    void recordFailure(AttemptFailure failure, boolean resuming, String detail) {
        lastFailure = failure;
        lastDetail = detail;
        mayHaveRunBefore = mayHaveRun;
        mayHaveRun |= resuming || !failure.provesNotRun();
    }

    /** Records that the endpoint of the latest attempt has terminated. */
    void recordTermination() {
        lastFailure = AttemptFailure.DIED;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns whether the request may have run in an attempt before the one that failed last. */
    boolean mayHaveRunBefore() {
        return mayHaveRunBefore;
    }

    AttemptFailure lastFailure() {
        return lastFailure;
    }

    /** Returns whether the stream of the latest attempt no longer exists at its endpoint. */
    boolean endedStream() {
        return lastFailure == AttemptFailure.DIED || lastFailure == AttemptFailure.STREAM_FORGOTTEN;
    }

    /**
     * Returns the error for a request whose latest attempt failed.
     *
     * @param answerStarted whether the caller has received a part of the answer
     */
    YuccagwException attemptError(boolean answerStarted, EndpointId endpoint) {
        String detail = lastFailure == null ? lastDetail : lastFailure + ": " + lastDetail;
        if (answerStarted) {
            return ErrorKind.STREAM_LOST.raise(detail);
        }
        return mayHaveRun
                ? ErrorKind.ENDPOINT_FAILED.raise(endpoint, detail)
                : ErrorKind.ENDPOINT_REFUSED.raise(endpoint, detail);
    }

    /** Returns whether a retry was given up because of the retry budget alone. */
    boolean isBudgetSpent(RetryDecision.GiveUp decision) {
        return decision.error() == ErrorKind.RETRY_BUDGET_SPENT && !mayHaveRun;
    }
}
