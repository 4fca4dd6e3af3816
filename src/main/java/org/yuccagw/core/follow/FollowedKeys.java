package org.yuccagw.core.follow;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.lease.Moment;
import org.yuccagw.core.port.KeyValueAnswer.Item;
import org.yuccagw.core.port.KeyValueRevision;

/**
 * The last known write or removal of each followed key. Raises an event for each change.
 *
 * <p>Of two states of a key within one era of the service, the one with the higher revision counts. Of two states of
 * different eras, the one of the later era counts, unless it is an older copy by what its writer states (see {@link
 * KeyValueRecord#isOlderThan}). The order in which the two arrive doesn't matter: an entry may receive the older copy
 * from the service and then, from another entry, the state that it replaced.
 */
final class FollowedKeys {
    private static final Duration REMOVAL_RETENTION = Duration.ofSeconds(60);
    private static final int MAX_RETAINED_REMOVALS = 2_000;

    private final KeyValueRecordCodec codec;
    private final ControlContext context;
    private final TreeMap<String, KeyState> keys = new TreeMap<>();
    /** Removals up to this revision may be missing here. */
    private long unknownRemovalsUpTo = KeyValueRevision.NONE;

    private int retainedRemovals;

    private FollowedKeys(KeyValueRecordCodec codec, ControlContext context) {
        this.codec = codec;
        this.context = context;
    }

    static FollowedKeys of(KeyValueRecordCodec codec, ControlContext context) {
        return new FollowedKeys(codec, context);
    }

    /**
     * How changes arrived.
     *
     * @param initial whether they are the first that this entry receives, so that they may be old
     * @param lapsesUpToRevision up to which revision a removal may be the lapse of a lease, since the service has just
     *     become reachable again, or has been restored
     * @param unseenSinceNanos see {@link KeyValueRecordUpdated}
     * @param notBefore see {@link KeyValueRecordUpdated}
     * @param presentRevision the revision that the sender's copy includes
     */
    record Arrival(
            boolean initial,
            long lapsesUpToRevision,
            OptionalLong unseenSinceNanos,
            Optional<Moment> notBefore,
            long presentRevision) {
        /**
         * Returns the moment before which the item wasn't written. A copy of a restored service includes no writes that
         * the service has lost, whenever it was received.
         */
        Optional<Moment> notBefore(Item item) {
            boolean lost = KeyValueRevision.isOfEarlierEra(item.revision(), presentRevision);
            return lost ? Optional.empty() : notBefore;
        }

        /** Returns whether a removal may be the lapse of a lease, which no removal before a restoration is. */
        boolean mayBeLapse(Item removal) {
            return removal.revision() <= lapsesUpToRevision
                    && !KeyValueRevision.isOfEarlierEra(removal.revision(), presentRevision);
        }
    }

    /**
     * The last write or the removal of a key, and when it was received.
     *
     * @param item after a removal with the value before it, so that other entries can decode it
     * @param record the decoded value, after a removal the one before it; empty if there is none
     */
    private record KeyState(Item item, Optional<KeyValueRecord> record, long receivedNanos) {
        boolean isRemoved() {
            return item.deleted();
        }

        boolean hasSameValue(Item other) {
            return !isRemoved() && !other.deleted() && Arrays.equals(item.value(), other.value());
        }
    }

    void apply(List<Item> items, Arrival arrival) {
        items.forEach(item -> apply(item, arrival));
    }

    /** Applies a list of all keys: a key that isn't in it counts as removed, unless a newer write of it is known. */
    void applyList(List<Item> items, long listRevision, Arrival arrival) {
        if (arrival.initial()) {
            unknownRemovalsUpTo = Math.max(unknownRemovalsUpTo, listRevision);
        }
        apply(items, arrival);
        Set<String> listed = new HashSet<>();
        items.forEach(item -> listed.add(item.key()));
        List<String> missing = new ArrayList<>();
        for (KeyState state : keys.values()) {
            boolean notNewer = state.item().revision() <= listRevision;
            boolean lost = isLostByRestoration(state, listRevision);
            if (notNewer
                    && !lost
                    && !state.isRemoved()
                    && !listed.contains(state.item().key())) {
                missing.add(state.item().key());
            }
        }
        missing.forEach(key -> apply(new Item(key, new byte[0], listRevision, true), arrival));
    }

    /** Returns whether a key that a restored service lacks stays in force, since such keys are never removed. */
    private boolean isLostByRestoration(KeyState state, long listRevision) {
        return state.record().isPresent()
                && KeyValueRevision.isOfEarlierEra(state.item().revision(), listRevision)
                && codec.subject(state.item().key()) instanceof KeyValueRecord.Subject.OtherSubject;
    }

    /** Returns the keys that exist, and the removals that are retained, with the values before them. */
    ImmutableList<Item> all() {
        return items(state -> !state.isRemoved() || state.record().isPresent());
    }

    /** Returns the keys that were written or removed after the revision, and what is known better than the service. */
    ImmutableList<Item> changedAfterAndRetained(long revision, long presentRevision) {
        return items(state -> state.item().revision() > revision || isRetained(state, presentRevision));
    }

    /**
     * Returns whether the state is retained from an earlier era than the present one, because the service holds an
     * older copy of the key or none.
     */
    private static boolean isRetained(KeyState state, long presentRevision) {
        return state.record().isPresent()
                && KeyValueRevision.isOfEarlierEra(state.item().revision(), presentRevision);
    }

    private ImmutableList<Item> items(Predicate<KeyState> included) {
        return keys.values().stream().filter(included).map(KeyState::item).collect(ImmutableList.toImmutableList());
    }

    /** Returns whether all removals after the revision are known: a list of all keys doesn't show those before it. */
    boolean retainRemovalsAfter(long revision) {
        return revision >= unknownRemovalsUpTo;
    }

    /** Deletes old removals, which are retained for peers that lag behind. */
    void deleteOldRemovals() {
        if (retainedRemovals == 0) {
            return;
        }
        long cutoffNanos = context.nowNanos() - REMOVAL_RETENTION.toNanos();
        boolean overLimit = retainedRemovals > MAX_RETAINED_REMOVALS;
        keys.values().removeIf(state -> {
            boolean expired = state.isRemoved() && (overLimit || state.receivedNanos() - cutoffNanos < 0);
            if (expired) {
                unknownRemovalsUpTo = Math.max(unknownRemovalsUpTo, state.item().revision());
                retainedRemovals--;
            }
            return expired;
        });
    }

    private void apply(Item item, Arrival arrival) {
        KeyState known = keys.get(item.key());
        if (known == null) {
            applyFirst(item, arrival);
        } else if (KeyValueRevision.isOfEarlierEra(known.item().revision(), item.revision())) {
            applyOfLaterEra(item, known, arrival);
        } else if (KeyValueRevision.isOfEarlierEra(item.revision(), known.item().revision())) {
            applyOfEarlierEra(item, known, arrival);
        } else if (item.revision() > known.item().revision()) {
            applyNewer(item, known, arrival);
        }
    }

    private void applyFirst(Item item, Arrival arrival) {
        if (!item.deleted()) {
            write(item, Optional.empty(), arrival);
        } else if (item.value().length > 0) {
            store(item, decodeIfReadable(item));
            retainedRemovals++;
        }
    }

    private void applyNewer(Item item, KeyState known, Arrival arrival) {
        if (!item.deleted()) {
            write(item, known.record(), arrival);
        } else if (!known.isRemoved()) {
            remove(item, known, arrival);
        }
    }

    private void applyOfLaterEra(Item item, KeyState known, Arrival arrival) {
        if (known.hasSameValue(item)) {
            store(item, known.record());
        } else if (!item.deleted() && isOlderCopy(decodeIfReadable(item), known)) {
            logIgnored(item, known);
        } else {
            applyNewer(item, known, arrival);
        }
    }

    /** Applies a state that another entry retained from an earlier era, if the known one is an older copy. */
    private void applyOfEarlierEra(Item item, KeyState known, Arrival arrival) {
        Optional<KeyValueRecord> retained = decodeIfReadable(item);
        boolean knownIsOlder = !known.isRemoved()
                && retained.isPresent()
                && known.record().isPresent()
                && known.record().get().isOlderThan(retained.get(), item.deleted());
        if (knownIsOlder) {
            applyNewer(item, known, arrival);
        }
    }

    private void remove(Item item, KeyState known, Arrival arrival) {
        boolean stated = item.value().length > 0;
        byte[] before = stated ? item.value() : known.item().value();
        Optional<KeyValueRecord> record = stated ? decodeIfReadable(item) : known.record();
        store(new Item(item.key(), before, item.revision(), true), record);
        retainedRemovals++;
        context.raise(new KeyValueRecordRemoved(codec.subject(item.key()), item.revision(), arrival.mayBeLapse(item)));
    }

    private void write(Item item, Optional<KeyValueRecord> before, Arrival arrival) {
        try {
            Optional<KeyValueRecord> written = codec.decode(item.key(), item.value());
            store(item, written.or(() -> before));
            written.ifPresent(record -> context.raise(new KeyValueRecordUpdated(
                    record, item.revision(), arrival.initial(), arrival.unseenSinceNanos(), arrival.notBefore(item))));
        } catch (YuccagwException unreadable) {
            store(item, before);
            handleUnreadable(item, unreadable);
        }
    }

    private Optional<KeyValueRecord> decodeIfReadable(Item item) {
        try {
            return codec.decode(item.key(), item.value());
        } catch (YuccagwException unreadable) {
            return Optional.empty();
        }
    }

    private void store(Item item, Optional<KeyValueRecord> record) {
        keys.put(item.key(), new KeyState(item, record, context.nowNanos()));
    }

    /** Returns whether a record that a restored service holds was written before the known one. */
    private static boolean isOlderCopy(Optional<KeyValueRecord> written, KeyState known) {
        return written.isPresent()
                && known.record().isPresent()
                && written.get().isOlderThan(known.record().get(), known.isRemoved());
    }

    private void logIgnored(Item item, KeyState known) {
        context.perform(Decision.of("older-copy-ignored")
                .with("key", item.key())
                .with("era", KeyValueRevision.era(item.revision()))
                .with("revision", KeyValueRevision.number(item.revision()))
                .with("known_era", KeyValueRevision.era(known.item().revision()))
                .with("known_revision", KeyValueRevision.number(known.item().revision())));
    }

    /**
     * Handles a value that can't be decoded, which another program must have written. A registration of an endpoint
     * counts as removed, since the value describes no endpoint. For all other keys the previous state stays in force,
     * since a partly decoded configuration would be worse than an older one.
     */
    private void handleUnreadable(Item item, YuccagwException unreadable) {
        KeyValueRecord.Subject subject = codec.subject(item.key());
        if (subject instanceof KeyValueRecord.Subject.EndpointSubject) {
            context.raise(new KeyValueRecordRemoved(subject, item.revision(), false));
        }
        context.perform(Decision.of("value-unreadable")
                .with("key", item.key())
                .with("revision", item.revision())
                .with("error", unreadable.getMessage()));
    }
}
