package org.yuccagw.adapters.decisions;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/** Counts what the logs of entries tell: how requests ended, why they were refused, when answers began. */
public final class LogSummary {
    private static final long LONGEST_MILLIS = 600_000;
    private static final int DIGITS = 3;
    private static final int MEDIAN = 50;
    private static final int LATE = 99;

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
                        .computeIfAbsent(line.time().getEpochSecond(), second -> new Histogram(LONGEST_MILLIS, DIGITS))
                        .recordValue(Math.min(millis, LONGEST_MILLIS));
            }
        }
        return new LogSummary(
                count(lines, "ended", line -> line.field("outcome")),
                count(lines, "refused", line -> line.field("reason")),
                firstBytes);
    }

    private static Map<String, Long> count(
            List<DecisionLine> lines, String event, Function<DecisionLine, String> cause) {
        return lines.stream()
                .filter(line -> line.event().equals(event))
                .collect(Collectors.groupingBy(cause, TreeMap::new, Collectors.counting()));
    }

    /** Milliseconds until the answer of an ended request began, -1 if none did or the line tells none. */
    private static long firstByteMillis(DecisionLine line) {
        try {
            return line.event().equals("ended") ? Long.parseLong(line.field("first_byte_ms")) : -1;
        } catch (NumberFormatException foreign) {
            // Written by another version of the program; the request counts among the outcomes all the same.
            return -1;
        }
    }

    /** How requests ended, by outcome. */
    public Map<String, Long> outcomes() {
        return outcomes;
    }

    /** Why requests were refused, by reason. */
    public Map<String, Long> refusals() {
        return refusals;
    }

    /** The answers that began in one second. */
    public record Second(long secondsSinceFirst, long answers, long medianMillis, long lateMillis) {}

    /** One element for each second in which requests ended whose answers had begun. */
    public List<Second> seconds() {
        long first = firstBytes.keySet().stream().findFirst().orElse(0L);
        return firstBytes.entrySet().stream()
                .map(each -> new Second(
                        each.getKey() - first,
                        each.getValue().getTotalCount(),
                        each.getValue().getValueAtPercentile(MEDIAN),
                        each.getValue().getValueAtPercentile(LATE)))
                .toList();
    }
}
