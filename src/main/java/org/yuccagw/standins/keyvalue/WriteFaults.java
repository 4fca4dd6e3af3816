package org.yuccagw.standins.keyvalue;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Faults to inject into the next writes and deletions, set as the field {@code writes} of {@code POST /knobs}. Delays
 * are used up before dropped answers.
 *
 * @param prefix the prefix of the keys that are affected; other writes are neither changed nor counted
 * @param dropAnswers the number of writes that take effect, but whose connection is closed without an answer
 * @param delays the number of writes that take effect only after {@code delayMillis}, even if the service is down by
 *     then
 * @param delayMillis the delay of these writes
 */
public record WriteFaults(String prefix, int dropAnswers, int delays, long delayMillis) {
    private static final WriteFaults NONE = new WriteFaults("", 0, 0, 0);

    public static WriteFaults none() {
        return NONE;
    }

    /**
     * Returns faults that drop the answers of the next {@code count} writes under the prefix after they took effect.
     */
    public static WriteFaults dropAnswers(String prefix, int count) {
        return new WriteFaults(prefix, count, 0, 0);
    }

    /** Returns faults that delay the effect of the next {@code count} writes under the prefix. */
    public static WriteFaults delays(String prefix, int count, long millis) {
        return new WriteFaults(prefix, 0, count, millis);
    }

    static WriteFaults of(JsonNode node) {
        return new WriteFaults(
                node.path("prefix").asText(""),
                node.path("drop_answers").asInt(0),
                node.path("delays").asInt(0),
                node.path("delay_ms").asLong(0));
    }

    boolean matches(String key) {
        return key.startsWith(prefix) && dropAnswers + delays > 0;
    }

    WriteFaults withOneUsed() {
        return delays > 0
                ? new WriteFaults(prefix, dropAnswers, delays - 1, delayMillis)
                : new WriteFaults(prefix, dropAnswers - 1, delays, delayMillis);
    }
}
