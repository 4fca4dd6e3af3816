package org.yuccagw.core.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import org.yuccagw.core.id.EntryId;

/**
 * The queue of records that still have to be gossiped, each with its number of remaining transmissions.
 *
 * <p>Each record is sent a number of times that grows with the logarithm of the number of entries. All entries then
 * receive it with a probability close to one, and the exchange of whole tables repairs what is missed. The records that
 * have waited longest are sent first, so no record starves. A newer record of an entry replaces the older one.
 */
final class Dissemination {
    private static final int TRANSMISSIONS_BEYOND_DOUBLINGS = 2;

    private final LinkedHashMap<EntryId, Integer> remainingTransmissions = new LinkedHashMap<>();

    void add(EntryId entry, int knownEntries) {
        remainingTransmissions.remove(entry);
        remainingTransmissions.put(entry, transmissionsFor(knownEntries));
    }

    void remove(EntryId entry) {
        remainingTransmissions.remove(entry);
    }

    /** Takes at most {@code count} entries; each moves to the end of the queue until no transmission remains. */
    List<EntryId> take(int count) {
        List<EntryId> taken = new ArrayList<>(Math.min(count, remainingTransmissions.size()));
        for (EntryId entry : remainingTransmissions.keySet()) {
            if (taken.size() == count) {
                break;
            }
            taken.add(entry);
        }
        for (EntryId entry : taken) {
            int remaining = remainingTransmissions.remove(entry) - 1;
            if (remaining > 0) {
                remainingTransmissions.put(entry, remaining);
            }
        }
        return taken;
    }

    int size() {
        return remainingTransmissions.size();
    }

    private static int transmissionsFor(int knownEntries) {
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, knownEntries));
        return doublings + TRANSMISSIONS_BEYOND_DOUBLINGS;
    }
}
