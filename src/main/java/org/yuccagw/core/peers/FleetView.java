package org.yuccagw.core.peers;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;

/**
 * An entry's local view of the serving entries and the leads of all failure domains at one point in time.
 *
 * @param serving entries that are alive and take requests, ordered by id
 * @param leads at most {@link LeadOrder#LEADS_PER_DOMAIN} leads by domain, the first lead first; selected from the
 *     serving entries and from those that have never been alive but may be starting at the same time as this one
 */
record FleetView(ImmutableList<EntryContact> serving, ImmutableMap<FailureDomain, ImmutableList<EntryContact>> leads) {
    /**
     * Creates the view of one entry.
     *
     * @param self contact of the entry
     * @param serves whether the entry takes requests
     * @param selfMayLead whether the entry takes requests or is about to
     */
    static FleetView of(EntryContact self, boolean serves, boolean selfMayLead, Collection<Peer> peers, long nowNanos) {
        List<EntryContact> serving = new ArrayList<>();
        List<EntryContact> candidates = new ArrayList<>();
        if (serves) {
            serving.add(self);
        }
        if (selfMayLead) {
            candidates.add(self);
        }
        for (Peer peer : peers) {
            if (peer.isServing()) {
                serving.add(peer.contact());
            }
            boolean mayLead = peer.isServing() || peer.mayBeStarting(nowNanos);
            if (mayLead && !peer.isExcludedAsLead(nowNanos)) {
                candidates.add(peer.contact());
            }
        }
        serving.sort(Comparator.comparing(EntryContact::entry));
        return new FleetView(ImmutableList.copyOf(serving), leads(candidates));
    }

    private static ImmutableMap<FailureDomain, ImmutableList<EntryContact>> leads(List<EntryContact> candidates) {
        Map<FailureDomain, List<EntryContact>> byDomain = new TreeMap<>();
        for (EntryContact candidate : candidates) {
            byDomain.computeIfAbsent(candidate.domain(), name -> new ArrayList<>())
                    .add(candidate);
        }
        ImmutableMap.Builder<FailureDomain, ImmutableList<EntryContact>> leads = ImmutableMap.builder();
        byDomain.forEach((domain, entries) -> {
            ImmutableList<EntryContact> sorted = LeadOrder.sorted(entries);
            leads.put(domain, sorted.subList(0, Math.min(LeadOrder.LEADS_PER_DOMAIN, sorted.size())));
        });
        return leads.buildOrThrow();
    }

    static List<EntryId> entryIds(Collection<EntryContact> contacts) {
        return contacts.stream().map(EntryContact::entry).toList();
    }

    List<EntryId> leadsOf(FailureDomain domain) {
        return entryIds(leads.getOrDefault(domain, ImmutableList.of()));
    }

    Stream<EntryId> allLeads() {
        return leads.values().stream().flatMap(List::stream).map(EntryContact::entry);
    }

    /** Returns the leads of a domain that are known to serve. */
    List<EntryId> servingLeadsOf(FailureDomain domain) {
        return entryIds(leads.getOrDefault(domain, ImmutableList.of()).stream()
                .filter(serving::contains)
                .toList());
    }

    /** Returns the leads of all domains that are known to serve. */
    ImmutableList<EntryContact> servingLeadContacts() {
        return leads.values().stream()
                .flatMap(List::stream)
                .filter(serving::contains)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns, for each domain, up to {@code maxPerDomain} leads that are known to serve. */
    List<EntryId> servingLeadsOfAll(int maxPerDomain) {
        return leads.keySet().stream()
                .flatMap(domain -> servingLeadsOf(domain).stream().limit(maxPerDomain))
                .toList();
    }
}
