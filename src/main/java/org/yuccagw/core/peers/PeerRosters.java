package org.yuccagw.core.peers;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;

/**
 * The rosters that this entry holds, and which of them it has sent to each receiver.
 *
 * <p>The members of a roster are sent only after a change: a roster of 19 entries takes 1 kB, its digest 20 bytes, and
 * each lead sends to 18 entries three times per second.
 */
final class PeerRosters {
    private final Map<FailureDomain, KnownRoster> rosters = new TreeMap<>();
    private final Map<EntryId, Map<FailureDomain, Long>> sentDigests = new HashMap<>();
    private final Map<FailureDomain, AcceptedRoster> accepted = new HashMap<>();

    /**
     * The roster last accepted from a lead: its digest, the entries that it lists, and those of them whose heartbeats
     * the lead receives itself.
     */
    private record AcceptedRoster(long digest, ImmutableSet<EntryId> listed, ImmutableSet<EntryId> heard) {}

    /** Returns whether this roster, received without members, is the one that was last accepted for its domain. */
    boolean isAccepted(Roster roster) {
        AcceptedRoster last = accepted.get(roster.domain());
        return last != null && last.digest() == roster.digest();
    }

    void recordAccepted(Roster roster, ImmutableSet<EntryId> listed, ImmutableSet<EntryId> heard) {
        accepted.put(roster.domain(), new AcceptedRoster(roster.digest(), listed, heard));
    }

    /** Returns the entries of the last accepted roster of a domain whose heartbeats the lead receives itself. */
    ImmutableSet<EntryId> heardByLead(FailureDomain domain) {
        AcceptedRoster last = accepted.get(domain);
        return last == null ? ImmutableSet.of() : last.heard();
    }

    /** Returns the entries that the last accepted roster of a domain lists. */
    ImmutableSet<EntryId> listedEntries(FailureDomain domain) {
        AcceptedRoster last = accepted.get(domain);
        return last == null ? ImmutableSet.of() : last.listed();
    }

    /**
     * A roster with its members.
     *
     * @param asOfNanos monotonic time at which a lead of its domain reported it
     */
    private record KnownRoster(Roster roster, long asOfNanos) {
        private long digest() {
            return roster.digest();
        }

        private long ageMillis(long nowNanos) {
            return (nowNanos - asOfNanos) / 1_000_000;
        }
    }

    /** Stores a roster with its members; returns whether it differs from the previous one. */
    boolean update(Roster roster, long asOfNanos) {
        KnownRoster previous = rosters.put(roster.domain(), new KnownRoster(roster, asOfNanos));
        return previous == null || previous.digest() != roster.digest();
    }

    /** Records that the current roster of a domain was reported again. */
    void confirm(FailureDomain domain, long asOfNanos) {
        KnownRoster previous = rosters.get(domain);
        if (previous != null && asOfNanos - previous.asOfNanos() > 0) {
            rosters.put(domain, new KnownRoster(previous.roster(), asOfNanos));
        }
    }

    /** Discards the record of what was sent to an entry, which may have lost it. */
    void forgetSent(EntryId entry) {
        sentDigests.remove(entry);
    }

    /** Discards the record of which roster of the domain was sent to an entry. */
    void forgetSent(EntryId entry, FailureDomain domain) {
        Map<FailureDomain, Long> sentToEntry = sentDigests.get(entry);
        if (sentToEntry != null) {
            sentToEntry.remove(domain);
        }
    }

    ImmutableSet<FailureDomain> domains() {
        return ImmutableSet.copyOf(rosters.keySet());
    }

    /** Returns those of the domains whose current members haven't been sent to the entry. */
    ImmutableSet<FailureDomain> unsentTo(EntryId entry, ImmutableSet<FailureDomain> domains) {
        Map<FailureDomain, Long> sentToEntry = sentDigests.getOrDefault(entry, Map.of());
        return domains.stream()
                .filter(rosters::containsKey)
                .filter(domain -> !Long.valueOf(rosters.get(domain).digest()).equals(sentToEntry.get(domain)))
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Records that the current members of these domains are sent to an entry. */
    void recordSent(EntryId entry, ImmutableSet<FailureDomain> domains) {
        Map<FailureDomain, Long> sentToEntry = sentDigests.computeIfAbsent(entry, name -> new HashMap<>());
        domains.forEach(domain -> sentToEntry.put(domain, rosters.get(domain).digest()));
    }

    /** Returns the rosters of some domains, with the members of those in {@code withMembers}. */
    ImmutableList<Roster> rosters(
            ImmutableSet<FailureDomain> domains, ImmutableSet<FailureDomain> withMembers, long nowNanos) {
        return domains.stream()
                .filter(rosters::containsKey)
                .map(domain -> rosters.get(domain)
                        .roster()
                        .withAge(rosters.get(domain).ageMillis(nowNanos), withMembers.contains(domain)))
                .collect(ImmutableList.toImmutableList());
    }
}
