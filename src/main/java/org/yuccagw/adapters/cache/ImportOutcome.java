package org.yuccagw.adapters.cache;

/**
 * The outcome of an import that precedes a request. The request is sent in any case, and the engine recomputes the
 * blocks that were not imported.
 *
 * @param blocks number of blocks that the engine committed or already had
 * @param bytes bytes transferred, 0 if the plan joined another import
 * @param millis duration in milliseconds
 */
public record ImportOutcome(int blocks, long bytes, long millis) {}
