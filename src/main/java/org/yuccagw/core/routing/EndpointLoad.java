package org.yuccagw.core.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import org.yuccagw.core.endpoint.EndpointReported;

/**
 * The load of one endpoint as estimated by this entry: the last load report of the endpoint, which lags behind,
 * corrected by the requests that this entry has sent since.
 *
 * <p>The report states how much prefill was queued some time ago. Since then the engine has processed some of it, and
 * this entry may have sent requests that the report does not include yet. Requests sent before the report are already
 * included. Counting them again would make the entry avoid an endpoint that it uses efficiently.
 *
 * <p>Example: the endpoint reported 8,000 queued tokens half a second ago, its speed is 8 tokens/ms, and this entry
 * sent 2,000 tokens 100 ms ago that have no first token yet. Then 8,000 - 4,000 + 2,000 = 6,000 tokens are queued,
 * which take 750 ms.
 */
final class EndpointLoad {
    private static final long REPORT_LAG_NANOS = 300_000_000L;
    private static final double LEARNING_RATE = 0.15;
    private static final double SLOW_LEARNING_RATE = 0.01;
    private static final double MAX_BASE_LATENCY_FACTOR = 4;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double INITIAL_BASE_LATENCY_MILLIS = 20;

    private final Map<Long, PendingPrefill> pendingPrefills = new LinkedHashMap<>();
    private final PrefillSpeed speed;
    private double baseLatencyMillis = INITIAL_BASE_LATENCY_MILLIS;
    private long reportedPrefillTokens;
    private int reportedRunning;
    private int reportedWaiting;
    private long reportedNanos = Long.MIN_VALUE / 2;
    private int runningAttempts;
    private int exclusiveAttempts;

    private EndpointLoad(PrefillSpeed overall) {
        this.speed = PrefillSpeed.withPrior(overall);
    }

    /** Returns the load of an endpoint without reports, whose prior is the prefill speed over all endpoints. */
    static EndpointLoad of(PrefillSpeed overall) {
        return new EndpointLoad(overall);
    }

    /** An attempt without a first token yet. */
    private record PendingPrefill(long sentNanos, long prefillTokens) {}

    void applyReport(EndpointReported report, long nowNanos) {
        reportedPrefillTokens = report.waitingPrefillTokens();
        reportedRunning = report.runningRequests();
        reportedWaiting = report.waitingRequests();
        reportedNanos = nowNanos;
    }

    /** Adds an attempt that was placed on the endpoint. Its prefill counts until its first token. */
    void place(long attempt, long prefillTokens, boolean exclusive, long nowNanos) {
        runningAttempts++;
        exclusiveAttempts += exclusive ? 1 : 0;
        pendingPrefills.put(attempt, new PendingPrefill(nowNanos, prefillTokens));
    }

    void recordFirstToken(long attempt) {
        pendingPrefills.remove(attempt);
    }

    void endAttempt(long attempt, boolean exclusive) {
        pendingPrefills.remove(attempt);
        runningAttempts = Math.max(0, runningAttempts - 1);
        exclusiveAttempts = Math.max(0, exclusiveAttempts - (exclusive ? 1 : 0));
    }

    /** Returns the number of running attempts that this entry placed on the endpoint. */
    int attemptCount() {
        return runningAttempts;
    }

    boolean hasExclusiveAttempt() {
        return exclusiveAttempts > 0;
    }

    double tokensPerMilli() {
        return speed.tokensPerMilli();
    }

    /** Returns the time in ms from sending a request without prefill to an idle engine until its first token. */
    double baseLatencyMillis() {
        return baseLatencyMillis;
    }

    /** Returns the number of prompt tokens that are queued ahead of a request sent now. */
    double queuedTokens(long nowNanos) {
        long ownTokens = 0;
        long unreportedTokens = 0;
        for (PendingPrefill pending : pendingPrefills.values()) {
            ownTokens += pending.prefillTokens();
            unreportedTokens += pending.sentNanos() > reportedNanos - REPORT_LAG_NANOS ? pending.prefillTokens() : 0;
        }
        double processedTokens = tokensPerMilli() * (nowNanos - reportedNanos + REPORT_LAG_NANOS) / NANOS_PER_MILLI;
        double reportedTokens = Math.max(0, reportedPrefillTokens - processedTokens);
        return Math.max((double) ownTokens, reportedTokens + unreportedTokens);
    }

    double queueMillis(long nowNanos) {
        return queuedTokens(nowNanos) / tokensPerMilli();
    }

    /** Returns the number of running and queued requests, including attempts that the report does not contain yet. */
    double requestCount() {
        return Math.max(runningAttempts, reportedRunning + reportedWaiting);
    }

    /** Returns the number of running and queued requests in the last report, without any correction. */
    int reportedRequestCount() {
        return reportedRunning + reportedWaiting;
    }

    /**
     * Updates the prefill speed from the time to a first token of a request with nothing queued ahead of it, as far as
     * is known.
     */
    void learnSpeed(long prefillTokens, double millis) {
        speed.learn(prefillTokens / Math.max(1, millis - baseLatencyMillis));
    }

    /**
     * Updates the base latency from the time to a first token of a request with almost no prefill. Shorter times are
     * followed quickly and longer times slowly, because a longer time includes a wait whose cause is unknown here.
     */
    void learnBaseLatency(double millis) {
        double rate = millis < baseLatencyMillis ? LEARNING_RATE : SLOW_LEARNING_RATE;
        baseLatencyMillis += rate * (Math.min(millis, MAX_BASE_LATENCY_FACTOR * baseLatencyMillis) - baseLatencyMillis);
    }
}
