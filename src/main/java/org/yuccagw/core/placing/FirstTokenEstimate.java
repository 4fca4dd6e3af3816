package org.yuccagw.core.placing;

/**
 * The predicted time until an engine starts its answer to a prompt, in milliseconds from now.
 *
 * <p>Cached parts are fetched while the engine prefills earlier prompts, so only the longer of the two counts. The
 * prefill of the prompt itself follows.
 *
 * <p>Example: an engine that prefills 60 tokens per millisecond has 12,000 tokens queued. A prompt that fetches for 130
 * ms and then prefills 3,000 tokens starts after 200 + 50 ms, plus {@link #START_MILLIS}.
 *
 * @param queueMillis time until the engine has prefilled earlier prompts
 * @param fetchMillis time until the fetched parts have arrived
 * @param prefillMillis time for the prefill of this prompt
 */
record FirstTokenEstimate(double queueMillis, double fetchMillis, double prefillMillis) {
    /** Time from sending a short prompt to an idle engine to the first byte. */
    static final double START_MILLIS = 15;

    /**
     * Tokens that exceed an engine's memory wait until other requests end: about 400 ms for a prompt of 9,000 tokens.
     */
    private static final double OVERFLOW_MILLIS_PER_TOKEN = 0.045;

    static FirstTokenEstimate of(EndpointState endpoint, PrefillPlan plan, long memoryTokens, PrefillRate prefillRate) {
        Work work = endpoint.totalWork();
        long overflowTokens = Math.max(0, work.tokens() + plan.memoryTokens() - memoryTokens);
        return new FirstTokenEstimate(
                endpoint.speed().millisFor((double) work.unreadTokens(), prefillRate)
                        + overflowTokens * OVERFLOW_MILLIS_PER_TOKEN,
                plan.fetchMillis(),
                endpoint.speed().millisFor(plan.prefillTokens(), prefillRate));
    }

    /** Returns the same time for an engine that has nothing else to prefill. */
    double millisOnIdleEngine() {
        return fetchMillis + prefillMillis + START_MILLIS;
    }

    double millis() {
        return Math.max(queueMillis, fetchMillis) + prefillMillis + START_MILLIS;
    }
}
