package org.yuccagw.core.notice;

/**
 * The state of notices as published to the traffic threads.
 *
 * @param leaving number of endpoints that announced that they are leaving
 * @param backingOff number of endpoints that requested a back-off of this entry
 */
public record NoticesSnapshot(int leaving, int backingOff) {
    /** The state in which no endpoint reported anything. */
    public static final NoticesSnapshot NONE = new NoticesSnapshot(0, 0);
}
