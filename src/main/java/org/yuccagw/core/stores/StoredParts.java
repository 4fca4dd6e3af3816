package org.yuccagw.core.stores;

import java.util.HashMap;
import java.util.Map;
import org.yuccagw.core.deployment.CacheStore;

/**
 * The parts that one holder, a store or an engine, holds according to its events.
 *
 * <p>The contents are used only while they are fresh. Guards against a store that restarted empty and is being filled
 * again: a part that was whole before may be half written now, and a fetch would read bytes that aren't there yet. An
 * entry stops using the contents {@link StoresComponent#MAX_CONFIRMATION_AGE} after it sent the last call that the
 * store answered. No entry saves to a store whose restart it observed less than {@link
 * StoresComponent#SAVE_DELAY_AFTER_RESTART} ago; after that time all entries have noticed the restart.
 */
final class StoredParts {
    private static final long NOT_CONFIRMED = Long.MIN_VALUE;

    private final CacheStore store;
    private final Map<String, Map<String, Integer>> tokensBySalt = new HashMap<>();
    private final Map<String, Long> pendingSaves = new HashMap<>();
    private long epoch;
    private boolean isEpochKnown;
    private long epochObservedNanos;
    private long nextEvent;
    private long confirmedNanos = NOT_CONFIRMED;
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

    long nextEvent() {
        return nextEvent;
    }

    /** Records the epoch of an answer; returns whether the store has restarted since the previous answer. */
    boolean updateEpoch(long answeredEpoch, long nowNanos) {
        boolean restarted = isEpochKnown && answeredEpoch != epoch;
        if (!isEpochKnown || restarted) {
            epoch = answeredEpoch;
            isEpochKnown = true;
            epochObservedNanos = nowNanos;
            clear();
        }
        return restarted;
    }

    void clear() {
        tokensBySalt.clear();
        pendingSaves.clear();
        heldTokens = 0;
        nextEvent = 0;
    }

    void setNextEvent(long eventNumber) {
        nextEvent = eventNumber;
    }

    void apply(StoreAnswer.Change change) {
        Map<String, Integer> parts = tokensBySalt.computeIfAbsent(change.salt(), salt -> new HashMap<>());
        Integer before = change.held() ? parts.put(change.part(), change.tokens()) : parts.remove(change.part());
        heldTokens += (change.held() ? change.tokens() : 0) - (before == null ? 0 : before);
        pendingSaves.remove(change.salt() + '/' + change.part());
    }

    /** Records that the store answered a call that was sent at {@code sentNanos}. */
    void markConfirmed(long sentNanos) {
        confirmedNanos = sentNanos;
    }

    void markUnconfirmed() {
        confirmedNanos = NOT_CONFIRMED;
    }

    boolean isFresh(long nowNanos) {
        return confirmedNanos != NOT_CONFIRMED
                && nowNanos - confirmedNanos < StoresComponent.MAX_CONFIRMATION_AGE.toNanos();
    }

    /** Returns whether parts may be saved to the store. */
    boolean acceptsSaves(long nowNanos) {
        return isFresh(nowNanos) && nowNanos - epochObservedNanos > StoresComponent.SAVE_DELAY_AFTER_RESTART.toNanos();
    }

    void updateClock(long millis, long nowNanos) {
        clockMillis = millis;
        clockReadNanos = nowNanos;
    }

    /**
     * Returns the endpoints' clock in milliseconds, or a little less, since the answer that reported it took time to
     * arrive.
     */
    long clockMillisAt(long nowNanos) {
        return clockMillis + (nowNanos - clockReadNanos) / 1_000_000;
    }

    /**
     * Reserves this entry's share of the store's link for a transfer.
     *
     * @param nanos duration of the transfer on that share
     */
    void reserveLink(long nanos, long nowNanos) {
        linkBusyUntilNanos = Math.max(linkBusyUntilNanos, nowNanos) + nanos;
    }

    /** Returns how long a transfer requested now would wait for the transfers that this entry requested before. */
    long linkWaitNanos(long nowNanos) {
        return Math.max(0, linkBusyUntilNanos - nowNanos);
    }

    /** Returns the number of the part's tokens that the store holds, 0 if none. */
    int tokens(String salt, String part) {
        return tokensBySalt.getOrDefault(salt, Map.of()).getOrDefault(part, 0);
    }

    /** Records a requested save, so that it isn't requested again at once. */
    void beginSave(String salt, String part, long nowNanos) {
        pendingSaves.put(salt + '/' + part, nowNanos);
    }

    boolean isSaving(String salt, String part, long nowNanos) {
        Long since = pendingSaves.get(salt + '/' + part);
        return since != null && nowNanos - since < StoresComponent.SAVE_TIMEOUT.toNanos();
    }

    boolean hasFreeCapacity(int tokens) {
        return heldTokens + tokens < store.capacityTokens() * StoresComponent.MAX_FILL_RATIO;
    }
}
