package org.yuccagw.core.request;

import java.util.Optional;

/** What the caller of a request has received of its answer, from whichever endpoints, and the usage reported last. */
final class AnswerProgress {
    private static final long UNKNOWN_TOKENS = -1;

    private final StringBuilder text = new StringBuilder();
    private boolean headSent;
    private long pieces;
    private Optional<Usage> usage = Optional.empty();

    private AnswerProgress() {}

    static AnswerProgress create() {
        return new AnswerProgress();
    }

    /** Begins with what the caller received from an earlier request. */
    void resumeAfter(long receivedPieces, Optional<String> receivedText) {
        pieces = receivedPieces;
        receivedText.ifPresent(text::append);
    }

    /** Records that a head arrived; returns whether it is the first one, which the caller is sent. */
    boolean recordHead() {
        boolean first = !headSent;
        headSent = true;
        return first;
    }

    /** Adds the next piece of a model's answer. */
    void addPiece(String pieceText) {
        pieces++;
        text.append(pieceText);
    }

    /** Adds a piece of a plain answer, of which no text is kept. */
    void addBytes() {
        pieces++;
    }

    /** Returns whether the caller has received anything. */
    boolean isBegun() {
        return headSent || pieces > 0;
    }

    /** Returns the number of pieces that the caller has received. */
    long pieces() {
        return pieces;
    }

    String text() {
        return text.toString();
    }

    void recordUsage(Usage reported) {
        usage = Optional.of(reported);
    }

    /** Forgets the usage of an attempt, since another one begins. */
    void forgetUsage() {
        usage = Optional.empty();
    }

    Optional<Usage> usage() {
        return usage;
    }

    /** Returns the prompt tokens that the engine reused; -1 if it hasn't reported them. */
    long cachedTokens() {
        return usage.map(Usage::cachedTokens).orElse(UNKNOWN_TOKENS);
    }

    /** Returns the tokens of prompt and answer, as far as reported. */
    long usedTokens() {
        return usage.map(last -> last.promptTokens() + last.answerTokens()).orElse(pieces);
    }
}
