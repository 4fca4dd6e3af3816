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
 * Follows the events of some holders of cache parts, which are stores or engines: one waiting call after the other for
 * each of them.
 *
 * <p>A holder that takes no calls at present counts as one whose events nobody follows.
 *
 * <p>Events may be lost. What happens then is given by who follows: a store is asked for its list; an engine isn't,
 * since a list stalls its work, and counts as holding nothing until it tells of something again.
 */
final class CacheHolderEvents {
    private static final Duration WAIT = Duration.ofMillis(900);
    private static final Duration AFTER_CHANGES = Duration.ofMillis(150);
    private static final Duration AFTER_SILENCE = Duration.ofMillis(300);

    /** Calls for events that a holder takes from others than the first entries in its order. */
    private static final int SPARE_WATCHERS = 2;

    /** A lead that takes over must know soon what engines hold; a look costs no call. */
    private static final Duration LOOK_AT_TURN = Duration.ofMillis(500);

    private final Supplier<List<EntryId>> entries;
    private final Consumer<StoredParts> afterGap;
    private final Calls calls;
    private final Map<StoreId, StoredParts> holders = new LinkedHashMap<>();
    private final Map<StoreId, Long> sentNanos = new LinkedHashMap<>();
    private final Map<StoreId, Long> backOffUntilNanos = new HashMap<>();
    private List<StoredParts> leftToOthers = new ArrayList<>();
    private ControlContext context;

    private CacheHolderEvents(Supplier<List<EntryId>> entries, Consumer<StoredParts> afterGap, Calls calls) {
        this.entries = entries;
        this.afterGap = afterGap;
        this.calls = calls;
    }

    /**
     * The following by one entry.
     *
     * @param entries those that follow the same holders; one that isn't among them knows nothing of these
     * @param afterGap called when events of a holder were lost
     * @param calls which holders take calls
     */
    static CacheHolderEvents of(Supplier<List<EntryId>> entries, Consumer<StoredParts> afterGap, Calls calls) {
        return new CacheHolderEvents(entries, afterGap, calls);
    }

    void start(ControlContext startContext) {
        context = startContext;
        context.after(LOOK_AT_TURN, this::lookAtTurns);
    }

    /** Calls to holders, as far as these bear them. */
    interface Calls {
        /** Holders that take every call. */
        Calls UNLIMITED = new Calls() {
            @Override
            public boolean may(CacheStore holder) {
                return true;
            }

            @Override
            public void made(CacheStore holder) {}
        };

        /** Whether the holder may be called now. */
        boolean may(CacheStore holder);

        /** It is called now. */
        void made(CacheStore holder);
    }

    /** One timer for all that others follow: of many entries few follow anything, and each timer wakes a thread. */
    private void lookAtTurns() {
        context.after(LOOK_AT_TURN, this::lookAtTurns);
        List<StoredParts> looked = leftToOthers;
        leftToOthers = new ArrayList<>();
        looked.forEach(this::ask);
    }

    void handle(ControlEvent event) {
        if (event instanceof StoreAnswer.Changes changes) {
            onChanges(changes);
        } else if (event instanceof StoreAnswer.Listed listed) {
            onListed(listed);
        } else if (event instanceof StoreAnswer.Noticed noticed) {
            noticed.notice().backOff().ifPresent(time -> backOff(noticed.store(), time));
        } else if (event instanceof StoreAnswer.Silent silent) {
            onSilent(silent);
        }
    }

    Collection<StoredParts> all() {
        return holders.values();
    }

    Optional<StoredParts> of(StoreId id) {
        return Optional.ofNullable(holders.get(id));
    }

    ImmutableList<CacheStore> configured() {
        return holders.values().stream().map(StoredParts::store).collect(ImmutableList.toImmutableList());
    }

    /** Follows these from now on, and no others; what is known of a holder that changed is dropped. */
    void adopt(List<CacheStore> wanted) {
        Map<StoreId, CacheStore> byId =
                wanted.stream().collect(Collectors.toMap(CacheStore::id, store -> store, (one, other) -> one));
        holders.values()
                .removeIf(
                        stored -> !stored.store().equals(byId.get(stored.store().id())));
        for (CacheStore store : wanted) {
            if (!holders.containsKey(store.id())) {
                StoredParts stored = new StoredParts(store);
                holders.put(store.id(), stored);
                ask(stored);
            }
        }
    }

    private void ask(StoredParts stored) {
        CacheStore store = stored.store();
        if (holders.get(store.id()) != stored) {
            return;
        }
        if (!isFollower(store) || !calls.may(store) || backsOff(store.id())) {
            stored.doubt();
            leftToOthers.add(stored);
            return;
        }
        sentNanos.put(store.id(), context.nowNanos());
        calls.made(store);
        context.perform(new StoreCall.AskChanges(store, stored.next(), WAIT));
    }

    private void backOff(StoreId holder, Duration time) {
        backOffUntilNanos.merge(
                holder, context.nowNanos() + time.toNanos(), (known, until) -> until - known > 0 ? until : known);
    }

    /** Whether the holder wants no calls from this entry yet. */
    private boolean backsOff(StoreId holder) {
        Long until = backOffUntilNanos.get(holder);
        boolean over = until == null || context.nowNanos() - until >= 0;
        if (over) {
            backOffUntilNanos.remove(holder);
        }
        return !over;
    }

    /**
     * Whether this entry may follow the holder, which takes a fixed number of calls and turns further ones away: that
     * would cost each of many entries a call in vain several times a second. So the first entries in an order that
     * differs from holder to holder follow it; the others know nothing of it.
     */
    private boolean isFollower(CacheStore store) {
        List<EntryId> all = entries.get();
        if (!all.contains(context.self().entry())) {
            return false;
        }
        int most = Math.max(1, store.mostWatchers() - SPARE_WATCHERS);
        if (all.size() <= most) {
            return true;
        }
        int own = order(store, context.self().entry());
        return all.stream().filter(entry -> order(store, entry) < own).count() < most;
    }

    private static int order(CacheStore store, EntryId entry) {
        return Hashing.murmur3_32_fixed()
                .hashString(store.id().value() + ' ' + entry.value(), StandardCharsets.UTF_8)
                .asInt();
    }

    private void onChanges(StoreAnswer.Changes changes) {
        StoredParts stored = holders.get(changes.store());
        if (stored == null) {
            return;
        }
        if (stored.meet(changes.epoch(), context.nowNanos())) {
            context.perform(Decision.of("store-restarted").with("store", changes.store()));
            ask(stored);
            return;
        }
        stored.readClock(changes.clockMillis(), context.nowNanos());
        if (changes.gap()) {
            context.perform(Decision.of("store-events-lost").with("store", changes.store()));
            stored.reach(changes.next());
            afterGap.accept(stored);
            return;
        }
        changes.changes().forEach(stored::take);
        stored.reach(changes.next());
        stored.confirm(sentNanos.get(changes.store()));
        askAgain(stored, changes.changes().isEmpty() ? Duration.ZERO : AFTER_CHANGES);
    }

    private void onListed(StoreAnswer.Listed listed) {
        StoredParts stored = holders.get(listed.store());
        if (stored == null) {
            return;
        }
        stored.meet(listed.epoch(), context.nowNanos());
        stored.clear();
        listed.held().forEach(stored::take);
        stored.reach(listed.next());
        stored.confirm(sentNanos.get(listed.store()));
        askAgain(stored, Duration.ZERO);
    }

    /** A broken call is the first sign of a crash: nothing is believed of the holder until it answers again. */
    private void onSilent(StoreAnswer.Silent silent) {
        StoredParts stored = holders.get(silent.store());
        if (stored == null) {
            return;
        }
        if (stored.isFresh(context.nowNanos())) {
            context.perform(Decision.of("dependency-lost")
                    .with("dependency", "store " + silent.store())
                    .with("reason", silent.reason()));
        }
        stored.doubt();
        askAgain(stored, AFTER_SILENCE);
    }

    /** Goes on after a gap without knowing what the holder held before. */
    void goOnKnowingNothing(StoredParts stored) {
        long next = stored.next();
        stored.clear();
        stored.reach(next);
        stored.confirm(sentNanos.get(stored.store().id()));
        askAgain(stored, AFTER_CHANGES);
    }

    private void askAgain(StoredParts stored, Duration wait) {
        context.after(wait, () -> ask(stored));
    }
}
