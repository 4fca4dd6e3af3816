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

/**
 * The other entries: their contacts, whether they are alive and ready, and what they were last heard to say.
 *
 * <p>Invariants: what an earlier incarnation of an entry said changes nothing once a later one was heard of; and that
 * an entry was lost is told exactly once for each time that it was alive.
 */
final class PeerTable {
    private static final Duration UNLISTED_KEPT = Duration.ofSeconds(10);

    private final Map<EntryId, Peer> peers = new TreeMap<>();
    private final Consumer<EntryContact> onContact;
    private final Runnable onChange;
    private ControlContext context;

    /**
     * An empty table.
     *
     * @param onContact takes each contact that is new or has changed
     * @param onChange called when an entry came, went or changed its readiness
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

    Optional<Peer> of(EntryId entry) {
        return Optional.ofNullable(peers.get(entry));
    }

    int aliveCount() {
        return (int) peers.values().stream().filter(Peer::isAlive).count();
    }

    /**
     * Takes over a contact; empty if it is one of an earlier incarnation, or of this entry itself.
     *
     * <p>Incarnations are times of day, which may jump. So one that seems earlier is passed over only while the other
     * one gives signs. Guards against an entry that starts again after its clock was set back: everyone would take its
     * heartbeats for late ones, and no directory would name it until its former registration was forgotten.
     */
    Optional<Peer> meet(EntryContact contact) {
        EntryId entry = contact.entry();
        if (entry.equals(context.self().entry())) {
            return Optional.empty();
        }
        boolean isNew = !peers.containsKey(entry);
        Peer peer = peers.computeIfAbsent(entry, name -> new Peer(contact, context.nowNanos()));
        if (contact.incarnation() < peer.contact().incarnation() && peer.hasSigns(context.nowNanos())) {
            return Optional.empty();
        }
        boolean startedAnew = contact.incarnation() != peer.contact().incarnation();
        if (startedAnew && peer.isAlive()) {
            lose(entry, peer);
        }
        if (isNew || !contact.equals(peer.contact())) {
            peer.contact(contact);
            onContact.accept(contact);
        }
        return Optional.of(peer);
    }

    /** Notes a sign of life; whether it is news. */
    boolean revive(Peer peer, boolean ready) {
        boolean news = peer.revive();
        if (news || peer.isReady() != ready) {
            peer.ready(ready);
            onChange.run();
        }
        return news;
    }

    /** A lead that is believed doesn't name the entry any more. */
    void withdraw(EntryId entry) {
        of(entry).ifPresent(peer -> {
            peer.withdrawn();
            if (peer.isAlive() && !peer.hasSigns(context.nowNanos())) {
                lose(entry, peer);
            }
        });
    }

    /** Finds out who has given no sign for too long; returns those that are forgotten altogether. */
    ImmutableSet<EntryId> noticeDeaths() {
        long now = context.nowNanos();
        List<EntryId> forgotten = new ArrayList<>();
        peers.forEach((entry, peer) -> {
            if (peer.isAlive() && !peer.hasSigns(now)) {
                context.perform(Decision.of("peer-lost")
                        .with("peer", entry)
                        .with("silent_ms", peer.silentNanos(now) / 1_000_000));
                lose(entry, peer);
            }
            if (!peer.isAlive() && !peer.isListed() && peer.silentNanos(now) > UNLISTED_KEPT.toNanos()) {
                forgotten.add(entry);
            }
        });
        forgotten.forEach(peers::remove);
        return ImmutableSet.copyOf(forgotten);
    }

    private void lose(EntryId entry, Peer peer) {
        peer.die();
        onChange.run();
        context.raise(new PeersComponent.PeerLost(entry));
    }

    void unlist(EntryId entry) {
        of(entry).ifPresent(peer -> peer.listed(false));
    }
}
