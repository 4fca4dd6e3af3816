package org.yuccagw.adapters.decisions;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/**
 * Statistics of requests from the decision logs of entries: outcomes, reasons of refusals, and times to the first byte.
 */
public final class LogSummary {
    private static final long MAX_RECORDED_MILLIS = 600_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int MEDIAN_PERCENTILE = 50;
    private static final int TAIL_PERCENTILE = 99;

    private final Map<String, Long> outcomes;
    private final Map<String, Long> refusals;
    private final Map<Long, Histogram> firstBytes;

    private LogSummary(Map<String, Long> outcomes, Map<String, Long> refusals, Map<Long, Histogram> firstBytes) {
        this.outcomes = outcomes;
        this.refusals = refusals;
        this.firstBytes = firstBytes;
    }

    public static LogSummary of(List<DecisionLine> lines) {
        Map<Long, Histogram> firstBytes = new TreeMap<>();
        for (DecisionLine line : lines) {
            long millis = firstByteMillis(line);
            if (millis >= 0) {
                firstBytes
                        .computeIfAbsent(
                                line.time().getEpochSecond(),
                                second -> new Histogram(MAX_RECORDED_MILLIS, SIGNIFICANT_DIGITS))
                        .recordValue(Math.min(millis, MAX_RECORDED_MILLIS));
            }
        }
        return new LogSummary(
                count(lines, "ended", line -> line.field("outcome")),
                count(lines, "refused", line -> line.field("reason")),
                firstBytes);
    }

    private static Map<String, Long> count(
            List<DecisionLine> lines, String event, Function<DecisionLine, String> groupedBy) {
        return lines.stream()
                .filter(line -> line.event().equals(event))
                .collect(Collectors.groupingBy(groupedBy, TreeMap::new, Collectors.counting()));
    }

    /**
     * Returns the milliseconds until the first byte of an ended request's answer, -1 if there was none or it is
     * unknown.
     */
    private static long firstByteMillis(DecisionLine line) {
        try {
            return line.event().equals("ended") ? Long.parseLong(line.field("first_byte_ms")) : -1;
        } catch (NumberFormatException invalid) {
            // Written by another version of the program; the request is counted in the outcomes nevertheless.
            return -1;
        }
    }

    /** Returns the number of ended requests by outcome. */
    public Map<String, Long> outcomes() {
        return outcomes;
    }

    /** Returns the number of refusals by reason. */
    public Map<String, Long> refusals() {
        return refusals;
    }

    /**
     * The answers of the requests that ended in one second.
     *
     * @param secondsSinceFirst seconds since the first such second
     * @param answers number of answers that had begun
     * @param medianMillis median of the time to the first byte
     * @param p99Millis 99th percentile of the time to the first byte
     */
    public record Second(long secondsSinceFirst, long answers, long medianMillis, long p99Millis) {}

    /** Returns one element for each second in which at least one request ended whose answer had begun. */
    public List<Second> seconds() {
        long first = firstBytes.keySet().stream().findFirst().orElse(0L);
        return firstBytes.entrySet().stream()
                .map(second -> new Second(
                        second.getKey() - first,
                        second.getValue().getTotalCount(),
                        second.getValue().getValueAtPercentile(MEDIAN_PERCENTILE),
                        second.getValue().getValueAtPercentile(TAIL_PERCENTILE)))
                .toList();
    }
}
