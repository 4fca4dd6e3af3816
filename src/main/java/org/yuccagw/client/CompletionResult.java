package org.yuccagw.client;

/**
 * The complete answer to a {@link CompletionRequest}.
 *
 * @param requestId id of the request, as used by {@code yuccagw trace}
 * @param textEvents number of events that carried the text
 * @param cachedTokens prompt tokens whose cached state the engine reused
 * @param resumes number of times that the answer was resumed over another connection
 */
public record CompletionResult(
        String requestId,
        String text,
        long textEvents,
        long promptTokens,
        long completionTokens,
        long cachedTokens,
        int resumes) {}
