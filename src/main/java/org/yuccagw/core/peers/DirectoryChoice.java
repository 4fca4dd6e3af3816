package org.yuccagw.core.peers;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.yuccagw.core.deployment.DomainRegions;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.Region;

/**
 * Selects the entries that the directory lists for a caller: those of its own failure domain, if there are enough.
 *
 * <p>Traffic between failure domains is expensive, so callers stay in theirs. If only one entry is left there, the
 * caller would have no second address to retry at, so one entry of another domain is added, which varies from answer to
 * answer. If no entry is left there, all entries are listed.
 *
 * <p>Entries of other domains are taken from the caller's region if there are any: the directory sends a request out of
 * its region only if no entry there could take it.
 *
 * <p>Example: a failure domain has one entry, three others have two each. The callers of the first domain send half of
 * their requests to its entry and a twelfth to each other one. If all seven entries were listed, six of seven requests
 * would cross domains.
 */
public final class DirectoryChoice {
    /** One address, and a second one for retries. */
    private static final int MIN_ENTRIES = 2;

    private static final int MAX_ENTRIES = 64;

    private DirectoryChoice() {}

    /**
     * Returns the entries to list, in no particular order.
     *
     * @param serving all entries that take requests
     * @param domain the caller's failure domain; empty if unknown
     * @param random any number, which must differ between answers
     */
    public static List<EntryContact> choose(
            List<EntryContact> serving, Optional<FailureDomain> domain, DomainRegions regions, int random) {
        List<EntryContact> candidates = inRegion(serving, domain.flatMap(regions::of), regions);
        List<EntryContact> inOwnDomain = inDomain(candidates, domain);
        if (inOwnDomain.size() >= MIN_ENTRIES) {
            return inOwnDomain.subList(0, Math.min(MAX_ENTRIES, inOwnDomain.size()));
        }
        if (inOwnDomain.isEmpty() || candidates.size() < MIN_ENTRIES) {
            return candidates.subList(0, Math.min(MAX_ENTRIES, candidates.size()));
        }
        List<EntryContact> others = candidates.stream()
                .filter(entry -> !inOwnDomain.contains(entry))
                .toList();
        return ImmutableList.of(inOwnDomain.get(0), others.get(Math.floorMod(random, others.size())));
    }

    private static List<EntryContact> inRegion(List<EntryContact> serving, Optional<Region> region, DomainRegions regions) {
        List<EntryContact> inRegion = serving.stream()
                .filter(entry ->
                        region.isPresent() && regions.of(entry.domain()).equals(region))
                .toList();
        return inRegion.isEmpty() ? serving : inRegion;
    }

    private static List<EntryContact> inDomain(List<EntryContact> candidates, Optional<FailureDomain> domain) {
        return candidates.stream()
                .filter(entry -> domain.isPresent() && entry.domain().equals(domain.get()))
                .toList();
    }
}
