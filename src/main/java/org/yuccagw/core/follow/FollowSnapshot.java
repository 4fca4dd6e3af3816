package org.yuccagw.core.follow;

/**
 * The freshness of this entry's copy of the followed keys.
 *
 * @param revision highest revision that the copy includes
 * @param confirmedNanos monotonic time at which the call was sent, here or at a peer, whose answer last confirmed the
 *     copy
 * @param everConfirmed whether the copy has ever been confirmed
 */
public record FollowSnapshot(long revision, long confirmedNanos, boolean everConfirmed) {
    public static FollowSnapshot none() {
        return new FollowSnapshot(0, 0, false);
    }
}
