package org.yuccagw.core.suspect;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.yuccagw.core.id.EndpointIncarnation;

/** The crashes of endpoints that had not answered a prompt with a certain part, since such a prompt was answered. */
final class PartRecord {
    /** Several times as many as it takes to blame a part, so that a part that explains others stays comparable. */
    private static final int MAX_ENDPOINTS = 24;

    private final Map<EndpointIncarnation, Crash> crashByEndpoint = new LinkedHashMap<>();
    private int checksWithOtherAnswers;

    /**
     * The crash of one endpoint, in nanoseconds of the monotonic clock.
     *
     * @param sentNanos when the latest of the lost prompts was sent
     * @param crashNanos when its connection ended
     * @param reportedNanos when the crash became known here
     */
    private record Crash(long sentNanos, long crashNanos, long reportedNanos) {
        static Crash latestSend(Crash one, Crash other) {
            return one.sentNanos() - other.sentNanos() >= 0 ? one : other;
        }
    }

    void add(EndpointIncarnation endpoint, long sentNanos, long crashNanos, long reportedNanos) {
        crashByEndpoint.merge(endpoint, new Crash(sentNanos, crashNanos, reportedNanos), Crash::latestSend);
        if (crashByEndpoint.size() > MAX_ENDPOINTS) {
            crashByEndpoint.remove(crashByEndpoint.keySet().iterator().next());
        }
    }

    long firstCrashNanos() {
        return crashByEndpoint.values().stream()
                .mapToLong(Crash::crashNanos)
                .min()
                .orElseThrow();
    }

    long lastCrashNanos() {
        return crashByEndpoint.values().stream()
                .mapToLong(Crash::crashNanos)
                .max()
                .orElseThrow();
    }

    /** Records that the model has answered other prompts since the check before. */
    void recordOtherAnswers() {
        checksWithOtherAnswers++;
    }

    /** Returns at how many checks the model had answered other prompts but none with this part. */
    int checksWithOtherAnswers() {
        return checksWithOtherAnswers;
    }

    int crashes() {
        return crashByEndpoint.size();
    }

    /**
     * Returns the length of the longest series of crashes in which each request was sent after the crash before.
     * Crashes at the same time count once, since they may have a common cause.
     *
     * @param reportedUntilNanos crashes that became known later aren't counted
     */
    int crashesInSeries(long reportedUntilNanos) {
        List<Crash> byTime = crashByEndpoint.values().stream()
                .filter(crash -> reportedUntilNanos - crash.reportedNanos() >= 0)
                .sorted(Comparator.comparingLong(Crash::crashNanos))
                .toList();
        int series = 0;
        long previousNanos = 0;
        for (Crash crash : byTime) {
            if (series == 0 || crash.sentNanos() - previousNanos > 0) {
                series++;
                previousNanos = crash.crashNanos();
            }
        }
        return series;
    }

    /**
     * Returns whether each endpoint that crashed with the other part also crashed with this one.
     *
     * @param reportedUntilNanos crashes with the other part that became known later aren't looked at
     */
    boolean coversAllOf(PartRecord other, long reportedUntilNanos) {
        return other.crashByEndpoint.entrySet().stream()
                .filter(each -> reportedUntilNanos - each.getValue().reportedNanos() >= 0)
                .allMatch(each -> crashByEndpoint.containsKey(each.getKey()));
    }
}
