package org.yuccagw.core.origin;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.yuccagw.core.cache.Rendezvous;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.RequestId;

/**
 * Selects the entries that keep the origin of a stream, by rendezvous hashing of its request: entries that see the same
 * others select the same ones, and a change of one entry concerns only the streams that it keeps.
 *
 * <p>In a mesh all entries keep origins, otherwise the leads of all failure domains: entries have few connections to
 * others than these.
 */
final class OriginOwners {
    /** With three, seven of eight origins outlive the loss of half of the entries at once. */
    private static final int OWNERS = 3;

    /** One more than keep an origin, since two entries may differ in whether another one is alive. */
    private static final int ASKED = OWNERS + 1;

    private static final int MAX_KNOWN_NAMES = 2_000;

    private final Supplier<ImmutableList<EntryContact>> candidates;
    private final Map<EntryId, Long> nameHashes = new HashMap<>();

    /**
     * Creates the selection of one entry.
     *
     * @param candidates returns the entries that may keep origins
     */
    OriginOwners(Supplier<ImmutableList<EntryContact>> candidates) {
        this.candidates = candidates;
    }

    ImmutableList<EntryContact> candidates() {
        return candidates.get();
    }

    /** Returns the entries that keep the origin, in different failure domains as far as there are any. */
    List<EntryContact> ownersOf(RequestId request) {
        return first(OWNERS, request);
    }

    /** Returns the entries that are asked for the origin. */
    List<EntryContact> askedFor(RequestId request) {
        return first(ASKED, request);
    }

    /** Returns whether an entry is one of those that may keep origins. */
    boolean isCandidate(EntryId entry) {
        return candidates.get().stream().anyMatch(each -> each.entry().equals(entry));
    }

    /** Returns whether an entry is the first one that keeps the origin. */
    boolean isFirstOwner(EntryId entry, RequestId request) {
        return first(1, request).stream().anyMatch(each -> each.entry().equals(entry));
    }

    private List<EntryContact> first(int count, RequestId request) {
        List<EntryContact> ranked = ranked(request);
        List<EntryContact> chosen = new ArrayList<>();
        Set<FailureDomain> domains = new HashSet<>();
        for (EntryContact entry : ranked) {
            if (chosen.size() < count && domains.add(entry.domain())) {
                chosen.add(entry);
            }
        }
        for (EntryContact entry : ranked) {
            if (chosen.size() < count && !chosen.contains(entry)) {
                chosen.add(entry);
            }
        }
        return chosen;
    }

    private List<EntryContact> ranked(RequestId request) {
        long requestHash = Rendezvous.nameHash(request.value());
        List<EntryContact> ranked = new ArrayList<>(candidates.get());
        Map<EntryId, Long> weights = new HashMap<>();
        ranked.forEach(entry -> weights.put(entry.entry(), Rendezvous.weight(hashOf(entry.entry()), requestHash)));
        ranked.sort(Comparator.comparing((EntryContact entry) -> weights.get(entry.entry()))
                .reversed());
        return ranked;
    }

    private long hashOf(EntryId entry) {
        if (nameHashes.size() > MAX_KNOWN_NAMES) {
            nameHashes.clear();
        }
        return nameHashes.computeIfAbsent(entry, name -> Rendezvous.nameHash(name.value()));
    }
}
