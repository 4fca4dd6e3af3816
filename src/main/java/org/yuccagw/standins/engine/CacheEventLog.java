package org.yuccagw.standins.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.List;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.standins.http.StandInJson;

/**
 * The log of cache events as reported to readers: events become visible only after a lag, and some are lost. A lost
 * event keeps its sequence number, so that readers see a gap.
 */
final class CacheEventLog {
    private static final int MAX_ENTRIES = 10_000;

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private long lagNanos;
    private int lostEvery;
    private long lastSequence;

    private record Entry(long sequence, long nanos, String kind, List<BlockKey> blocks) {}

    CacheEventLog(long lagNanos, int lostEvery) {
        this.lagNanos = lagNanos;
        this.lostEvery = lostEvery;
    }

    void setLag(long newLagNanos) {
        lagNanos = newLagNanos;
    }

    /** Sets that every event whose sequence number is a multiple of this is lost; 0 for none. */
    void setLostEvery(int newLostEvery) {
        lostEvery = newLostEvery;
    }

    void add(long nowNanos, String kind, List<BlockKey> blocks) {
        lastSequence++;
        boolean lost = lostEvery > 0 && lastSequence % lostEvery == 0;
        entries.addLast(new Entry(lastSequence, nowNanos, kind, lost ? List.of() : blocks));
        if (entries.size() > MAX_ENTRIES) {
            entries.removeFirst();
        }
    }

    long sequence() {
        return lastSequence;
    }

    /** Returns the visible events after a sequence number, and the last visible sequence number. */
    ObjectNode after(long nowNanos, long after) {
        ObjectNode answer = StandInJson.object();
        ArrayNode events = answer.putArray("events");
        long visibleSequence = after;
        for (Entry entry : entries) {
            if (entry.nanos() + lagNanos > nowNanos) {
                break;
            }
            visibleSequence = Math.max(visibleSequence, entry.sequence());
            if (entry.sequence() > after && !entry.blocks().isEmpty()) {
                ObjectNode event =
                        events.addObject().put("sequence", entry.sequence()).put("kind", entry.kind());
                event.set(
                        "blocks",
                        StandInJson.tree(
                                entry.blocks().stream().map(BlockKey::toString).toList()));
            }
        }
        return answer.put("sequence", visibleSequence);
    }
}
