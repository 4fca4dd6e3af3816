package org.yuccagw.standins.engine;

/**
 * The load of an engine. The components are the fields of its JSON.
 *
 * @param running the number of sequences in the batch
 * @param waiting the number of queued requests
 * @param waitingPrefillTokens the prompt tokens still to be prefilled, of queued and running requests. Cache hits of
 *     queued requests aren't deducted, as they are determined on admission to the batch
 */
public record EngineLoad(int running, int waiting, long waitingPrefillTokens) {}
