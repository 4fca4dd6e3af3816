package org.yuccagw.core.claim;

import java.util.List;

/**
 * The head document of a shard's log of claims: the newest records and the names of the segments with older ones.
 *
 * @param epoch fencing number of the owner that wrote the document; for diagnosis only, since fencing relies on the
 *     revision alone
 */
public record ClaimHead(long epoch, List<ClaimRecord> records, List<Segment> segments) {
    public ClaimHead {
        records = List.copyOf(records);
        segments = List.copyOf(segments);
    }

    /**
     * Reference to an immutable document with older records.
     *
     * @param name key of the document in the key-value service
     * @param newestWallMillis time of its newest record, in milliseconds since 1970; the segment is deleted once that
     *     time is past retention
     */
    public record Segment(String name, long newestWallMillis) {}
}
