package org.yuccagw.core.follow;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.OptionalLong;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueRevision;

/** Whether the key-value service answers this entry, and whether leases may have lapsed while it did not. */
final class ServiceAvailability {
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(100);
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(500);
    private static final int RETRY_JITTER_MILLIS = 50;
    private static final Duration MIN_LAPSING_OUTAGE = Duration.ofMillis(800);
    private static final long NEVER = Long.MIN_VALUE;

    private ControlContext context;
    private Duration retryDelay = MIN_RETRY_DELAY;
    private boolean unavailable;
    private long unavailableSinceNanos;
    private long lastFailureNanos;
    private boolean lapsesPossible;
    private long lapsesUpToRevision;
    private long lapsesRecordedNanos = NEVER;

    void start(ControlContext startContext) {
        context = startContext;
    }

    boolean isUnavailable() {
        return unavailable;
    }

    /**
     * Records an answer.
     *
     * @param confirmedNanos time at which this entry's copy was last confirmed; empty if it never was
     */
    void recordAnswer(OptionalLong confirmedNanos) {
        retryDelay = MIN_RETRY_DELAY;
        if (!unavailable) {
            return;
        }
        unavailable = false;
        long unavailableNanos = context.nowNanos() - unavailableSinceNanos;
        context.perform(Decision.of("dependency-regained")
                .with("dependency", "key-value service")
                .with("away_ms", unavailableNanos / 1_000_000));
        // What happened in an outage that other entries have confirmed to be over is known from them.
        boolean confirmedSince = confirmedNanos.isPresent() && confirmedNanos.getAsLong() - lastFailureNanos > 0;
        if (unavailableNanos >= MIN_LAPSING_OUTAGE.toNanos() && !confirmedSince) {
            lapsesPossible = true;
        }
    }

    void recordFailure(String call, KeyValueAnswer answer) {
        lastFailureNanos = context.nowNanos();
        if (!unavailable) {
            unavailable = true;
            unavailableSinceNanos = context.nowNanos();
            context.perform(Decision.of("dependency-lost")
                    .with("dependency", "key-value service")
                    .with("call", call)
                    .with("answer", answer));
        }
    }

    /** Returns the delay of the next call after a failure; it doubles up to a limit. */
    Duration nextRetryDelay() {
        Duration delay = retryDelay;
        retryDelay = Comparators.min(retryDelay.multipliedBy(2), MAX_RETRY_DELAY);
        return delay.plusMillis(context.random().nextInt(RETRY_JITTER_MILLIS));
    }

    /** Returns once after each outage whether leases may have lapsed in it. */
    boolean takeLapsesPossible() {
        boolean possible = lapsesPossible;
        lapsesPossible = false;
        return possible;
    }

    /** Records that the removals up to a revision may be lapses, as received after an outage or from another entry. */
    void recordLapses(long upToRevision) {
        if (upToRevision > lapsesUpToRevision) {
            lapsesUpToRevision = upToRevision;
            lapsesRecordedNanos = context.nowNanos();
        }
    }

    /** Returns the revision up to which removals may be lapses; 0 if none was recorded for {@code grace}. */
    long lapsesUpToRevision(Duration grace) {
        boolean recent = lapsesRecordedNanos != NEVER && context.nowNanos() - lapsesRecordedNanos < grace.toNanos();
        return recent ? lapsesUpToRevision : KeyValueRevision.NONE;
    }
}
