package org.yuccagw.core.stores;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.deployment.CacheStore;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.StoreId;

/**
 * Follows the events of a set of holders of cache parts, which are stores or engines. Each holder is polled with one
 * waiting call after the other.
 *
 * <p>A holder that accepts no calls at present is treated as a holder whose events aren't followed: its contents aren't
 * used.
 *
 * <p>Events may be lost. The owner of this object decides what happens then: a store is queried for its full list. An
 * engine isn't, since a list stalls its work; it counts as holding nothing until new events report parts.
 */
final class CacheHolderEvents {
    private static final Duration POLL_WAIT = Duration.ofMillis(900);
    private static final Duration DELAY_AFTER_CHANGES = Duration.ofMillis(150);
    private static final Duration DELAY_AFTER_FAILURE = Duration.ofMillis(300);

    /** Poll slots of a holder that stay free for entries other than the chosen followers. */
    private static final int RESERVED_WATCHERS = 2;

    /**
     * Short, because an entry that becomes a lead needs the contents of the engines soon. The check itself makes no
     * call.
     */
    private static final Duration UNFOLLOWED_CHECK_INTERVAL = Duration.ofMillis(500);

    private final Supplier<List<EntryId>> entries;
    private final Consumer<StoredParts> onEventsLost;
    private final CallPolicy callPolicy;
    private final Map<StoreId, StoredParts> holders = new LinkedHashMap<>();
    private final Map<StoreId, Long> sentNanos = new LinkedHashMap<>();
    private final Map<StoreId, Long> backOffUntilNanos = new HashMap<>();
    private List<StoredParts> unfollowed = new ArrayList<>();
    private ControlContext context;

    private CacheHolderEvents(
            Supplier<List<EntryId>> entries, Consumer<StoredParts> onEventsLost, CallPolicy callPolicy) {
        this.entries = entries;
        this.onEventsLost = onEventsLost;
        this.callPolicy = callPolicy;
    }

    /**
     * Creates the event polling of one entry.
     *
     * @param entries the entries that follow the same holders; an entry that isn't among them follows none
     * @param onEventsLost called when events of a holder were lost
     * @param callPolicy decides which holders may be called
     */
    static CacheHolderEvents of(
            Supplier<List<EntryId>> entries, Consumer<StoredParts> onEventsLost, CallPolicy callPolicy) {
        return new CacheHolderEvents(entries, onEventsLost, callPolicy);
    }

    void start(ControlContext startContext) {
        context = startContext;
        context.after(UNFOLLOWED_CHECK_INTERVAL, this::pollUnfollowed);
    }

    /** Decides whether a holder may be called, and records the calls. */
    interface CallPolicy {
        /** Allows every call. */
        CallPolicy UNLIMITED = new CallPolicy() {
            @Override
            public boolean allowsCall(CacheStore holder) {
                return true;
            }

            @Override
            public void recordCall(CacheStore holder) {}
        };

        /** Returns whether the holder may be called now. */
        boolean allowsCall(CacheStore holder);

        /** Records a call that is made now. */
        void recordCall(CacheStore holder);
    }

    /**
     * Polls the holders that this entry doesn't follow at present, all on one timer: with many entries each follows few
     * holders, and every timer wakes a thread.
     */
    private void pollUnfollowed() {
        context.after(UNFOLLOWED_CHECK_INTERVAL, this::pollUnfollowed);
        List<StoredParts> candidates = unfollowed;
        unfollowed = new ArrayList<>();
        candidates.forEach(this::poll);
    }

    void handle(ControlEvent event) {
        if (event instanceof StoreAnswer.Changes changes) {
            onChanges(changes);
        } else if (event instanceof StoreAnswer.Listed listed) {
            onListed(listed);
        } else if (event instanceof StoreAnswer.Notice noticed) {
            noticed.notice().backOff().ifPresent(duration -> backOff(noticed.store(), duration));
        } else if (event instanceof StoreAnswer.Unanswered silent) {
            onSilent(silent);
        }
    }

    Collection<StoredParts> holders() {
        return holders.values();
    }

    Optional<StoredParts> find(StoreId id) {
        return Optional.ofNullable(holders.get(id));
    }

    ImmutableList<CacheStore> configuredStores() {
        return holders.values().stream().map(StoredParts::store).collect(ImmutableList.toImmutableList());
    }

    /** Follows exactly these holders from now on. The state of a holder that was removed or changed is dropped. */
    void setHolders(List<CacheStore> followed) {
        Map<StoreId, CacheStore> byId =
                followed.stream().collect(Collectors.toMap(CacheStore::id, store -> store, (one, other) -> one));
        holders.values()
                .removeIf(
                        stored -> !stored.store().equals(byId.get(stored.store().id())));
        for (CacheStore store : followed) {
            if (!holders.containsKey(store.id())) {
                StoredParts stored = new StoredParts(store);
                holders.put(store.id(), stored);
                poll(stored);
            }
        }
    }

    private void poll(StoredParts stored) {
        CacheStore store = stored.store();
        if (holders.get(store.id()) != stored) {
            return;
        }
        if (!isFollower(store) || !callPolicy.allowsCall(store) || isBackingOff(store.id())) {
            stored.markUnconfirmed();
            unfollowed.add(stored);
            return;
        }
        sentNanos.put(store.id(), context.nowNanos());
        callPolicy.recordCall(store);
        context.perform(new StoreCall.PollChanges(store, stored.nextEvent(), POLL_WAIT));
    }

    private void backOff(StoreId holder, Duration duration) {
        backOffUntilNanos.merge(
                holder,
                context.nowNanos() + duration.toNanos(),
                (current, until) -> until - current > 0 ? until : current);
    }

    /** Returns whether the holder requested a back-off that hasn't ended yet. */
    private boolean isBackingOff(StoreId holder) {
        Long until = backOffUntilNanos.get(holder);
        boolean over = until == null || context.nowNanos() - until >= 0;
        if (over) {
            backOffUntilNanos.remove(holder);
        }
        return !over;
    }

    /**
     * Returns whether this entry may follow the holder. A holder accepts a fixed number of waiting calls and rejects
     * further ones, which would cost each of many entries a failed call several times a second. So the first entries in
     * an order that differs between holders follow it; the others don't use its contents.
     */
    private boolean isFollower(CacheStore store) {
        List<EntryId> all = entries.get();
        if (!all.contains(context.self().entry())) {
            return false;
        }
        int maxFollowers = Math.max(1, store.maxWatchers() - RESERVED_WATCHERS);
        if (all.size() <= maxFollowers) {
            return true;
        }
        int own = followerRank(store, context.self().entry());
        return all.stream().filter(entry -> followerRank(store, entry) < own).count() < maxFollowers;
    }

    private static int followerRank(CacheStore store, EntryId entry) {
        return Hashing.murmur3_32_fixed()
                .hashString(store.id().value() + ' ' + entry.value(), StandardCharsets.UTF_8)
                .asInt();
    }

    private void onChanges(StoreAnswer.Changes changes) {
        StoredParts stored = holders.get(changes.store());
        if (stored == null) {
            return;
        }
        if (stored.updateEpoch(changes.epoch(), context.nowNanos())) {
            context.perform(Decision.of("store-restarted").with("store", changes.store()));
            poll(stored);
            return;
        }
        stored.updateClock(changes.clockMillis(), context.nowNanos());
        if (changes.eventsLost()) {
            context.perform(Decision.of("store-events-lost").with("store", changes.store()));
            stored.setNextEvent(changes.next());
            onEventsLost.accept(stored);
            return;
        }
        changes.changes().forEach(stored::apply);
        stored.setNextEvent(changes.next());
        stored.markConfirmed(sentNanos.get(changes.store()));
        pollAfter(stored, changes.changes().isEmpty() ? Duration.ZERO : DELAY_AFTER_CHANGES);
    }

    private void onListed(StoreAnswer.Listed listed) {
        StoredParts stored = holders.get(listed.store());
        if (stored == null) {
            return;
        }
        stored.updateEpoch(listed.epoch(), context.nowNanos());
        stored.clear();
        listed.held().forEach(stored::apply);
        stored.setNextEvent(listed.next());
        stored.markConfirmed(sentNanos.get(listed.store()));
        pollAfter(stored, Duration.ZERO);
    }

    /** Stops the use of the holder's contents until it answers again: a broken call is the first sign of a crash. */
    private void onSilent(StoreAnswer.Unanswered silent) {
        StoredParts stored = holders.get(silent.store());
        if (stored == null) {
            return;
        }
        if (stored.isFresh(context.nowNanos())) {
            context.perform(Decision.of("dependency-lost")
                    .with("dependency", "store " + silent.store())
                    .with("reason", silent.reason()));
        }
        stored.markUnconfirmed();
        pollAfter(stored, DELAY_AFTER_FAILURE);
    }

    /** Continues after lost events with empty contents, without querying the full list. */
    void resumeWithEmptyState(StoredParts stored) {
        long next = stored.nextEvent();
        stored.clear();
        stored.setNextEvent(next);
        stored.markConfirmed(sentNanos.get(stored.store().id()));
        pollAfter(stored, DELAY_AFTER_CHANGES);
    }

    private void pollAfter(StoredParts stored, Duration delay) {
        context.after(delay, () -> poll(stored));
    }
}
