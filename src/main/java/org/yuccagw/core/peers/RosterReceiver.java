package org.yuccagw.core.peers;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;

/**
 * Accepts rosters from the authoritative lead of each domain and applies them to the table of entries.
 *
 * <p>Which roster is accepted from which sender:
 *
 * <ol>
 *   <li>The roster of the own domain, on the first lead of the domain: never accepted, since the lead relies on the
 *       heartbeats that it receives itself.
 *   <li>The roster of the own domain, on any other entry: from the first lead that sends digests.
 *   <li>The roster of another domain: from the first lead of that domain that sends digests to this entry; only leads
 *       receive these.
 *   <li>The roster of another domain if no lead of that domain does: from the first lead of the own domain that sends
 *       digests.
 * </ol>
 *
 * <p>A lead's own roster is no evidence of the lead's liveness: the lead counts as alive as long as its digests arrive,
 * so that its failure is detected before the listings of its last roster expire.
 *
 * <p>By the last case, two leads of one domain that receive nothing from another domain send each other their last
 * rosters of it. Each roster therefore carries its age since the lead that reported it first, and expires by that age.
 *
 * <p>Relying on one lead at a time guards against an entry whose heartbeats reach one lead but not the other: it would
 * alternate between alive and lost with each digest.
 */
final class RosterReceiver {
    private final PeerTable peers;
    private final PeerRosters rosters;
    private final BooleanSupplier isFirstLead;
    private final Duration leadTimeout;
    private final Duration rosterTimeToLive;
    private ControlContext context;

    /**
     * Creates the receiver of one entry.
     *
     * @param leadTimeout how long an entry counts as a sending lead after its last digest
     * @param rosterTimeToLive how long an entry that a roster lists counts as alive, from when a lead of its domain
     *     reported the roster
     */
    RosterReceiver(
            PeerTable peers,
            PeerRosters rosters,
            BooleanSupplier isFirstLead,
            Duration leadTimeout,
            Duration rosterTimeToLive) {
        this.peers = peers;
        this.rosters = rosters;
        this.isFirstLead = isFirstLead;
        this.leadTimeout = leadTimeout;
        this.rosterTimeToLive = rosterTimeToLive;
    }

    void start(ControlContext startContext) {
        context = startContext;
    }

    /** Returns the first lead of a domain that sends digests to this entry; empty if none does. */
    Optional<EntryContact> sendingLead(FailureDomain domain) {
        long now = context.nowNanos();
        List<EntryContact> sending = peers.all().stream()
                .filter(peer -> peer.contact().domain().equals(domain))
                .filter(peer -> peer.isServing() && peer.sentDigestWithin(now, leadTimeout.toNanos()))
                .map(Peer::contact)
                .toList();
        return LeadOrder.sorted(sending).stream().findFirst();
    }

    /**
     * Applies a roster if its sender is authoritative for the domain; returns whether it changed and must be forwarded.
     */
    boolean receive(Roster roster, EntryContact sender) {
        if (!isAuthoritative(sender, roster.domain())) {
            return false;
        }
        boolean digestOnly = roster.members().isEmpty();
        if (digestOnly && !rosters.isAccepted(roster)) {
            context.send(sender.entry(), new RosterRequest(roster.domain()));
            return false;
        }
        long asOfNanos =
                context.nowNanos() - Duration.ofMillis(roster.ageMillis()).toNanos();
        boolean changed = !digestOnly && applyMembers(roster, sender, asOfNanos);
        if (!roster.domain().equals(context.self().domain())) {
            rosters.confirm(roster.domain(), asOfNanos);
        }
        for (EntryId entry : rosters.heardByLead(roster.domain())) {
            peers.find(entry)
                    .filter(peer -> !peer.contact().equals(sender))
                    .ifPresent(peer -> recordListing(peer, asOfNanos));
        }
        return changed;
    }

    private boolean isAuthoritative(EntryContact sender, FailureDomain domain) {
        FailureDomain ownDomain = context.self().domain();
        if (domain.equals(ownDomain)) {
            return !isFirstLead.getAsBoolean() && isSendingLead(ownDomain, sender);
        }
        return sendingLead(domain).isPresent() ? isSendingLead(domain, sender) : isSendingLead(ownDomain, sender);
    }

    private boolean isSendingLead(FailureDomain domain, EntryContact sender) {
        return sendingLead(domain).filter(first -> first.equals(sender)).isPresent();
    }

    /**
     * Records that a roster lists the entry, unless the roster has expired: two leads may keep sending an old roster to
     * each other.
     */
    private void recordListing(Peer peer, long asOfNanos) {
        long expiryNanos = asOfNanos + rosterTimeToLive.toNanos();
        if (context.nowNanos() - expiryNanos < 0) {
            peer.recordRosterListing(asOfNanos, expiryNanos);
            peers.markAlive(peer, peer.isReady());
        }
    }

    private boolean applyMembers(Roster roster, EntryContact sender, long asOfNanos) {
        ImmutableSet.Builder<EntryId> listed = ImmutableSet.builder();
        ImmutableSet.Builder<EntryId> heard = ImmutableSet.builder();
        for (Roster.Member member : roster.members().orElseThrow()) {
            peers.update(member.contact()).ifPresent(peer -> {
                if (!peer.contact().equals(sender)) {
                    applyMember(member, peer, asOfNanos);
                }
                listed.add(member.contact().entry());
                if (member.heard()) {
                    heard.add(member.contact().entry());
                }
            });
        }
        ImmutableSet<EntryId> entries = listed.build();
        List<EntryId> removed = rosters.listedEntries(roster.domain()).stream()
                .filter(entry -> !entries.contains(entry))
                .toList();
        removed.forEach(peers::clearRosterListing);
        rosters.recordAccepted(roster, entries, heard.build());
        context.perform(Decision.of("roster-taken")
                .with("domain", roster.domain())
                .with("from", sender.entry())
                .with("entries", entries.size())
                .with("gone", removed));
        return !roster.domain().equals(context.self().domain()) && rosters.update(roster, asOfNanos);
    }

    /**
     * Applies one member. An entry whose heartbeats the lead receives itself is alive. For an entry that the lead only
     * knows from an earlier lead, the listing doesn't extend the expiry, unless this entry hasn't seen it alive before.
     *
     * <p>Guards against failed entries that stay listed as alive in the rosters that entries send each other: after the
     * failure of a domain's leads, each remaining entry adopted the failed ones from the roster of the next, and none
     * detected them.
     */
    private void applyMember(Roster.Member member, Peer peer, long asOfNanos) {
        boolean heartbeatSince = peer.sentHeartbeatAfter(asOfNanos);
        if (member.heard() || !peer.wasEverAlive()) {
            recordListing(peer, asOfNanos);
        }
        if (peer.isAlive() && !heartbeatSince) {
            peers.markAlive(peer, member.ready());
        }
    }
}
