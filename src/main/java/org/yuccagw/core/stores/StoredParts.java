package org.yuccagw.core.stores;

import java.util.HashMap;
import java.util.Map;
import org.yuccagw.core.deployment.CacheStore;

/**
 * What one store holds, as its events tell.
 *
 * <p>Knowledge is used only while it is fresh. Guards against a store that restarted empty and is being filled again: a
 * part that was whole before may be half written now, and a fetch would read what isn't there yet. An entry stops using
 * what it knows {@link StoresComponent#FRESH} after the last call that the store answered, and nobody saves to a store
 * whose restart was seen less than {@link StoresComponent#NEWBORN} ago, by when everybody has noticed it.
 */
final class StoredParts {
    private static final long NEVER = Long.MIN_VALUE;

    private final CacheStore store;
    private final Map<String, Map<String, Integer>> tokensBySalt = new HashMap<>();
    private final Map<String, Long> savesUnderWay = new HashMap<>();
    private long epoch;
    private boolean epochKnown;
    private long epochSeenNanos;
    private long next;
    private long confirmedNanos = NEVER;
    private long clockMillis;
    private long clockReadNanos;
    private long heldTokens;
    private long linkBusyUntilNanos;

    StoredParts(CacheStore store) {
        this.store = store;
    }

    CacheStore store() {
        return store;
    }

    long next() {
        return next;
    }

    /** Takes over the epoch of an answer; true if the store has restarted since the one before. */
    boolean meet(long answeredEpoch, long nowNanos) {
        boolean restarted = epochKnown && answeredEpoch != epoch;
        if (!epochKnown || restarted) {
            epoch = answeredEpoch;
            epochKnown = true;
            epochSeenNanos = nowNanos;
            clear();
        }
        return restarted;
    }

    void clear() {
        tokensBySalt.clear();
        savesUnderWay.clear();
        heldTokens = 0;
        next = 0;
    }

    void reach(long nextNumber) {
        next = nextNumber;
    }

    void take(StoreAnswer.Change change) {
        Map<String, Integer> parts = tokensBySalt.computeIfAbsent(change.salt(), salt -> new HashMap<>());
        Integer before = change.held() ? parts.put(change.part(), change.tokens()) : parts.remove(change.part());
        heldTokens += (change.held() ? change.tokens() : 0) - (before == null ? 0 : before);
        savesUnderWay.remove(change.salt() + '/' + change.part());
    }

    /** The store answered a call that was sent at {@code sentNanos}. */
    void confirm(long sentNanos) {
        confirmedNanos = sentNanos;
    }

    void doubt() {
        confirmedNanos = NEVER;
    }

    boolean isFresh(long nowNanos) {
        return confirmedNanos != NEVER && nowNanos - confirmedNanos < StoresComponent.FRESH.toNanos();
    }

    /** Whether saves may go there. */
    boolean takesSaves(long nowNanos) {
        return isFresh(nowNanos) && nowNanos - epochSeenNanos > StoresComponent.NEWBORN.toNanos();
    }

    void readClock(long millis, long nowNanos) {
        clockMillis = millis;
        clockReadNanos = nowNanos;
    }

    /** The endpoints' clock now, or a little less. */
    long clockAt(long nowNanos) {
        return clockMillis + (nowNanos - clockReadNanos) / 1_000_000;
    }

    /**
     * Counts a transfer of this entry against its part of the store's link.
     *
     * @param nanos time that the transfer takes on that part
     */
    void addTransfer(long nanos, long nowNanos) {
        linkBusyUntilNanos = Math.max(linkBusyUntilNanos, nowNanos) + nanos;
    }

    /** How long a transfer that is asked for now would wait for those that this entry asked for before. */
    long linkWaitNanos(long nowNanos) {
        return Math.max(0, linkBusyUntilNanos - nowNanos);
    }

    /** Tokens of the part that lie there whole, 0 if none. */
    int tokens(String salt, String part) {
        return tokensBySalt.getOrDefault(salt, Map.of()).getOrDefault(part, 0);
    }

    /** Notes a save that was asked for, so that it isn't asked for again at once. */
    void beginSave(String salt, String part, long nowNanos) {
        savesUnderWay.put(salt + '/' + part, nowNanos);
    }

    boolean isSaving(String salt, String part, long nowNanos) {
        Long since = savesUnderWay.get(salt + '/' + part);
        return since != null && nowNanos - since < StoresComponent.SAVE_PATIENCE.toNanos();
    }

    boolean hasRoom(int tokens) {
        return heldTokens + tokens < store.capacityTokens() * StoresComponent.FILL_LIMIT;
    }
}
