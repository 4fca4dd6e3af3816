package org.yuccagw.core.catalogue;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.membership.Rendezvous;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueAnswer.Item;
import org.yuccagw.core.port.KeyValueCall;

/**
 * Follows the catalogue in the key-value service.
 *
 * <p>The catalogue is watched only by the {@link #MAX_WATCHERS} entries with the highest rendezvous hashes, and by an
 * entry without known peers, so that the number of concurrent watches doesn't grow with the number of entries. All
 * other entries poll the key at an interval proportional to the number of entries, so that the rate of these reads
 * doesn't grow either.
 *
 * <p>A watch may hang or miss a change. It therefore has a timeout here, in addition to that of the client, and each
 * watch is followed by a read of the key, never directly by another watch.
 *
 * <p>Reads, watches and waits form a sequence of rounds. A timer or an answer of an earlier round starts no new round,
 * but a catalogue in a late answer is still used.
 */
final class CatalogueFollower {
    static final int MAX_WATCHERS = 5;

    private static final Duration WATCH_WAIT = Duration.ofSeconds(20);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(25);
    private static final Duration POLL_INTERVAL = Duration.ofSeconds(20);
    private static final int ENTRIES_PER_POLL_INTERVAL = 16;
    private static final Duration ROLE_SELECTION_DELAY = Duration.ofMillis(100);
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(500);
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(5);

    private final ControlContext context;
    private final CatalogueListener catalogueListener;
    private final Consumer<Boolean> serviceListener;
    private List<EntryId> entries;
    private boolean watching = true;
    private boolean roleSelectionPending;
    private Duration retryDelay = MIN_RETRY_DELAY;
    private long round;

    /** Receives what the service holds. */
    @FunctionalInterface
    interface CatalogueListener {
        /**
         * Called with each stored catalogue that is read, or with an empty one if there is none.
         *
         * @param keyRevision the revision of its key
         */
        void onStored(StoredCatalogue stored, long keyRevision);
    }

    /**
     * Creates a follower, which starts with {@link #start}.
     *
     * @param serviceListener called for each successful read and for each unreadable value; the argument is whether the
     *     service has a readable catalogue
     */
    CatalogueFollower(ControlContext context, CatalogueListener catalogueListener, Consumer<Boolean> serviceListener) {
        this.context = context;
        this.catalogueListener = catalogueListener;
        this.serviceListener = serviceListener;
        this.entries = List.of(context.self().entry());
    }

    void start() {
        read();
    }

    void updateMembers(List<EntryId> others) {
        List<EntryId> all = new ArrayList<>(others);
        all.add(context.self().entry());
        entries = all;
        if (!roleSelectionPending) {
            roleSelectionPending = true;
            context.after(ROLE_SELECTION_DELAY, this::selectRole);
        }
    }

    /** Selects the role of this entry. Membership changes come in bursts, so one delayed selection covers a burst. */
    private void selectRole() {
        roleSelectionPending = false;
        boolean wasWatching = watching;
        watching = Rendezvous.isAmongTop(context.self().entry(), CatalogueKeys.CURRENT, entries, MAX_WATCHERS);
        if (watching && !wasWatching) {
            read();
        }
    }

    /** Starts a new round with a read of the key. */
    private void read() {
        long thisRound = ++round;
        context.after(CALL_TIMEOUT, () -> {
            if (round == thisRound) {
                read();
            }
        });
        context.call(new KeyValueCall.Read(CatalogueKeys.CURRENT), answer -> {
            boolean succeeded = handleRead(answer);
            if (round != thisRound) {
                return;
            }
            if (succeeded) {
                retryDelay = MIN_RETRY_DELAY;
                watchOrPoll(((KeyValueAnswer.Found) answer).revision());
            } else {
                scheduleRetry();
            }
        });
    }

    private void watchOrPoll(long serviceRevision) {
        if (watching) {
            watch(serviceRevision);
            return;
        }
        long thisRound = ++round;
        int intervalCount = 1 + entries.size() / ENTRIES_PER_POLL_INTERVAL;
        double jitter = 0.5 + context.random().nextDouble();
        Duration wait = Duration.ofNanos((long) (POLL_INTERVAL.toNanos() * intervalCount * jitter));
        context.after(wait, () -> {
            if (round == thisRound) {
                read();
            }
        });
    }

    private void watch(long afterRevision) {
        long thisRound = ++round;
        context.after(CALL_TIMEOUT, () -> {
            if (round == thisRound) {
                read();
            }
        });
        context.call(new KeyValueCall.Watch(CatalogueKeys.CURRENT, afterRevision, WATCH_WAIT), answer -> {
            boolean succeeded = handleWatch(answer);
            if (round != thisRound) {
                return;
            }
            if (succeeded) {
                read();
            } else {
                scheduleRetry();
            }
        });
    }

    private boolean handleRead(KeyValueAnswer answer) {
        if (!(answer instanceof KeyValueAnswer.Found found)) {
            return false;
        }
        serviceListener.accept(!found.items().isEmpty());
        if (found.items().isEmpty()) {
            catalogueListener.onStored(StoredCatalogue.empty(), KeyValueCall.ABSENT);
        }
        found.items().forEach(this::handleItem);
        return true;
    }

    private boolean handleWatch(KeyValueAnswer answer) {
        if (!(answer instanceof KeyValueAnswer.Found found)) {
            return false;
        }
        found.items().stream()
                .filter(item -> item.key().equals(CatalogueKeys.CURRENT) && !item.deleted())
                .forEach(this::handleItem);
        return true;
    }

    private void handleItem(Item item) {
        try {
            catalogueListener.onStored(StoredCatalogue.decode(item.value()), item.revision());
        } catch (YuccagwException e) {
            // The value is foreign or damaged. The catalogue in force stays, and the next round reads the key again.
            serviceListener.accept(false);
        }
    }

    private void scheduleRetry() {
        long thisRound = ++round;
        double jitter = 0.5 + context.random().nextDouble();
        context.after(Duration.ofNanos((long) (retryDelay.toNanos() * jitter)), () -> {
            if (round == thisRound) {
                read();
            }
        });
        Duration doubled = retryDelay.multipliedBy(2);
        retryDelay = Comparators.min(doubled, MAX_RETRY_DELAY);
    }
}
