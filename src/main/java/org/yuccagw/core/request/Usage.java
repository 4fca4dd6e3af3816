package org.yuccagw.core.request;

/**
 * Token counts of one answer, as reported by the engine.
 *
 * @param cachedTokens number of prompt tokens reused from the engine's cache
 * @param finishReason the engine's reason for ending the answer, such as {@code stop} or {@code length}
 */
public record Usage(long promptTokens, long answerTokens, long cachedTokens, String finishReason) {
    /**
     * Returns the usage over all attempts of a request, if this is the usage of the last one. The prompt of that
     * attempt contains the pieces of the earlier ones.
     */
    Usage afterPieces(long piecesBefore, long piecesSent) {
        long totalAnswerTokens = Math.max(piecesSent, answerTokens);
        long ownPromptTokens = Math.max(0, promptTokens - piecesBefore);
        return new Usage(ownPromptTokens, totalAnswerTokens, cachedTokens, finishReason);
    }
}
