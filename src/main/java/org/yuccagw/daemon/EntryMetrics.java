package org.yuccagw.daemon;

import java.time.Duration;
import org.yuccagw.adapters.caller.CallerMetrics;
import org.yuccagw.adapters.telemetry.Metrics;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.request.AttemptFailure;

/** Puts what requests tell into the Prometheus metrics. */
record EntryMetrics(Metrics metrics) implements CallerMetrics {
    @Override
    public void recordFirstToken(String className, Duration sinceArrival) {
        metrics.recordFirstToken(className, sinceArrival);
    }

    @Override
    public void recordEnd(ServiceName service, String className, String end) {
        metrics.recordRequestEnd(service, className, end);
    }

    @Override
    public void recordPromptTokens(ServiceName service, long reused, long recomputed) {
        metrics.recordPromptTokens(service, reused, recomputed);
    }

    @Override
    public void recordAttemptFailure(ServiceName service, AttemptFailure failure) {
        metrics.recordRetry(service, failure.name().toLowerCase(java.util.Locale.ROOT));
    }
}
