package org.yuccagw.core.follow;

/**
 * How fresh the knowledge of this entry is.
 *
 * @param revision highest revision that was taken in
 * @param confirmedNanos when the last call was sent, here or at a peer, whose answer confirmed what is known; monotonic
 * @param everConfirmed whether anything was ever confirmed
 */
public record FollowSnapshot(long revision, long confirmedNanos, boolean everConfirmed) {
    public static FollowSnapshot none() {
        return new FollowSnapshot(0, 0, false);
    }
}
