package org.yuccagw.standins.keyvalue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * What the key-value service holds, without any clock or thread: callers pass the time.
 *
 * <p>Each write and each deletion takes the next service-wide revision. A deleted key stays as a mark with the revision
 * of its deletion, so that a watch can tell of it.
 */
final class KeyValueState {
    static final long ABSENT = 0;

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision;
    private long lastLease;
    private long compactedRevision;

    /** A key's last write; {@code value} is null after a deletion. */
    record Item(String key, byte[] value, long revision, long lease) {
        boolean deleted() {
            return value == null;
        }
    }

    /** What became of a transaction. */
    enum Result {
        DONE,
        CONDITION_FAILED,
        NO_LEASE
    }

    record Outcome(Result result, long revision) {
        boolean done() {
            return result == Result.DONE;
        }
    }

    private static final class Lease {
        private final long lifeNanos;
        private long endNanos;

        private Lease(long lifeNanos, long endNanos) {
            this.lifeNanos = lifeNanos;
            this.endNanos = endNanos;
        }
    }

    long revision() {
        return revision;
    }

    Optional<Item> read(String key) {
        return Optional.ofNullable(items.get(key)).filter(item -> !item.deleted());
    }

    List<Item> readPrefix(String prefix) {
        return under(prefix).stream().filter(item -> !item.deleted()).toList();
    }

    /** Writes and deletions under a prefix after a revision, in the order of keys. */
    List<Item> changes(String prefix, long after) {
        return under(prefix).stream().filter(item -> item.revision() > after).toList();
    }

    /** A key at the revision that a transaction expects; {@link #ABSENT} for a key that doesn't exist. */
    record Condition(String key, long revision) {}

    /** A key to be written; lease 0 for none. */
    record Put(String key, byte[] value, long lease) {}

    /** All of it or nothing. */
    record Transaction(List<Condition> conditions, List<Put> puts, List<String> deletes) {}

    /** Carries the transaction out if each condition holds and each lease exists. */
    Outcome apply(Transaction transaction) {
        for (Condition condition : transaction.conditions()) {
            if (currentRevision(condition.key()) != condition.revision()) {
                return new Outcome(Result.CONDITION_FAILED, revision);
            }
        }
        for (Put put : transaction.puts()) {
            if (put.lease() != 0 && !leases.containsKey(put.lease())) {
                return new Outcome(Result.NO_LEASE, revision);
            }
        }
        revision++;
        transaction
                .puts()
                .forEach(put -> items.put(put.key(), new Item(put.key(), put.value(), revision, put.lease())));
        transaction.deletes().stream()
                .filter(key -> currentRevision(key) != ABSENT)
                .forEach(key -> items.put(key, new Item(key, null, revision, 0)));
        return new Outcome(Result.DONE, revision);
    }

    /** Forgets what was deleted, and that watches may ask for anything up to now. */
    void compact() {
        items.values().removeIf(Item::deleted);
        compactedRevision = revision;
    }

    /** Whether the changes after a revision are still known. */
    boolean isCompacted(long after) {
        return after < compactedRevision;
    }

    long grant(long now, long lifeNanos) {
        leases.put(++lastLease, new Lease(lifeNanos, now + lifeNanos));
        return lastLease;
    }

    boolean renew(long now, long lease) {
        Lease found = leases.get(lease);
        if (found == null || found.endNanos <= now) {
            return false;
        }
        found.endNanos = now + found.lifeNanos;
        return true;
    }

    boolean revoke(long lease) {
        if (leases.remove(lease) == null) {
            return false;
        }
        deleteKeysOf(lease);
        return true;
    }

    /** Ends the leases that lapsed, with their keys; whether there were any. */
    boolean lapse(long now) {
        List<Long> lapsed = new ArrayList<>();
        leases.forEach((lease, state) -> {
            if (state.endNanos <= now) {
                lapsed.add(lease);
            }
        });
        lapsed.forEach(this::revoke);
        return !lapsed.isEmpty();
    }

    private void deleteKeysOf(long lease) {
        List<Item> held = items.values().stream()
                .filter(item -> !item.deleted() && item.lease() == lease)
                .toList();
        if (!held.isEmpty()) {
            apply(new Transaction(
                    List.of(), List.of(), held.stream().map(Item::key).toList()));
        }
    }

    private long currentRevision(String key) {
        return read(key).map(Item::revision).orElse(ABSENT);
    }

    private List<Item> under(String prefix) {
        return List.copyOf(
                items.subMap(prefix, true, prefix + Character.MAX_VALUE, true).values());
    }
}
