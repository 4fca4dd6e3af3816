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
 * <p>Only the {@link #WATCHERS} entries that rendezvous hashing puts first watch it, and an entry that knows no other.
 * So the calls of a waiting watch don't grow with the number of entries. All others read the key now and then, in an
 * interval that grows with the number of entries, so that these reads don't grow either.
 *
 * <p>A watch may fall silent or miss a change. It has a timeout of its own here, whatever the client does, and each one
 * is followed by a read of the key, never by another watch alone.
 */
final class CatalogueFollower {
    static final int WATCHERS = 5;

    private static final Duration LONGEST_WATCH = Duration.ofSeconds(20);
    private static final Duration SILENCE = Duration.ofSeconds(25);
    private static final Duration READ_INTERVAL = Duration.ofSeconds(20);
    private static final int ENTRIES_PER_READ_INTERVAL = 16;
    private static final Duration CHOOSE_AFTER = Duration.ofMillis(100);
    private static final Duration SHORTEST_RETRY = Duration.ofMillis(500);
    private static final Duration LONGEST_RETRY = Duration.ofSeconds(5);

    private final ControlContext context;
    private final Consumer<StoredCatalogue> found;
    private final Consumer<Boolean> serviceAnswered;
    private List<EntryId> entries;
    private boolean watching = true;
    private boolean choosing;
    private Duration retry = SHORTEST_RETRY;
    private long round;

    /**
     * A follower that isn't started.
     *
     * @param found told of each document read
     * @param serviceAnswered told of each answer of the service: whether it has a catalogue
     */
    CatalogueFollower(ControlContext context, Consumer<StoredCatalogue> found, Consumer<Boolean> serviceAnswered) {
        this.context = context;
        this.found = found;
        this.serviceAnswered = serviceAnswered;
        this.entries = List.of(context.self().entry());
    }

    void start() {
        read();
    }

    void takeMembers(List<EntryId> others) {
        List<EntryId> all = new ArrayList<>(others);
        all.add(context.self().entry());
        entries = all;
        if (!choosing) {
            choosing = true;
            context.after(CHOOSE_AFTER, this::chooseRole);
        }
    }

    /** Changes of members come in bursts; one choice is made for all of them. */
    private void chooseRole() {
        choosing = false;
        boolean wasWatching = watching;
        watching = Rendezvous.isAmongTop(context.self().entry(), CatalogueKeys.CURRENT, entries, WATCHERS);
        if (watching && !wasWatching) {
            read();
        }
    }

    /** Begins a new round; whatever belongs to an earlier one is ignored when it comes. */
    private void read() {
        long thisRound = ++round;
        context.after(SILENCE, () -> {
            if (round == thisRound) {
                read();
            }
        });
        context.call(new KeyValueCall.Read(CatalogueKeys.CURRENT), answer -> {
            boolean answered = takeRead(answer);
            if (round != thisRound) {
                return;
            }
            if (answered) {
                retry = SHORTEST_RETRY;
                continueAfter(((KeyValueAnswer.Found) answer).revision());
            } else {
                retryLater();
            }
        });
    }

    private void continueAfter(long serviceRevision) {
        if (watching) {
            watch(serviceRevision);
            return;
        }
        long thisRound = ++round;
        int intervals = 1 + entries.size() / ENTRIES_PER_READ_INTERVAL;
        double jitter = 0.5 + context.random().nextDouble();
        Duration wait = Duration.ofNanos((long) (READ_INTERVAL.toNanos() * intervals * jitter));
        context.after(wait, () -> {
            if (round == thisRound) {
                read();
            }
        });
    }

    private void watch(long afterRevision) {
        long thisRound = ++round;
        context.after(SILENCE, () -> {
            if (round == thisRound) {
                read();
            }
        });
        context.call(new KeyValueCall.Watch(CatalogueKeys.CURRENT, afterRevision, LONGEST_WATCH), answer -> {
            boolean answered = takeWatched(answer);
            if (round != thisRound) {
                return;
            }
            if (answered) {
                read();
            } else {
                retryLater();
            }
        });
    }

    private boolean takeRead(KeyValueAnswer answer) {
        if (!(answer instanceof KeyValueAnswer.Found answered)) {
            return false;
        }
        serviceAnswered.accept(!answered.items().isEmpty());
        answered.items().forEach(this::takeItem);
        return true;
    }

    private boolean takeWatched(KeyValueAnswer answer) {
        if (!(answer instanceof KeyValueAnswer.Found answered)) {
            return false;
        }
        answered.items().stream()
                .filter(item -> item.key().equals(CatalogueKeys.CURRENT) && !item.deleted())
                .forEach(this::takeItem);
        return true;
    }

    private void takeItem(Item item) {
        try {
            found.accept(StoredCatalogue.decode(item.value()));
        } catch (YuccagwException e) {
            // A value that isn't ours or is damaged: the catalogue in force stays, and the next round reads again.
            serviceAnswered.accept(false);
        }
    }

    private void retryLater() {
        long thisRound = ++round;
        double jitter = 0.5 + context.random().nextDouble();
        context.after(Duration.ofNanos((long) (retry.toNanos() * jitter)), () -> {
            if (round == thisRound) {
                read();
            }
        });
        Duration doubled = retry.multipliedBy(2);
        retry = Comparators.min(doubled, LONGEST_RETRY);
    }
}
