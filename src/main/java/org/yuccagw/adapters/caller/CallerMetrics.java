package org.yuccagw.adapters.caller;

import java.time.Duration;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.request.AttemptFailure;

/** Metrics of the requests on the caller address. Methods may be called on any thread. */
public interface CallerMetrics {
    /** Records the time from the arrival of a request to the first token of its answer. */
    void recordFirstToken(String className, Duration sinceArrival);

    /**
     * Records the end of a request.
     *
     * @param end {@code answered}, {@code left}, {@code replayed}, {@code followed}, or the code of the error kind
     */
    void recordEnd(ServiceName service, String className, String end);

    /**
     * Records the prompt tokens of an answered request, as reported by the engine: reused from its cache, and
     * recomputed.
     */
    void recordPromptTokens(ServiceName service, long reused, long recomputed);

    /** Records a failed attempt. */
    void recordAttemptFailure(ServiceName service, AttemptFailure failure);
}
