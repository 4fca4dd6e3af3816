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
import org.yuccagw.core.port.KeyValueAnswer.Item;
import org.yuccagw.core.port.KeyValueRevision;

/**
 * The last known write or removal of each followed key. Raises an event for each change.
 *
 * <p>Within an era of the service, a write counts if its revision is higher than that of the known one. In a later era,
 * the service may hold an older copy of a key: it counts if its value differs from the known one and, by what its
 * writer states, isn't older (see {@link KeyValueRecord#isOlderThan}).
 */
final class FollowedKeys {
    private static final Duration REMOVAL_RETENTION = Duration.ofSeconds(60);
    private static final int MAX_RETAINED_REMOVALS = 2_000;

    private final KeyValueRecordCodec codec;
    private final ControlContext context;
    private final TreeMap<String, KeyState> keys = new TreeMap<>();
    private long deletedRemovalRevision = KeyValueRevision.NONE;
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
     * @param afterOutage whether the service has just become reachable again, or has been restored, so that a removal
     *     may be the lapse of a lease
     * @param unseenSinceNanos see {@link KeyValueRecordUpdated}
     */
    record Arrival(boolean initial, boolean afterOutage, OptionalLong unseenSinceNanos) {}

    /**
     * The last write or the removal of a key, and when it was received.
     *
     * @param record the decoded value, after a removal the one before it; empty if there is none
     */
    private record KeyState(Item item, Optional<KeyValueRecord> record, long receivedNanos) {
        boolean isRemoved() {
            return item.deleted();
        }

        boolean hasSameValue(Item other) {
            return item.deleted() == other.deleted() && Arrays.equals(item.value(), other.value());
        }
    }

    void apply(List<Item> items, Arrival arrival) {
        items.forEach(item -> apply(item, arrival));
    }

    /** Applies a list of all keys: a key that isn't in it counts as removed, unless a newer write of it is known. */
    void applyList(List<Item> items, long listRevision, Arrival arrival) {
        apply(items, arrival);
        Set<String> listed = new HashSet<>();
        items.forEach(item -> listed.add(item.key()));
        List<String> missing = new ArrayList<>();
        for (KeyState state : keys.values()) {
            boolean notNewer = state.item().revision() <= listRevision;
            if (notNewer && !state.isRemoved() && !listed.contains(state.item().key())) {
                missing.add(state.item().key());
            }
        }
        missing.forEach(key -> apply(new Item(key, new byte[0], listRevision, true), arrival));
    }

    /** Returns the keys that exist. */
    ImmutableList<Item> present() {
        return items(item -> !item.deleted());
    }

    /** Returns the keys that were written or removed after the revision. */
    ImmutableList<Item> changedAfter(long revision) {
        return items(item -> item.revision() > revision);
    }

    private ImmutableList<Item> items(Predicate<Item> included) {
        return keys.values().stream().map(KeyState::item).filter(included).collect(ImmutableList.toImmutableList());
    }

    /** Returns whether all removals after the revision are still known. */
    boolean retainRemovalsAfter(long revision) {
        return revision >= deletedRemovalRevision;
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
                deletedRemovalRevision =
                        Math.max(deletedRemovalRevision, state.item().revision());
                retainedRemovals--;
            }
            return expired;
        });
    }

    private void apply(Item item, Arrival arrival) {
        KeyState known = keys.get(item.key());
        boolean notNewer = known != null && known.item().revision() >= item.revision();
        boolean alreadyRemoved = item.deleted() && (known == null || known.isRemoved());
        if (notNewer || alreadyRemoved) {
            return;
        }
        boolean ofLaterEra =
                known != null && KeyValueRevision.isOfEarlierEra(known.item().revision(), item.revision());
        if (ofLaterEra && known.hasSameValue(item)) {
            return;
        }
        Optional<KeyValueRecord> before = known == null ? Optional.empty() : known.record();
        if (item.deleted()) {
            remove(item, before, arrival);
            return;
        }
        try {
            Optional<KeyValueRecord> written = codec.decode(item.key(), item.value());
            if (ofLaterEra && isOlderCopy(written, known)) {
                logIgnored(item, known);
            } else {
                write(item, written, before, arrival);
            }
        } catch (YuccagwException unreadable) {
            store(item, before);
            handleUnreadable(item, unreadable);
        }
    }

    private void remove(Item item, Optional<KeyValueRecord> before, Arrival arrival) {
        store(item, before);
        retainedRemovals++;
        context.raise(new KeyValueRecordRemoved(codec.subject(item.key()), item.revision(), arrival.afterOutage()));
    }

    private void write(Item item, Optional<KeyValueRecord> written, Optional<KeyValueRecord> before, Arrival arrival) {
        store(item, written.or(() -> before));
        written.ifPresent(record -> context.raise(
                new KeyValueRecordUpdated(record, item.revision(), arrival.initial(), arrival.unseenSinceNanos())));
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
