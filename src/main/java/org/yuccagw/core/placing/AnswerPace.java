package org.yuccagw.core.placing;

/**
 * The times between the events of a streamed answer, as its entry received them.
 *
 * <p>Example: events arrive 80, 130, 190 and 600 ms after the request was sent. Then {@code firstEventMillis} is 80,
 * {@code meanGapMillis} is 173 and {@code longestGapMillis} is 410.
 *
 * @param events number of events, at least 1
 * @param firstEventMillis time from sending the request to the first event
 * @param meanGapMillis mean time between events, 0 for a single event
 * @param longestGapMillis longest time between two events, 0 for a single event
 */
public record AnswerPace(int events, int firstEventMillis, int meanGapMillis, int longestGapMillis) {}
