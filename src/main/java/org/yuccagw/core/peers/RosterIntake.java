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
 * Takes rosters from the leads that are believed.
 *
 * <p>The cases:
 *
 * <ol>
 *   <li>of the own domain, at its first lead: never taken, it knows by what it hears itself
 *   <li>of the own domain elsewhere: from the first lead that sends digests
 *   <li>of another domain: from the first lead of that domain that sends digests here, which happens at leads only
 *   <li>of another domain if none does: from the first lead of the own domain that sends digests
 * </ol>
 *
 * <p>A lead isn't alive on its own word: it counts as long as its digests come, so that its death is noticed sooner
 * than the names in its last roster end.
 *
 * <p>By the last case two leads of one domain that hear nothing of another one tell each other what they knew of it. So
 * each roster carries its age from the lead that told it first, and ends with that.
 *
 * <p>Believing one lead at a time guards against an entry that one lead hears and the other doesn't: it would come and
 * go with each digest.
 */
final class RosterIntake {
    private final PeerTable peers;
    private final PeerRosters rosters;
    private final BooleanSupplier isFirstLead;
    private final Duration tellerLife;
    private final Duration rosterLife;
    private ControlContext context;

    /**
     * The intake of one entry.
     *
     * @param tellerLife how long who sent a digest counts as a lead without a further one
     * @param rosterLife how long whom a roster names counts as alive, from when a lead of its domain told it
     */
    RosterIntake(
            PeerTable peers,
            PeerRosters rosters,
            BooleanSupplier isFirstLead,
            Duration tellerLife,
            Duration rosterLife) {
        this.peers = peers;
        this.rosters = rosters;
        this.isFirstLead = isFirstLead;
        this.tellerLife = tellerLife;
        this.rosterLife = rosterLife;
    }

    void start(ControlContext startContext) {
        context = startContext;
    }

    /** The first lead of a domain that sends digests here. */
    Optional<EntryContact> teller(FailureDomain domain) {
        long now = context.nowNanos();
        List<EntryContact> telling = peers.all().stream()
                .filter(peer -> peer.contact().domain().equals(domain))
                .filter(peer -> peer.isServing() && peer.tells(now, tellerLife.toNanos()))
                .map(Peer::contact)
                .toList();
        return LeadOrder.sorted(telling).stream().findFirst();
    }

    /** Takes a roster if its sender is believed; whether others must hear of it. */
    boolean take(Roster roster, EntryContact sender) {
        if (!believes(sender, roster.domain())) {
            return false;
        }
        boolean known = roster.members().isEmpty();
        if (known && !rosters.isTaken(roster)) {
            context.send(sender.entry(), new RosterRequest(roster.domain()));
            return false;
        }
        long asOfNanos =
                context.nowNanos() - Duration.ofMillis(roster.ageMillis()).toNanos();
        boolean news = !known && adopt(roster, sender, asOfNanos);
        if (!roster.domain().equals(context.self().domain())) {
            rosters.confirm(roster.domain(), asOfNanos);
        }
        for (EntryId entry : rosters.heard(roster.domain())) {
            peers.of(entry).filter(peer -> !peer.contact().equals(sender)).ifPresent(peer -> name(peer, asOfNanos));
        }
        return news;
    }

    private boolean believes(EntryContact sender, FailureDomain domain) {
        FailureDomain own = context.self().domain();
        if (domain.equals(own)) {
            return !isFirstLead.getAsBoolean() && isTeller(own, sender);
        }
        return teller(domain).isPresent() ? isTeller(domain, sender) : isTeller(own, sender);
    }

    private boolean isTeller(FailureDomain domain, EntryContact sender) {
        return teller(domain).filter(first -> first.equals(sender)).isPresent();
    }

    /** Two leads may pass an old roster to each other, which names nobody any more once its time is over. */
    private void name(Peer peer, long asOfNanos) {
        long until = asOfNanos + rosterLife.toNanos();
        if (context.nowNanos() - until < 0) {
            peer.named(asOfNanos, until);
            peers.revive(peer, peer.isReady());
        }
    }

    private boolean adopt(Roster roster, EntryContact sender, long asOfNanos) {
        ImmutableSet.Builder<EntryId> named = ImmutableSet.builder();
        ImmutableSet.Builder<EntryId> heard = ImmutableSet.builder();
        for (Roster.Member member : roster.members().orElseThrow()) {
            peers.meet(member.contact()).ifPresent(peer -> {
                if (!peer.contact().equals(sender)) {
                    adopt(member, peer, asOfNanos);
                }
                named.add(member.contact().entry());
                if (member.heard()) {
                    heard.add(member.contact().entry());
                }
            });
        }
        ImmutableSet<EntryId> names = named.build();
        List<EntryId> gone = rosters.named(roster.domain()).stream()
                .filter(entry -> !names.contains(entry))
                .toList();
        gone.forEach(peers::withdraw);
        rosters.noteTaken(roster, names, heard.build());
        context.perform(Decision.of("roster-taken")
                .with("domain", roster.domain())
                .with("from", sender.entry())
                .with("entries", names.size())
                .with("gone", gone));
        return !roster.domain().equals(context.self().domain()) && rosters.keep(roster, asOfNanos);
    }

    /**
     * Takes one member. Whom the lead hears itself is alive. Of whom it knows by name only it can't tell, so that entry
     * gets no further time, but for the first sign of it here.
     *
     * <p>Guards against the dead that live on in what entries tell each other: after the death of a domain's leads each
     * of the others took their names from the next, and none of them ever missed the dead.
     */
    private void adopt(Roster.Member member, Peer peer, long asOfNanos) {
        boolean heardSince = peer.wasHeardAfter(asOfNanos);
        if (member.heard() || !peer.wasEverAlive()) {
            name(peer, asOfNanos);
        }
        if (peer.isAlive() && !heardSince) {
            peers.revive(peer, member.ready());
        }
    }
}
