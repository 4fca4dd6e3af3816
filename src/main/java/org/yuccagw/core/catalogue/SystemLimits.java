package org.yuccagw.core.catalogue;

import java.time.Duration;

/**
 * Settings of the whole deployment.
 *
 * @param shards the fixed number of shards; a change takes effect only in an empty deployment
 * @param claimRetention how long the record of a non-idempotent request is retained
 * @param quarantine how long a prompt that terminated two endpoints is refused
 * @param retryBudget capacity of a service's retry budget in tokens; each retry spends one token
 * @param retryEarn number of tokens that each success returns to the retry budget
 * @param freshnessLimit maximum time without a message from the key-value service or a peer before an entry refuses
 *     new requests
 * @param resumeGrace how long a stream whose caller has disconnected waits for a resume
 */
public record SystemLimits(
        int shards,
        Duration claimRetention,
        Duration quarantine,
        int retryBudget,
        double retryEarn,
        Duration freshnessLimit,
        Duration resumeGrace) {
    private static final SystemLimits DEFAULTS = new SystemLimits(
            16, Duration.ofHours(24), Duration.ofMinutes(10), 20, 0.1, Duration.ofSeconds(30), Duration.ofSeconds(20));

    public static SystemLimits defaults() {
        return DEFAULTS;
    }
}
