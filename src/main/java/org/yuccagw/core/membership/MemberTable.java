package org.yuccagw.core.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.membership.EntryStatus.State;
import org.yuccagw.core.membership.MemberRecord.Contact;

/**
 * This entry's local view of all entries, and the records that still have to be disseminated.
 *
 * <p>A dead entry stays in the table for a while, so that a delayed record from before its death isn't taken for that
 * of a new entry.
 */
final class MemberTable {
    /** Records without contact that fit into one message beside the sender's own, within the byte budget. */
    private static final int LOAD_UPDATES_PER_MESSAGE = 6;

    private static final int STATE_CHANGES_PER_MESSAGE = 3;

    private final EntryId self;
    private final TreeMap<EntryId, MemberRecord> records = new TreeMap<>();
    private final TreeMap<EntryId, NetworkAddress> listed = new TreeMap<>();
    private final Map<EntryId, Long> deadSinceNanos = new HashMap<>();
    private final Dissemination stateChanges = new Dissemination();
    private final Dissemination loadUpdates = new Dissemination();

    MemberTable(MemberRecord own) {
        this.self = own.entry();
        records.put(self, own);
    }

    /** The effect of merging a record into the table. */
    enum MergeResult {
        /** The record was ignored, since it isn't newer or lacks the contact of a new entry or incarnation. */
        UNCHANGED,
        /** The load or the catalogue revision was updated. */
        LOAD_UPDATED,
        /** An entry was added or restarted, or its state changed. */
        STATE_CHANGED
    }

    MemberRecord own() {
        return records.get(self);
    }

    /** Replaces this entry's own record and raises its version by one, so that it supersedes the old one everywhere. */
    void replaceOwn(State state, int load, long catalogueRevision) {
        MemberRecord old = own();
        boolean stateChanged = old.state() != state;
        records.put(
                self,
                new MemberRecord(
                        self, old.incarnation(), old.version() + 1, state, load, catalogueRevision, old.contact()));
        (stateChanged ? stateChanges : loadUpdates).add(self, records.size());
    }

    /** Raises this entry's own version above the one that other entries suspect. */
    void refute(long suspectedVersion) {
        MemberRecord old = own();
        long version = Math.max(old.version(), suspectedVersion) + 1;
        records.put(
                self,
                new MemberRecord(
                        self,
                        old.incarnation(),
                        version,
                        old.state(),
                        old.load(),
                        old.catalogueRevision(),
                        old.contact()));
        stateChanges.add(self, records.size());
    }

    /** Merges a record, received from another entry, of an entry other than this one. */
    MergeResult merge(MemberRecord received, long nowNanos) {
        MemberRecord known = records.get(received.entry());
        if (known == null) {
            return addFirst(received, nowNanos);
        }
        if (!received.supersedes(known)) {
            return MergeResult.UNCHANGED;
        }
        boolean restarted = received.incarnation() != known.incarnation();
        if (restarted && received.contact().isEmpty()) {
            return MergeResult.UNCHANGED;
        }
        MemberRecord merged = received.contact().isPresent() ? received : received.withContact(known.contact());
        return store(merged, restarted || merged.state() != known.state(), nowNanos);
    }

    Optional<MemberRecord> find(EntryId entry) {
        return Optional.ofNullable(records.get(entry));
    }

    /** Returns the entries other than this one that aren't dead. */
    List<EntryId> others() {
        List<EntryId> others = new ArrayList<>(records.size());
        for (MemberRecord known : records.values()) {
            if (known.state() != State.DEAD && !known.entry().equals(self)) {
                others.add(known.entry());
            }
        }
        return others;
    }

    /** Returns the entries that the platform lists but of which no record was received, or that are dead. */
    List<EntryId> listedButUnreached() {
        return listed.keySet().stream()
                .filter(entry -> !entry.equals(self))
                .filter(entry ->
                        !records.containsKey(entry) || records.get(entry).state() == State.DEAD)
                .toList();
    }

    /** Replaces the list of entries and their peer addresses that the platform reported. */
    void replaceListed(Map<EntryId, NetworkAddress> entries) {
        listed.clear();
        listed.putAll(entries);
    }

    /** Removes the entries that have been dead since before {@code nanos}. */
    void removeDeadBefore(long nanos) {
        deadSinceNanos.entrySet().removeIf(dead -> {
            boolean expired = dead.getValue() - nanos < 0;
            if (expired) {
                records.remove(dead.getKey());
            }
            return expired;
        });
    }

    /**
     * Returns the records for one message: this entry's own, that of the receiver if it isn't considered alive, so that
     * it can refute, and records that are still being disseminated.
     */
    ImmutableList<MemberRecord> recordsForMessage(EntryId receiver) {
        Map<EntryId, MemberRecord> selected = new LinkedHashMap<>();
        selected.put(self, own());
        MemberRecord known = records.get(receiver);
        if (known != null && known.state() != State.ALIVE) {
            selected.put(receiver, known.withContact(Optional.empty()));
        }
        for (EntryId entry : stateChanges.take(STATE_CHANGES_PER_MESSAGE)) {
            selected.putIfAbsent(entry, records.get(entry));
        }
        for (EntryId entry : loadUpdates.take(LOAD_UPDATES_PER_MESSAGE)) {
            selected.putIfAbsent(entry, records.get(entry).withContact(Optional.empty()));
        }
        return ImmutableList.copyOf(selected.values());
    }

    ImmutableList<MemberRecord> all() {
        return ImmutableList.copyOf(records.values());
    }

    ImmutableList<EntryStatus> statuses() {
        ImmutableList.Builder<EntryStatus> statuses = ImmutableList.builder();
        for (MemberRecord known : records.values()) {
            if (known.state() != State.DEAD) {
                Contact contact = known.contact().orElseThrow();
                statuses.add(new EntryStatus(
                        known.entry(),
                        known.incarnation(),
                        known.state(),
                        contact.domain(),
                        contact.callerAddress(),
                        contact.peerAddress(),
                        contact.adminAddress(),
                        contact.relayAddress(),
                        known.load(),
                        known.catalogueRevision()));
            }
        }
        return statuses.build();
    }

    /**
     * Returns the address of each known or listed entry. For a dead entry the listed address takes precedence, since
     * the entry may have moved.
     */
    PeerAddresses addresses() {
        Map<EntryId, NetworkAddress> addresses = new TreeMap<>(listed);
        for (MemberRecord known : records.values()) {
            boolean mayHaveMoved = known.state() == State.DEAD && listed.containsKey(known.entry());
            if (!mayHaveMoved) {
                addresses.put(known.entry(), known.contact().orElseThrow().peerAddress());
            }
        }
        return new PeerAddresses(ImmutableMap.copyOf(addresses));
    }

    int size() {
        return records.size();
    }

    private MergeResult addFirst(MemberRecord received, long nowNanos) {
        if (received.contact().isEmpty() || received.state() == State.DEAD) {
            return MergeResult.UNCHANGED;
        }
        return store(received, true, nowNanos);
    }

    private MergeResult store(MemberRecord merged, boolean stateChanged, long nowNanos) {
        records.put(merged.entry(), merged);
        if (merged.state() == State.DEAD) {
            deadSinceNanos.put(merged.entry(), nowNanos);
        } else {
            deadSinceNanos.remove(merged.entry());
        }
        if (stateChanged) {
            loadUpdates.remove(merged.entry());
            stateChanges.add(merged.entry(), records.size());
            return MergeResult.STATE_CHANGED;
        }
        loadUpdates.add(merged.entry(), records.size());
        return MergeResult.LOAD_UPDATED;
    }
}
