package org.yuccagw.core.peers;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import org.yuccagw.core.fleet.EntryContact;

/**
 * Ranks the entries of a failure domain as candidates for its leads.
 *
 * <p>Entries on VMs with a higher capacity rank first, since a lead handles about ten times the messages of another
 * entry; among equal capacities, a hash of the id decides. No consensus is needed: entries with the same local view
 * select the same leads, and two entries that act as the same lead at once do no harm.
 *
 * <p>Example: of entries with 36, 150 and 150 hundredths of a core, the two larger ones lead, the one with the lower
 * hash first. When that one fails, the other one becomes the first lead and the small one the second.
 */
final class LeadOrder {
    /** The second lead has the state to take over immediately when the first one fails. */
    static final int LEADS_PER_DOMAIN = 2;

    private static final Comparator<RankedEntry> LEAD_ORDER = Comparator.comparingInt(
                    (RankedEntry each) -> each.contact.capacity())
            .reversed()
            .thenComparingInt(RankedEntry::hash)
            .thenComparing(each -> each.contact.entry());

    private LeadOrder() {}

    /** An entry with its hash, computed once because hashing in each comparison is expensive. */
    private record RankedEntry(EntryContact contact, int hash) {
        private static RankedEntry of(EntryContact contact) {
            String id = contact.entry().value();
            int hash = Hashing.murmur3_32_fixed()
                    .hashString(id, StandardCharsets.UTF_8)
                    .asInt();
            return new RankedEntry(contact, hash);
        }
    }

    /** Returns all candidates, the first lead first. */
    static ImmutableList<EntryContact> sorted(Collection<EntryContact> candidates) {
        return candidates.stream()
                .map(RankedEntry::of)
                .sorted(LEAD_ORDER)
                .map(RankedEntry::contact)
                .collect(ImmutableList.toImmutableList());
    }
}
