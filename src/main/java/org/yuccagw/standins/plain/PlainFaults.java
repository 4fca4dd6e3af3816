package org.yuccagw.standins.plain;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Faults to inject into the next calls, set as the field {@code next} of {@code POST /knobs}. Each count applies to the
 * calls that follow, and the counts are used up in the order refused, cut before, cut after.
 *
 * @param refused the number of calls to answer with {@code refusalStatus}, without effect
 * @param refusalStatus the HTTP status of refused calls
 * @param cutBefore the number of calls whose connection is closed without effect or answer
 * @param cutAfter the number of calls that take effect, but whose connection is closed without an answer
 * @param answerMillis the delay from the effect of any call to its answer
 */
public record PlainFaults(int refused, int refusalStatus, int cutBefore, int cutAfter, long answerMillis) {
    private static final int UNAVAILABLE = 503;
    private static final PlainFaults NONE = new PlainFaults(0, UNAVAILABLE, 0, 0, 0);

    public static PlainFaults none() {
        return NONE;
    }

    public PlainFaults withRefused(int count, int status) {
        return new PlainFaults(count, status, cutBefore, cutAfter, answerMillis);
    }

    public PlainFaults withCutBefore(int count) {
        return new PlainFaults(refused, refusalStatus, count, cutAfter, answerMillis);
    }

    public PlainFaults withCutAfter(int count) {
        return new PlainFaults(refused, refusalStatus, cutBefore, count, answerMillis);
    }

    public PlainFaults withAnswerMillis(long millis) {
        return new PlainFaults(refused, refusalStatus, cutBefore, cutAfter, millis);
    }

    static PlainFaults of(JsonNode node) {
        return new PlainFaults(
                node.path("refused").asInt(0),
                node.path("refusal_status").asInt(UNAVAILABLE),
                node.path("cut_before").asInt(0),
                node.path("cut_after").asInt(0),
                node.path("answer_ms").asLong(0));
    }
}
