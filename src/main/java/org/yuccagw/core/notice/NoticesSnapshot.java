package org.yuccagw.core.notice;

/**
 * What traffic threads see of what endpoints said of themselves.
 *
 * @param leaving how many said that they leave
 * @param backingOff how many this entry was asked to spare for a while
 */
public record NoticesSnapshot(int leaving, int backingOff) {
    /** No endpoint said anything. */
    public static final NoticesSnapshot NONE = new NoticesSnapshot(0, 0);
}
