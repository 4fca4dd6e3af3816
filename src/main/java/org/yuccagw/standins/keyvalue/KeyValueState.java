package org.yuccagw.standins.keyvalue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * State of the key-value service. It has no clock or thread of its own: callers pass the time in nanoseconds.
 *
 * <p>Each transaction increments the service-wide revision. A deleted key stays as a tombstone with the revision of its
 * deletion, so that watches can report it.
 */
final class KeyValueState {
    /** The revision of a key that doesn't exist. */
    static final long ABSENT = 0;

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision;
    private long lastLease;
    private long compactedRevision;

    /** The last write or deletion of a key; {@code value} is null after a deletion. */
    record Item(String key, byte[] value, long revision, long lease) {
        boolean deleted() {
            return value == null;
        }
    }

    /** The result of a transaction. */
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
        private final long ttlNanos;
        private long expiryNanos;

        private Lease(long ttlNanos, long expiryNanos) {
            this.ttlNanos = ttlNanos;
            this.expiryNanos = expiryNanos;
        }
    }

    /** The contents at one moment; leases by their time to live in nanoseconds. */
    record Copy(Map<String, Item> items, Map<Long, Long> leaseTimes, long revision, long lastLease, long compacted) {}

    Copy copy() {
        Map<Long, Long> leaseTimes = new HashMap<>();
        leases.forEach((lease, state) -> leaseTimes.put(lease, state.ttlNanos));
        return new Copy(new HashMap<>(items), leaseTimes, revision, lastLease, compactedRevision);
    }

    /**
     * Goes back to a copy. Later writes and leases are gone, and their numbers will be granted again; the other leases
     * run anew.
     */
    void restore(Copy copy, long nowNanos) {
        items.clear();
        items.putAll(copy.items());
        leases.clear();
        copy.leaseTimes().forEach((lease, ttl) -> leases.put(lease, new Lease(ttl, nowNanos + ttl)));
        revision = copy.revision();
        lastLease = copy.lastLease();
        compactedRevision = copy.compacted();
    }

    long revision() {
        return revision;
    }

    Optional<Item> read(String key) {
        return Optional.ofNullable(items.get(key)).filter(item -> !item.deleted());
    }

    List<Item> readPrefix(String prefix) {
        return itemsUnder(prefix).stream().filter(item -> !item.deleted()).toList();
    }

    /** Returns the last write or deletion of each key under a prefix that changed after a revision, ordered by key. */
    List<Item> changes(String prefix, long after) {
        return itemsUnder(prefix).stream()
                .filter(item -> item.revision() > after)
                .toList();
    }

    /** The revision that a transaction expects of a key; {@link #ABSENT} if the key must not exist. */
    record Condition(String key, long revision) {}

    /** A key to write, attached to a lease; lease 0 for none. */
    record Put(String key, byte[] value, long lease) {}

    /** Conditions, writes and deletions that are applied atomically. */
    record Transaction(List<Condition> conditions, List<Put> puts, List<String> deletes) {}

    /** Applies the transaction if all conditions hold and all leases exist; otherwise changes nothing. */
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

    /** Removes tombstones. Watches from revisions before the current one can no longer be answered. */
    void compact() {
        items.values().removeIf(Item::deleted);
        compactedRevision = revision;
    }

    /** Returns whether the changes after the revision are known: it is neither discarded nor in the future. */
    boolean hasHistorySince(long after) {
        return after >= compactedRevision && after <= revision;
    }

    long grant(long nowNanos, long ttlNanos) {
        leases.put(++lastLease, new Lease(ttlNanos, nowNanos + ttlNanos));
        return lastLease;
    }

    boolean renew(long nowNanos, long lease) {
        Lease current = leases.get(lease);
        if (current == null || current.expiryNanos <= nowNanos) {
            return false;
        }
        current.expiryNanos = nowNanos + current.ttlNanos;
        return true;
    }

    boolean revoke(long lease) {
        if (leases.remove(lease) == null) {
            return false;
        }
        deleteKeysOf(lease);
        return true;
    }

    /** Removes expired leases with their keys. Returns whether there were any. */
    boolean expireLeases(long nowNanos) {
        List<Long> expired = new ArrayList<>();
        leases.forEach((lease, state) -> {
            if (state.expiryNanos <= nowNanos) {
                expired.add(lease);
            }
        });
        expired.forEach(this::revoke);
        return !expired.isEmpty();
    }

    private void deleteKeysOf(long lease) {
        List<Item> attached = items.values().stream()
                .filter(item -> !item.deleted() && item.lease() == lease)
                .toList();
        if (!attached.isEmpty()) {
            apply(new Transaction(
                    List.of(), List.of(), attached.stream().map(Item::key).toList()));
        }
    }

    private long currentRevision(String key) {
        return read(key).map(Item::revision).orElse(ABSENT);
    }

    private List<Item> itemsUnder(String prefix) {
        return List.copyOf(
                items.subMap(prefix, true, prefix + Character.MAX_VALUE, true).values());
    }
}
