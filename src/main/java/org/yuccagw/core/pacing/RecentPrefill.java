package org.yuccagw.core.pacing;

/**
 * The prefill that one entry placed on an engine within {@link EngineStreams#HISTORY}, as it is reported to other
 * entries. It is approximate: the busy periods count as equally long.
 *
 * @param totalMillis predicted time of all prefill, in milliseconds
 * @param longestMillis the longest prefill without a break, in milliseconds
 */
public record RecentPrefill(int totalMillis, int longestMillis) {
    public static final RecentPrefill NONE = new RecentPrefill(0, 0);

    /** Returns the number of busy periods, if all were as long as the longest. */
    double periods() {
        return longestMillis == 0 ? 0 : (double) totalMillis / longestMillis;
    }
}
