package org.yuccagw.core.request;

/**
 * Token counts of one answer, as reported by the engine.
 *
 * @param cachedTokens number of prompt tokens reused from the engine's cache
 * @param finishReason the engine's reason for ending the answer, such as {@code stop} or {@code length}
 */
public record Usage(long promptTokens, long answerTokens, long cachedTokens, String finishReason) {}
