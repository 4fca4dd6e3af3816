package org.yuccagw.core.peers;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;

/**
 * The other entries that are known, with their contacts and their last reported state, including liveness and
 * readiness.
 *
 * <p>Invariants: messages of an earlier incarnation of an entry have no effect once a later one is known, and exactly
 * one {@link PeersComponent.PeerLost} is raised for each time that an entry was alive and was lost.
 */
final class PeerTable {
    private static final Duration UNLISTED_RETENTION = Duration.ofSeconds(10);

    private final Map<EntryId, Peer> peers = new TreeMap<>();
    private final Consumer<EntryContact> onContact;
    private final Runnable onChange;
    private ControlContext context;

    /**
     * Creates an empty table.
     *
     * @param onContact called with each contact that is new or has changed
     * @param onChange called when an entry became alive, was lost or changed its readiness
     */
    PeerTable(Consumer<EntryContact> onContact, Runnable onChange) {
        this.onContact = onContact;
        this.onChange = onChange;
    }

    void start(ControlContext startContext) {
        context = startContext;
    }

    int size() {
        return peers.size();
    }

    Collection<Peer> all() {
        return peers.values();
    }

    Collection<EntryId> ids() {
        return peers.keySet();
    }

    void forEach(BiConsumer<EntryId, Peer> action) {
        peers.forEach(action);
    }

    Optional<Peer> find(EntryId entry) {
        return Optional.ofNullable(peers.get(entry));
    }

    int aliveCount() {
        return (int) peers.values().stream().filter(Peer::isAlive).count();
    }

    /** Returns whether more than half of the known entries of the own failure domain, including this one, are alive. */
    boolean isMajorityAlive(FailureDomain ownDomain) {
        int known = 1;
        int alive = 1;
        for (Peer peer : peers.values()) {
            if (peer.contact().domain().equals(ownDomain)) {
                known++;
                alive += peer.isAlive() ? 1 : 0;
            }
        }
        return alive * 2 > known;
    }

    /**
     * Adds or updates the entry with this contact; empty if the contact is that of an earlier incarnation or of this
     * entry itself.
     *
     * <p>Incarnations are times of day, which may jump. A contact with a lower incarnation is therefore ignored only
     * while there is evidence that the known incarnation is alive. Guards against an entry that restarts after its
     * clock was set back: all others would ignore its heartbeats as delayed ones, and no directory would list it until
     * its previous registration was removed.
     */
    Optional<Peer> update(EntryContact contact) {
        EntryId entry = contact.entry();
        if (entry.equals(context.self().entry())) {
            return Optional.empty();
        }
        boolean isNew = !peers.containsKey(entry);
        Peer peer = peers.computeIfAbsent(entry, name -> new Peer(contact, context.nowNanos()));
        if (contact.incarnation() < peer.contact().incarnation() && peer.hasLivenessEvidence(context.nowNanos())) {
            return Optional.empty();
        }
        boolean restarted = contact.incarnation() != peer.contact().incarnation();
        if (restarted && peer.isAlive()) {
            markLost(entry, peer, true);
        }
        if (isNew || !contact.equals(peer.contact())) {
            peer.setContact(contact);
            onContact.accept(contact);
        }
        return Optional.of(peer);
    }

    /** Marks an entry as alive and updates its readiness; returns whether it wasn't alive before. */
    boolean markAlive(Peer peer, boolean ready) {
        boolean becameAlive = peer.markAlive();
        if (becameAlive || peer.isReady() != ready) {
            peer.setReady(ready);
            onChange.run();
        }
        return becameAlive;
    }

    /** Handles the removal of the entry from the roster of the lead that this entry relies on. */
    void clearRosterListing(EntryId entry) {
        find(entry).ifPresent(peer -> {
            peer.clearRosterListing();
            if (peer.isAlive() && !peer.hasLivenessEvidence(context.nowNanos())) {
                markLost(entry, peer, false);
            }
        });
    }

    /** Marks entries without evidence of liveness as lost; returns those that are removed from the table. */
    ImmutableSet<EntryId> detectFailures() {
        long now = context.nowNanos();
        List<EntryId> removed = new ArrayList<>();
        peers.forEach((entry, peer) -> {
            if (peer.isAlive() && !peer.hasLivenessEvidence(now)) {
                context.perform(Decision.of("peer-lost")
                        .with("peer", entry)
                        .with("silent_ms", peer.silentNanos(now) / 1_000_000));
                markLost(entry, peer, false);
            }
            if (!peer.isAlive() && !peer.isListed() && peer.silentNanos(now) > UNLISTED_RETENTION.toNanos()) {
                removed.add(entry);
            }
        });
        removed.forEach(peers::remove);
        return ImmutableSet.copyOf(removed);
    }

    private void markLost(EntryId entry, Peer peer, boolean restarted) {
        peer.markFailed();
        onChange.run();
        context.raise(new PeersComponent.PeerLost(entry, restarted));
    }

    /** Records that the registration of the entry was removed. */
    void unlist(EntryId entry) {
        find(entry).ifPresent(peer -> peer.setListed(false));
    }
}
