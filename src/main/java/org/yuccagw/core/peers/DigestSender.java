package org.yuccagw.core.peers;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;

/**
 * Sends digests to the followers of this entry and, if it is a lead, to the leads of all domains.
 *
 * <p>Invariant: followers receive the rosters of all domains, leads of other domains only that of the own domain, so
 * that the traffic between domains doesn't grow with the square of the number of domains.
 */
final class DigestSender {
    /** Candidates of domains without a known lead are sent a digest only in each third round. */
    private static final int UNREACHED_PERIOD_ROUNDS = 3;

    private final PeerTable peers;
    private final PeerRosters rosters;
    private final Supplier<FleetView> view;
    private final Supplier<PeerStatus> status;
    private final Supplier<OptionalLong> confirmedNanos;
    private final Duration followerTimeout;
    private ControlContext context;

    /**
     * Creates the sender of one entry.
     *
     * @param status supplies the status of this entry
     * @param confirmedNanos supplies the monotonic time at which this entry's copy of the keys was last confirmed
     * @param followerTimeout how long an entry counts as a follower after its last heartbeat
     */
    DigestSender(
            PeerTable peers,
            PeerRosters rosters,
            Supplier<FleetView> view,
            Supplier<PeerStatus> status,
            Supplier<OptionalLong> confirmedNanos,
            Duration followerTimeout) {
        this.peers = peers;
        this.rosters = rosters;
        this.view = view;
        this.status = status;
        this.confirmedNanos = confirmedNanos;
        this.followerTimeout = followerTimeout;
    }

    void start(ControlContext startContext) {
        context = startContext;
    }

    private boolean isInOwnDomain(Peer peer) {
        return peer.contact().domain().equals(context.self().domain());
    }

    /** Returns the entries of the own domain that send heartbeats to this one and expect digests in return. */
    List<EntryId> followers() {
        long now = context.nowNanos();
        List<EntryId> followers = new ArrayList<>();
        peers.forEach((entry, peer) -> {
            if (isInOwnDomain(peer) && peer.isFollower(now, followerTimeout.toNanos())) {
                followers.add(entry);
            }
        });
        return followers;
    }

    /**
     * Updates the roster of the own domain from this entry's local view; other entries receive it if this one leads.
     */
    void updateOwnRoster(boolean ready) {
        List<Roster.Member> members = new ArrayList<>();
        members.add(new Roster.Member(EntryContact.of(context.self()), ready, true));
        for (Peer peer : peers.all()) {
            if (peer.isAlive() && isInOwnDomain(peer)) {
                boolean heard = peer.hasCurrentHeartbeat(context.nowNanos());
                members.add(new Roster.Member(peer.contact(), peer.isReady(), heard));
            }
        }
        rosters.update(Roster.of(context.self().domain(), members), context.nowNanos());
    }

    /**
     * Sends digests to the followers, and as a lead to the other leads.
     *
     * @param onlyChanges whether to skip receivers that have been sent all current rosters
     * @param asLead whether to send to the other leads too
     * @param round number of the current round, which selects the candidates of domains without a known lead
     */
    void send(boolean onlyChanges, boolean asLead, long round) {
        FailureDomain ownDomain = context.self().domain();
        Set<EntryId> ownDomainReceivers = new LinkedHashSet<>(followers());
        Set<EntryId> otherDomainReceivers = new LinkedHashSet<>();
        if (asLead) {
            ownDomainReceivers.addAll(view.get().leadsOf(ownDomain));
            view.get().allLeads().forEach(otherDomainReceivers::add);
            otherDomainReceivers.addAll(unreachedLeadCandidates(round));
        }
        ownDomainReceivers.remove(context.self().entry());
        otherDomainReceivers.remove(context.self().entry());
        otherDomainReceivers.removeAll(ownDomainReceivers);
        if (ownDomainReceivers.isEmpty() && otherDomainReceivers.isEmpty()) {
            return;
        }
        DigestRound digests = startRound();
        ImmutableSet<FailureDomain> allDomains = rosters.domains();
        ownDomainReceivers.forEach(entry -> sendDigest(digests, entry, allDomains, onlyChanges));
        otherDomainReceivers.forEach(entry -> sendDigest(digests, entry, ImmutableSet.of(ownDomain), onlyChanges));
    }

    /** Sends a digest, with all members, to an entry that has started to follow this one. */
    void sendTo(EntryId entry) {
        rosters.forgetSent(entry);
        sendDigest(startRound(), entry, rosters.domains(), false);
    }

    /**
     * Returns some entries of each domain without a known lead, since a network partition between the domains may have
     * healed.
     */
    private List<EntryId> unreachedLeadCandidates(long round) {
        if (round % UNREACHED_PERIOD_ROUNDS != 0) {
            return List.of();
        }
        Map<FailureDomain, List<EntryContact>> unreached = new TreeMap<>();
        peers.forEach((entry, peer) -> {
            FailureDomain domain = peer.contact().domain();
            if (!domain.equals(context.self().domain())
                    && view.get().leadsOf(domain).isEmpty()) {
                unreached.computeIfAbsent(domain, name -> new ArrayList<>()).add(peer.contact());
            }
        });
        return unreached.values().stream()
                .flatMap(contacts -> firstTwoAndNextTwoInTurn(contacts, round))
                .toList();
    }

    private static Stream<EntryId> firstTwoAndNextTwoInTurn(List<EntryContact> contacts, long round) {
        List<EntryId> sorted = FleetView.entryIds(LeadOrder.sorted(contacts));
        long first = round / UNREACHED_PERIOD_ROUNDS * LeadOrder.LEADS_PER_DOMAIN;
        Stream<EntryId> inTurn = LongStream.range(first, first + LeadOrder.LEADS_PER_DOMAIN)
                .mapToObj(index -> sorted.get((int) (index % sorted.size())));
        return Stream.concat(sorted.stream().limit(LeadOrder.LEADS_PER_DOMAIN), inTurn)
                .distinct();
    }

    private void sendDigest(
            DigestRound digests, EntryId entry, ImmutableSet<FailureDomain> domains, boolean onlyChanges) {
        if (!onlyChanges || digests.hasUnsentRosters(entry, domains)) {
            context.send(entry, digests.digestFor(entry, domains));
        }
    }

    private DigestRound startRound() {
        OptionalLong confirmed = confirmedNanos.get();
        OptionalLong age = confirmed.isPresent()
                ? OptionalLong.of((context.nowNanos() - confirmed.getAsLong()) / 1_000_000)
                : OptionalLong.empty();
        return new DigestRound(rosters, status.get(), age, context.nowNanos());
    }
}
