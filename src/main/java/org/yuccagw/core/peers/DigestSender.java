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
 * Sends digests: to the entries that follow this one, and as a lead to the leads of all domains.
 *
 * <p>Invariant: followers get the rosters of all domains, leads of other domains that of this one only, so that bytes
 * between domains don't grow with the square of the domains.
 */
final class DigestSender {
    /** Entries of domains of which nobody is heard are tried at each third beat. */
    private static final int UNHEARD_EVERY = 3;

    private final PeerTable peers;
    private final PeerRosters rosters;
    private final Supplier<FleetView> view;
    private final Supplier<PeerStatus> status;
    private final Supplier<OptionalLong> confirmedNanos;
    private final Duration followed;
    private ControlContext context;

    /**
     * The digests of one entry.
     *
     * @param status its heartbeat
     * @param confirmedNanos when what it knows was last confirmed
     * @param followed how long an entry that sent a heartbeat counts as follower
     */
    DigestSender(
            PeerTable peers,
            PeerRosters rosters,
            Supplier<FleetView> view,
            Supplier<PeerStatus> status,
            Supplier<OptionalLong> confirmedNanos,
            Duration followed) {
        this.peers = peers;
        this.rosters = rosters;
        this.view = view;
        this.status = status;
        this.confirmedNanos = confirmedNanos;
        this.followed = followed;
    }

    void start(ControlContext startContext) {
        context = startContext;
    }

    private boolean isNear(Peer peer) {
        return peer.contact().domain().equals(context.self().domain());
    }

    /** Entries of the own domain that send heartbeats here and expect digests. */
    List<EntryId> followers() {
        long now = context.nowNanos();
        List<EntryId> followers = new ArrayList<>();
        peers.forEach((entry, peer) -> {
            if (isNear(peer) && peer.follows(now, followed.toNanos())) {
                followers.add(entry);
            }
        });
        return followers;
    }

    /** The roster of the own domain as this entry knows it, which is told to others if it leads. */
    void noteOwnRoster(boolean ready) {
        List<Roster.Member> members = new ArrayList<>();
        members.add(new Roster.Member(EntryContact.of(context.self()), ready, true));
        for (Peer peer : peers.all()) {
            if (peer.isAlive() && isNear(peer)) {
                boolean heard = peer.wasHeardLately(context.nowNanos());
                members.add(new Roster.Member(peer.contact(), peer.isReady(), heard));
            }
        }
        rosters.keep(Roster.of(context.self().domain(), members), context.nowNanos());
    }

    /** Sends digests to followers, and as a lead to the other leads; or only to those for which there is news. */
    void send(boolean onlyNews, boolean asLead, long round) {
        FailureDomain ownDomain = context.self().domain();
        Set<EntryId> near = new LinkedHashSet<>(followers());
        Set<EntryId> far = new LinkedHashSet<>();
        if (asLead) {
            near.addAll(view.get().leadsOf(ownDomain));
            view.get().leadsOfAll().forEach(far::add);
            far.addAll(unheardLeads(round));
        }
        near.remove(context.self().entry());
        far.remove(context.self().entry());
        far.removeAll(near);
        if (near.isEmpty() && far.isEmpty()) {
            return;
        }
        DigestRound digests = beginRound();
        ImmutableSet<FailureDomain> all = rosters.domains();
        near.forEach(entry -> sendDigest(digests, entry, all, onlyNews));
        far.forEach(entry -> sendDigest(digests, entry, ImmutableSet.of(ownDomain), onlyNews));
    }

    /** Sends a digest to one entry that has begun to follow. */
    void sendTo(EntryId entry) {
        rosters.forgetTold(entry);
        sendDigest(beginRound(), entry, rosters.domains(), false);
    }

    /** Some entries of each domain of which nobody is heard: a cut between domains may have healed. */
    private List<EntryId> unheardLeads(long round) {
        if (round % UNHEARD_EVERY != 0) {
            return List.of();
        }
        Map<FailureDomain, List<EntryContact>> unheard = new TreeMap<>();
        peers.forEach((entry, peer) -> {
            FailureDomain domain = peer.contact().domain();
            if (!domain.equals(context.self().domain())
                    && view.get().leadsOf(domain).isEmpty()) {
                unheard.computeIfAbsent(domain, name -> new ArrayList<>()).add(peer.contact());
            }
        });
        return unheard.values().stream()
                .flatMap(contacts -> firstTwoAndTwoInTurn(contacts, round))
                .toList();
    }

    private static Stream<EntryId> firstTwoAndTwoInTurn(List<EntryContact> contacts, long round) {
        List<EntryId> sorted = FleetView.ids(LeadOrder.sorted(contacts));
        long first = round / UNHEARD_EVERY * LeadOrder.LEADS;
        Stream<EntryId> inTurn = LongStream.range(first, first + LeadOrder.LEADS)
                .mapToObj(index -> sorted.get((int) (index % sorted.size())));
        return Stream.concat(sorted.stream().limit(LeadOrder.LEADS), inTurn).distinct();
    }

    private void sendDigest(DigestRound digests, EntryId entry, ImmutableSet<FailureDomain> domains, boolean onlyNews) {
        if (!onlyNews || digests.hasNewsFor(entry, domains)) {
            context.send(entry, digests.digestFor(entry, domains));
        }
    }

    private DigestRound beginRound() {
        OptionalLong confirmed = confirmedNanos.get();
        OptionalLong age = confirmed.isPresent()
                ? OptionalLong.of((context.nowNanos() - confirmed.getAsLong()) / 1_000_000)
                : OptionalLong.empty();
        return new DigestRound(rosters, status.get(), age, context.nowNanos());
    }
}
