package org.yuccagw.core.peers;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;

/**
 * Tracks the leads that an ordinary entry follows, and selects other entries to follow once these stop sending digests.
 *
 * <p>Example: both leads fail. After three heartbeats without a digest they are excluded, and the entry sends its
 * heartbeats to the next two and to four entries of its domain, then to eight, until one of them answers with a digest,
 * which it sends immediately.
 */
final class LeadSearch {
    /** Number of fallbacks at the first heartbeat without a digest; doubles at each further heartbeat. */
    private static final int INITIAL_FALLBACKS = 4;

    private static final int MAX_FALLBACKS = 16;

    private final PeerTable peers;
    private final RosterReceiver rosterReceiver;
    private final Duration digestTimeout;
    private ControlContext context;
    private int heartbeatsWithoutDigest;

    /**
     * Creates the search of one entry.
     *
     * @param digestTimeout how long a lead may leave heartbeats unanswered before it is excluded
     */
    LeadSearch(PeerTable peers, RosterReceiver rosterReceiver, Duration digestTimeout) {
        this.peers = peers;
        this.rosterReceiver = rosterReceiver;
        this.digestTimeout = digestTimeout;
    }

    void start(ControlContext startContext) {
        context = startContext;
    }

    /**
     * Records which leads this entry follows, and excludes those that don't answer.
     *
     * <p>Guards against following a failed lead for as long as rosters of other entries still list it.
     */
    void follow(List<EntryId> leads) {
        long now = context.nowNanos();
        peers.forEach((entry, peer) -> {
            if (leads.contains(entry)) {
                peer.startFollowing(now);
                peer.excludeIfUnanswered(now, digestTimeout.toNanos());
            } else {
                peer.stopFollowing();
            }
        });
    }

    /**
     * Returns entries of the domain that are known but not heard, for a lead to send its heartbeats to: the first one
     * in the order, which leads if it is alive, and a random one.
     *
     * <p>Guards against entries that stay apart after a cut. On each side of it the first entries in the order become
     * leads, which expect heartbeats and don't search.
     */
    List<EntryId> unheardEntries() {
        List<EntryContact> unheard = peers.all().stream()
                .filter(peer -> !peer.isAlive())
                .map(Peer::contact)
                .filter(contact -> contact.domain().equals(context.self().domain()))
                .toList();
        if (unheard.isEmpty()) {
            return List.of();
        }
        List<EntryId> sorted = FleetView.entryIds(LeadOrder.sorted(unheard));
        EntryId random = sorted.get(context.random().nextInt(sorted.size()));
        return Stream.of(sorted.get(0), random).distinct().toList();
    }

    /**
     * Returns further entries of the domain to which heartbeats are sent while no lead answers.
     *
     * <p>Guards against the loss of many entries at once: the next two in the order may have failed as well, and each
     * such detection takes more than a second.
     */
    List<EntryId> fallbackEntries() {
        FailureDomain ownDomain = context.self().domain();
        if (rosterReceiver.sendingLead(ownDomain).isPresent()) {
            heartbeatsWithoutDigest = 0;
            return List.of();
        }
        int doublings = Math.min(heartbeatsWithoutDigest, 2);
        heartbeatsWithoutDigest++;
        int count = Math.min(MAX_FALLBACKS, INITIAL_FALLBACKS << doublings);
        List<EntryContact> inOwnDomain = peers.all().stream()
                .filter(peer -> peer.contact().domain().equals(ownDomain))
                .map(Peer::contact)
                .toList();
        return FleetView.entryIds(LeadOrder.sorted(inOwnDomain)).stream()
                .limit(count)
                .toList();
    }
}
