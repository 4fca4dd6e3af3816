package org.yuccagw.core.endpoint;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.yuccagw.core.id.EntryId;

/**
 * Selects the endpoints that one entry probes by consistent hashing: entries and endpoints have positions on a ring,
 * and a fixed number of entries following an endpoint's position probe it.
 *
 * <p>Seen from one entry, these are the endpoints on one arc. It ends at the entry and begins at the entry that is that
 * number of positions before. So a change of members costs one sort of the entries, and a look-up costs two
 * comparisons, however many endpoints there are. Rendezvous hashing would cost a hash for each pair of entry and
 * endpoint.
 *
 * <p>Example with two probers per endpoint and entries at 10, 40, 70, 90: the entry at 70 covers positions above 10 up
 * to 70.
 */
final class ProbeRing {
    private final boolean coversAll;
    private final long after;
    private final long upTo;

    private ProbeRing(boolean coversAll, long after, long upTo) {
        this.coversAll = coversAll;
        this.after = after;
        this.upTo = upTo;
    }

    static ProbeRing of(EntryId self, List<EntryId> entries, int proberCount) {
        long ownPosition = positionOf(self.value());
        long[] positions = entries.stream()
                .mapToLong(entry -> positionOf(entry.value()))
                .sorted()
                .toArray();
        if (positions.length <= proberCount) {
            return new ProbeRing(true, ownPosition, ownPosition);
        }
        int index = Arrays.binarySearch(positions, ownPosition);
        int from = Math.floorMod(index < 0 ? -index - 1 - proberCount : index - proberCount, positions.length);
        return new ProbeRing(false, positions[from], ownPosition);
    }

    static long positionOf(String name) {
        return Hashing.murmur3_128().hashString(name, StandardCharsets.UTF_8).asLong();
    }

    boolean covers(long position) {
        if (coversAll) {
            return true;
        }
        boolean wraps = after >= upTo;
        return wraps ? position > after || position <= upTo : position > after && position <= upTo;
    }
}
