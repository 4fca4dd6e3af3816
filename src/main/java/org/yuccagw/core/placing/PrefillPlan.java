package org.yuccagw.core.placing;

/**
 * The work that one engine would have to do for a prompt before it can answer.
 *
 * @param memoryTokens memory that the request occupies in the engine, including its expected answer
 * @param prefillTokens tokens to prefill
 * @param sharedPrefillTokens those of them that are shared with other prompts, so that another engine may have computed
 *     them already
 * @param fetchTokens tokens to fetch from stores
 * @param fetchMillis duration of these transfers, in milliseconds
 */
record PrefillPlan(
        long memoryTokens, int prefillTokens, int sharedPrefillTokens, int fetchTokens, double fetchMillis) {}
