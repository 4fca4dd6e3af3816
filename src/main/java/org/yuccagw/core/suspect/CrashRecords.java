package org.yuccagw.core.suspect;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.yuccagw.core.id.EndpointIncarnation;

/**
 * Decides which part of prompts a series of crashes is blamed on.
 *
 * <p>A crash leaves a record of every part of every prompt that the endpoint had not answered, since any of them may be
 * the cause. A sound part is answered soon, by a retry or by another prompt with it, and its record is removed. A part
 * that crashes endpoints is never answered, and its record grows. A part is blamed in either of two cases:
 *
 * <ol>
 *   <li>{@link #MIN_CRASHES_IN_SERIES} endpoints crashed with it one after the other, and no other part was there each
 *       time. Parts that were only beside it are explained by it.
 *   <li>Other parts were there each time too, but none more often. Then it takes {@link #MIN_CRASHES_IN_LONG_SERIES}
 *       crashes one after the other, or {@link #MIN_CRASHES} at any times while the model answers other prompts at
 *       {@link #MIN_CHECKS_WITH_OTHER_ANSWERS} checks.
 * </ol>
 *
 * <p>Example: engine 1 crashes while it reads [preamble, notebook 1, bad, own 1] and [preamble, notebook 2, own 2].
 * The second prompt is answered by engine 2, so that only notebook 1 and bad keep a record. Engine 3 crashes with
 * [preamble, notebook 3, bad, own 3], engine 4 with [preamble, notebook 1, bad, own 4]. Three engines crashed with bad
 * and two with notebook 1: bad is blamed.
 */
final class CrashRecords {
    static final int MIN_CRASHES_IN_SERIES = 3;
    static final int MIN_CRASHES_IN_LONG_SERIES = 5;
    static final int MIN_CRASHES = 4;

    /** Interval at which {@link #blamed} is to be called while {@link #mayBlame} holds. */
    static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

    /** Two seconds in which a prompt with a sound part would have been answered. */
    static final int MIN_CHECKS_WITH_OTHER_ANSWERS = 20;

    /** Sound parts of prompts that come often are answered within this time. */
    static final Duration MIN_TIME_UNANSWERED = Duration.ofSeconds(1);

    /** For a part that another one explains as well. */
    static final Duration MIN_LONG_TIME_UNANSWERED = Duration.ofSeconds(2);

    /** One crash is enough to blame a part again that was refused before. */
    private static final int MIN_CRASHES_AGAIN = 1;

    /** By then the other entries have reported what they lost with the same endpoint. */
    private static final Duration REPORTS_DELAY = Duration.ofMillis(100);

    private static final Duration RETENTION = Duration.ofMinutes(10);

    /** Callers choose the ids of parts, so their number needs a bound. */
    private static final int MAX_PARTS = 4_096;

    private static final int MAX_ENDPOINTS = 1_024;

    private final LinkedHashMap<SuspectPart, PartRecord> records = new LinkedHashMap<>();
    private final LinkedHashMap<EndpointIncarnation, Long> reportedNanos = new LinkedHashMap<>();
    private final Set<String> answeredModels = new HashSet<>();

    void add(EndpointIncarnation endpoint, LostAttempt attempt, long nowNanos) {
        long sentNanos = nowNanos - attempt.sentAge().toNanos();
        long crashNanos = nowNanos - attempt.crashAge().toNanos();
        long knownSinceNanos = reportedNanos.computeIfAbsent(endpoint, first -> nowNanos);
        for (SuspectPart part : attempt.parts()) {
            PartRecord present = records.remove(part);
            PartRecord record = present == null ? new PartRecord() : present;
            record.add(endpoint, sentNanos, crashNanos, knownSinceNanos);
            records.put(part, record);
        }
        removeOldest(records, MAX_PARTS);
        removeOldest(reportedNanos, MAX_ENDPOINTS);
    }

    private static void removeOldest(Map<?, ?> map, int maxSize) {
        while (map.size() > maxSize) {
            map.remove(map.keySet().iterator().next());
        }
    }

    boolean isEmpty() {
        return records.isEmpty();
    }

    int size() {
        return records.size();
    }

    boolean has(SuspectPart part) {
        return records.containsKey(part);
    }

    /** Records that the model has answered a prompt. */
    void recordAnswer(String model) {
        answeredModels.add(model);
    }

    /** Removes the record of a part. */
    void remove(SuspectPart part) {
        records.remove(part);
    }

    void expire(long nowNanos) {
        reportedNanos.values().removeIf(since -> nowNanos - since > RETENTION.toNanos());
        records.values().removeIf(record -> nowNanos - record.lastCrashNanos() > RETENTION.toNanos());
    }

    /** Returns the number of endpoints that crashed with a part. */
    int crashes(SuspectPart part) {
        PartRecord record = records.get(part);
        return record == null ? 0 : record.crashes();
    }

    /**
     * Returns whether a part that isn't refused has enough crashes to be blamed.
     *
     * @param refused the parts that are refused, and those that were before
     */
    boolean mayBlame(RefusedParts refused) {
        return records.entrySet().stream()
                .filter(each -> !refused.contains(each.getKey()))
                .anyMatch(each -> each.getValue().crashes() >= minSeries(each.getKey(), refused));
    }

    private static int minSeries(SuspectPart part, RefusedParts refused) {
        return refused.wasRefused(part) ? MIN_CRASHES_AGAIN : MIN_CRASHES_IN_SERIES;
    }

    /**
     * Returns the parts that are blamed and aren't refused.
     *
     * @param refused the parts that are refused, and those that were before
     */
    List<SuspectPart> blamed(RefusedParts refused, long nowNanos) {
        records.forEach((part, record) -> {
            if (answeredModels.contains(part.model())) {
                record.recordOtherAnswers();
            }
        });
        answeredModels.clear();
        return records.keySet().stream()
                .filter(part -> !refused.contains(part))
                .filter(part -> isBlamed(part, minSeries(part, refused), nowNanos))
                .toList();
    }

    private boolean isBlamed(SuspectPart part, int minSeries, long nowNanos) {
        PartRecord record = records.get(part);
        long unansweredNanos = nowNanos - record.firstCrashNanos();
        if (record.crashes() < minSeries || unansweredNanos < MIN_TIME_UNANSWERED.toNanos()) {
            return false;
        }
        int series = record.crashesInSeries(nowNanos - REPORTS_DELAY.toNanos());
        if (series >= minSeries && !isExplained(part, record, nowNanos, true)) {
            return true;
        }
        boolean inLongSeries = series >= MIN_CRASHES_IN_LONG_SERIES;
        boolean amongOtherAnswers =
                record.crashes() >= MIN_CRASHES && record.checksWithOtherAnswers() >= MIN_CHECKS_WITH_OTHER_ANSWERS;
        return unansweredNanos >= MIN_LONG_TIME_UNANSWERED.toNanos()
                && (inLongSeries || amongOtherAnswers)
                && !isExplained(part, record, nowNanos, false);
    }

    /**
     * Returns whether another part was there each time and may be the cause.
     *
     * @param byEqual whether a part that was there exactly the same times explains it too
     */
    private boolean isExplained(SuspectPart part, PartRecord record, long nowNanos, boolean byEqual) {
        long reportedUntilNanos = nowNanos - REPORTS_DELAY.toNanos();
        return records.entrySet().stream()
                .filter(other -> !other.getKey().equals(part))
                .map(Map.Entry::getValue)
                .filter(other -> byEqual || other.crashes() > record.crashes())
                .anyMatch(other -> other.coversAllOf(record, reportedUntilNanos));
    }
}
