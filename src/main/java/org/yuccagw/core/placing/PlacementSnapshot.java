package org.yuccagw.core.placing;

/**
 * The state of placement as published to the traffic threads.
 *
 * @param waiting number of requests that wait here for an endpoint
 * @param reservedReturns number of refused callers that were told when to return and haven't
 * @param runningStreams number of streams that this entry placed and that haven't ended
 */
public record PlacementSnapshot(int waiting, int reservedReturns, int runningStreams) {
    /** The state of an entry that places nothing. */
    public static final PlacementSnapshot NONE = new PlacementSnapshot(0, 0, 0);
}
