package org.yuccagw.core.follow;

import java.time.Duration;
import java.util.Optional;

/**
 * The freshness of this entry's copy of the followed keys.
 *
 * @param revision highest revision that the copy includes
 * @param confirmedNanos monotonic time at which the call was sent, here or at a peer, whose answer last confirmed the
 *     copy
 * @param everConfirmed whether the copy has ever been confirmed
 * @param activity what the copy waits for
 */
public record FollowSnapshot(long revision, long confirmedNanos, boolean everConfirmed, Activity activity) {
    /** What an entry that follows the key-value service waits for. */
    public enum Activity {
        /** The answer to a list of all keys. */
        LIST,
        /** The answer to a watch. */
        WATCH,
        /** The end of a lead's latest confirmation. */
        LEAD,
        /** The next call after one that failed, or after changes that may be followed by others. */
        PAUSE
    }

    public static FollowSnapshot none() {
        return new FollowSnapshot(0, 0, false, Activity.LIST);
    }

    /** Returns the time since the copy was confirmed; empty if it never was. */
    public Optional<Duration> age(long nowNanos) {
        return everConfirmed ? Optional.of(Duration.ofNanos(nowNanos - confirmedNanos)) : Optional.empty();
    }
}
