package org.yuccagw.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/**
 * A fault or planned change of a soak.
 *
 * @param atMillis the time from the start of the schedule
 * @param target selects the endpoint or entry
 * @param millis the duration, for kinds that have one
 */
record SoakStep(long atMillis, Kind kind, int target, int millis) {
    private static final int MAX_INTERVAL_MILLIS = 900;
    private static final int MIN_SILENCE_MILLIS = 300;
    private static final int MAX_SILENCE_MILLIS = 2_500;
    private static final int MIN_RESTORATION_INTERVAL_MILLIS = 1_000;
    private static final int MAX_RESTORATION_INTERVAL_MILLIS = 20_000;

    /** Kinds of steps with their shares in a schedule; a kind without a share is scheduled on its own. */
    enum Kind {
        ENDPOINT_IS_SILENT(40),
        ALL_ENDPOINTS_ARE_SILENT(8),
        ENDPOINT_DIES(8),
        CONNECTIONS_ARE_SILENT_FOR_GOOD(8),
        SETTINGS_CHANGE(6),
        ENTRY_IS_TERMINATED(3),
        ENTRY_IS_KILLED(2),
        KEY_IS_TAKEN_AWAY(8),
        ROUTE_IS_ADDED(5),
        TIMEOUT_CHANGES(5),
        KEY_VALUE_SERVICE_IS_RESTORED(0);

        private final int share;

        Kind(int share) {
            this.share = share;
        }

        private static Kind pick(SplittableRandom random) {
            int left = random.nextInt(
                    Stream.of(values()).mapToInt(kind -> kind.share).sum());
            for (Kind kind : values()) {
                left -= kind.share;
                if (left < 0) {
                    return kind;
                }
            }
            throw new IllegalStateException("shares");
        }
    }

    static List<SoakStep> schedule(SplittableRandom random, long seconds) {
        List<SoakStep> steps = new ArrayList<>();
        for (long at = 0; at < seconds * 1_000; at += random.nextInt(MAX_INTERVAL_MILLIS)) {
            int millis = random.nextInt(MIN_SILENCE_MILLIS, MAX_SILENCE_MILLIS + 1);
            steps.add(new SoakStep(at, Kind.pick(random), random.nextInt(1_000), millis));
        }
        steps.addAll(restorations(random, seconds));
        steps.sort(Comparator.comparingLong(SoakStep::atMillis));
        return steps;
    }

    /** Drawn after all other steps, which therefore stay the same for a seed. */
    private static List<SoakStep> restorations(SplittableRandom random, long seconds) {
        List<SoakStep> steps = new ArrayList<>();
        long at = random.nextInt(MAX_RESTORATION_INTERVAL_MILLIS);
        while (at < seconds * 1_000) {
            int millis = random.nextInt(MIN_SILENCE_MILLIS, MAX_SILENCE_MILLIS + 1);
            steps.add(new SoakStep(at, Kind.KEY_VALUE_SERVICE_IS_RESTORED, 0, millis));
            at += random.nextInt(MIN_RESTORATION_INTERVAL_MILLIS, MAX_RESTORATION_INTERVAL_MILLIS);
        }
        return steps;
    }
}
