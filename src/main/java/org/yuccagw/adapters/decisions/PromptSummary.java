package org.yuccagw.adapters.decisions;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.HdrHistogram.Histogram;

/**
 * Statistics of prompts from the decision logs of entries: the time that they waited at their entry, the predicted and
 * the actual time to the first byte of the answer, and the shares of the shared tokens that the engine had in its
 * cache, that were fetched from a store, and that were prefilled.
 *
 * <p>The lines of the placement and of the end of a prompt have the same request id, by which they are joined. A prompt
 * whose answer never began contributes its waiting time, its predicted time and its tokens only.
 *
 * <p>Example: in a group with the shares held 0.2, fetched 0.5 and prefilled 0.3, a predicted time to the first byte of
 * 80 ms and an actual time of 900 ms indicate that the prompts waited at the engine for work unknown to their entries.
 */
public final class PromptSummary {
    /** Length in seconds of the intervals by which prompts are grouped. */
    public static final long INTERVAL_SECONDS = 2;

    private static final long MAX_RECORDED_MILLIS = 600_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Map<String, Group> byRoute = new TreeMap<>();
    private final Map<Long, Group> byInterval = new TreeMap<>();

    private PromptSummary() {}

    /** The prompts of one route, or those placed in one interval. */
    public static final class Group {
        private final Histogram waited = new Histogram(MAX_RECORDED_MILLIS, SIGNIFICANT_DIGITS);
        private final Histogram predicted = new Histogram(MAX_RECORDED_MILLIS, SIGNIFICANT_DIGITS);
        private final Histogram firstByte = new Histogram(MAX_RECORDED_MILLIS, SIGNIFICANT_DIGITS);
        private long sharedTokens;
        private long fetchedTokens;
        private long sharedPrefilledTokens;

        /** Returns the number of prompts. */
        public long prompts() {
            return waited.getTotalCount();
        }

        /** Returns a percentile of the milliseconds that prompts waited at the entry before they were placed. */
        public long waitedMillis(double percentile) {
            return waited.getValueAtPercentile(percentile);
        }

        /** Returns a percentile of the predicted milliseconds from the placement to the first byte. */
        public long predictedMillis(double percentile) {
            return predicted.getValueAtPercentile(percentile);
        }

        /** Returns a percentile of the milliseconds from the placement to the first byte, of answers that began. */
        public long firstByteMillis(double percentile) {
            return firstByte.getValueAtPercentile(percentile);
        }

        /** Returns the share of the shared tokens that the engine had in its cache, according to its entry. */
        public double heldShare() {
            return share(sharedTokens - fetchedTokens - sharedPrefilledTokens);
        }

        /** Returns the share of the shared tokens that were fetched from a store. */
        public double fetchedShare() {
            return share(fetchedTokens);
        }

        /** Returns the share of the shared tokens that were prefilled. */
        public double prefilledShare() {
            return share(sharedPrefilledTokens);
        }

        private double share(long tokens) {
            return sharedTokens == 0 ? 0 : (double) tokens / sharedTokens;
        }

        private void add(DecisionLine placed, DecisionLine ended) {
            long waitedMillis = number(placed, "waited_ms");
            waited.recordValue(bounded(waitedMillis));
            predicted.recordValue(bounded(number(placed, "predicted_ms")));
            long shared = number(placed, "shared_tokens");
            long unsharedTokens = number(placed, "prompt_tokens") - shared;
            sharedTokens += shared;
            fetchedTokens += number(placed, "fetch_tokens");
            sharedPrefilledTokens += Math.max(0, number(placed, "read_tokens") - unsharedTokens);
            long firstByteMillis = ended == null ? -1 : number(ended, "first_byte_ms");
            if (firstByteMillis >= 0) {
                firstByte.recordValue(bounded(firstByteMillis - waitedMillis));
            }
        }
    }

    public static PromptSummary of(List<DecisionLine> lines) {
        PromptSummary summary = new PromptSummary();
        Map<String, DecisionLine> ended = endsByRequest(lines);
        long first = lines.stream()
                .mapToLong(line -> line.time().getEpochSecond())
                .min()
                .orElse(0);
        for (DecisionLine line : lines) {
            if (line.event().equals("placed") && number(line, "prompt_tokens") > 0) {
                DecisionLine end = ended.get(line.field("request"));
                long interval = (line.time().getEpochSecond() - first) / INTERVAL_SECONDS;
                group(summary.byRoute, line.field("route")).add(line, end);
                group(summary.byInterval, interval * INTERVAL_SECONDS).add(line, end);
            }
        }
        return summary;
    }

    private static Map<String, DecisionLine> endsByRequest(List<DecisionLine> lines) {
        Map<String, DecisionLine> ended = new HashMap<>();
        lines.stream()
                .filter(line -> line.event().equals("ended"))
                .forEach(line -> ended.put(line.field("request"), line));
        return ended;
    }

    private static <K> Group group(Map<K, Group> groups, K key) {
        Function<K, Group> newGroup = newKey -> new Group();
        return groups.computeIfAbsent(key, newGroup);
    }

    private static long bounded(long millis) {
        return Math.max(0, Math.min(MAX_RECORDED_MILLIS, millis));
    }

    /** Returns the value of a field as a number, -1 if the line is from another version of the program and has none. */
    private static long number(DecisionLine line, String field) {
        try {
            return Long.parseLong(line.field(field));
        } catch (NumberFormatException invalid) {
            // Handled like a missing field, which every use of this method allows for.
            return -1;
        }
    }

    /** Returns the groups by route, in the order of the routes' names. */
    public Map<String, Group> byRoute() {
        return byRoute;
    }

    /** Returns the groups by the start of their interval, in seconds since the first line. */
    public Map<Long, Group> byInterval() {
        return byInterval;
    }
}
