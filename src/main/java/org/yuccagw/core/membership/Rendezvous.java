package org.yuccagw.core.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Optional;
import org.yuccagw.core.id.EntryId;

/**
 * Rendezvous hashing over entries. Entries with the same local view select the same entries for a key, and when an
 * entry joins or leaves, only the keys that it gains or loses move.
 */
public final class Rendezvous {
    private Rendezvous() {}

    /** Returns the entry with the highest weight for the key; empty if there are no entries. */
    public static Optional<EntryId> first(String key, Collection<EntryId> entries) {
        EntryId best = null;
        long bestWeight = 0;
        for (EntryId entry : entries) {
            long weight = weight(key, entry);
            boolean higher = weight > bestWeight || (weight == bestWeight && best != null && entry.compareTo(best) > 0);
            if (best == null || higher) {
                best = entry;
                bestWeight = weight;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns whether {@code entry} has one of the {@code count} highest weights for the key, without sorting the
     * entries.
     */
    public static boolean isAmongTop(EntryId entry, String key, Collection<EntryId> entries, int count) {
        if (entries.size() <= count) {
            return true;
        }
        long own = weight(key, entry);
        long higher = entries.stream()
                .filter(other -> weight(key, other) > own)
                .limit(count)
                .count();
        return higher < count;
    }

    private static long weight(String key, EntryId entry) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(key, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(entry.value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
