package org.yuccagw.core.forward;

import java.util.Optional;
import org.yuccagw.core.placing.AnswerPace;

/**
 * Measures the times between the events of one attempt.
 *
 * <p>An engine writes each event at once, so every read of the connection counts as one event. Two events in one read
 * count as one, which doesn't change the longest gap.
 */
final class PaceRecorder {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long sentNanos;
    private long firstNanos;
    private long lastNanos;
    private long longestGapNanos;
    private int events;

    private PaceRecorder(long sentNanos) {
        this.sentNanos = sentNanos;
    }

    /** Starts the measurement of an attempt that is sent now. */
    static PaceRecorder start(long nowNanos) {
        return new PaceRecorder(nowNanos);
    }

    /** Records that an event was received. */
    void recordEvent(long nowNanos) {
        if (events == 0) {
            firstNanos = nowNanos;
        } else {
            longestGapNanos = Math.max(longestGapNanos, nowNanos - lastNanos);
        }
        lastNanos = nowNanos;
        events++;
    }

    /** Returns the times so far; empty if no event was received. */
    Optional<AnswerPace> pace() {
        if (events == 0) {
            return Optional.empty();
        }
        long meanGapNanos = events == 1 ? 0 : (lastNanos - firstNanos) / (events - 1);
        return Optional.of(
                new AnswerPace(events, millis(firstNanos - sentNanos), millis(meanGapNanos), millis(longestGapNanos)));
    }

    private static int millis(long nanos) {
        return (int) (nanos / NANOS_PER_MILLI);
    }
}
