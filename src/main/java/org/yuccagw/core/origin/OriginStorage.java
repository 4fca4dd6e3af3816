package org.yuccagw.core.origin;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.fleet.StoredOrigin;
import org.yuccagw.core.follow.KeyValueRecord.OriginsStored;
import org.yuccagw.core.follow.KeyValueRecordCodec;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueCall;

/**
 * Stores the origins of this entry's streams in the key-value service, from which entries read them when they start: if
 * all entries end at once, no entry remembers any. Origins are written only while a service has several software
 * versions; otherwise there is nothing to tell apart.
 *
 * <p>Bounds: all entries together write {@link #INTERVAL_PER_WRITER} apart on average. An entry has {@link #SLOTS} keys
 * of some hundred origins each; the oldest ones are overwritten. A key is removed once its streams have ended. A stream
 * that begins within one interval before its entry ends may be lost.
 */
final class OriginStorage {
    static final int SLOTS = 32;

    private static final Duration MIN_INTERVAL = Duration.ofMillis(500);

    /** Twenty writes a second by all entries together. */
    private static final Duration INTERVAL_PER_WRITER = Duration.ofMillis(50);

    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
    private static final Duration REMOVAL_DELAY = OriginRecords.MAX_RETENTION.plusSeconds(5);
    private static final Duration REMOVAL_CHECK_INTERVAL = Duration.ofSeconds(5);
    private static final int MAX_WAITING = 20_000;

    private final KeyValueRecordCodec codec;
    private final Predicate<ServiceName> hasSeveralVersions;
    private final IntSupplier writers;
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private final List<StoredSlot> slots =
            IntStream.range(0, SLOTS).mapToObj(StoredSlot::new).toList();
    private ControlContext context;
    private Optional<StoredSlot> current = Optional.empty();
    private boolean unwritten;
    private boolean calling;
    private boolean writeScheduled;
    private boolean removalScheduled;

    /** An origin that isn't stored yet, and until when it is needed. */
    private record Waiting(StoredOrigin origin, long untilNanos) {}

    /**
     * Creates the storage of one entry.
     *
     * @param hasSeveralVersions whether endpoints of a service have run several software versions lately
     * @param writers returns the number of entries that store origins
     */
    OriginStorage(KeyValueRecordCodec codec, Predicate<ServiceName> hasSeveralVersions, IntSupplier writers) {
        this.codec = codec;
        this.hasSeveralVersions = hasSeveralVersions;
        this.writers = writers;
    }

    void start(ControlContext startContext) {
        context = startContext;
    }

    /** Stores an origin, at once or when its service gets a second version while the stream runs. */
    void add(StreamOrigin origin, Duration retention) {
        if (waiting.size() >= MAX_WAITING) {
            waiting.removeFirst();
        }
        StoredOrigin stored =
                new StoredOrigin(LoadedOrigins.hashOf(origin.request()), origin.service(), origin.software());
        Duration bounded = Comparators.min(retention, OriginRecords.MAX_RETENTION);
        waiting.addLast(new Waiting(stored, context.nowNanos() + bounded.toNanos()));
        if (hasSeveralVersions.test(origin.service())) {
            scheduleWrite(untilNextWrite());
        }
    }

    /** Stores the origins that wait for it, after the versions of a service have changed. */
    void onVersionsChanged() {
        if (!waiting.isEmpty()) {
            scheduleWrite(untilNextWrite());
        }
    }

    /** Records a key that an earlier process of this entry wrote, so that it is removed when its streams have ended. */
    void recordEarlier(int number, long revision) {
        if (number >= 0 && number < SLOTS) {
            slots.get(number).recordWritten(revision, context.nowNanos());
            scheduleRemoval();
        }
    }

    /**
     * Returns the time until the next multiple of the interval between two writes, by the clock. Entries whose clocks
     * agree write together, so that the watches of all entries end once for all of them.
     */
    private Duration untilNextWrite() {
        long intervalMillis = Comparators.max(MIN_INTERVAL, INTERVAL_PER_WRITER.multipliedBy(writers.getAsInt()))
                .toMillis();
        return Duration.ofMillis(intervalMillis - Math.floorMod(context.wallMillis(), intervalMillis));
    }

    private void scheduleWrite(Duration delay) {
        if (!writeScheduled) {
            writeScheduled = true;
            context.after(delay, this::writeNext);
        }
    }

    private void writeNext() {
        writeScheduled = false;
        if (calling) {
            scheduleWrite(untilNextWrite());
            return;
        }
        moveWaitingToSlot();
        if (unwritten) {
            write(current.orElseThrow());
        }
    }

    private void moveWaitingToSlot() {
        Iterator<Waiting> each = waiting.iterator();
        while (each.hasNext()) {
            Waiting next = each.next();
            if (context.nowNanos() - next.untilNanos() > 0) {
                each.remove();
            } else if (hasSeveralVersions.test(next.origin().service())) {
                if (current.isEmpty() || (current.get().isFull() && !unwritten)) {
                    current = Optional.of(freeSlot());
                }
                if (current.get().isFull()) {
                    return;
                }
                each.remove();
                current.get().add(next.origin());
                unwritten = true;
            }
        }
    }

    private StoredSlot freeSlot() {
        StoredSlot chosen = slots.stream()
                .filter(StoredSlot::isAbsent)
                .findFirst()
                .orElseGet(() -> slots.stream()
                        .min(Comparator.comparingLong(StoredSlot::writtenNanos))
                        .orElseThrow());
        chosen.clear();
        return chosen;
    }

    private void write(StoredSlot slot) {
        calling = true;
        KeyValueRecordCodec.Entry entry =
                codec.encode(new OriginsStored(context.self().entry(), slot.number(), slot.origins()));
        context.call(
                new KeyValueCall.CompareAndSwap(entry.key(), slot.revision(), entry.value(), Optional.empty()),
                answer -> onWriteAnswered(slot, answer));
    }

    private void onWriteAnswered(StoredSlot slot, KeyValueAnswer answer) {
        calling = false;
        if (answer instanceof KeyValueAnswer.Written written) {
            unwritten = false;
            slot.recordWritten(written.revision(), context.nowNanos());
            scheduleRemoval();
            if (waiting.stream()
                    .anyMatch(each -> hasSeveralVersions.test(each.origin().service()))) {
                scheduleWrite(untilNextWrite());
            }
        } else if (answer instanceof KeyValueAnswer.Conflict conflict) {
            moveToOtherSlot(slot, conflict.currentRevision());
            scheduleWrite(untilNextWrite());
        } else {
            scheduleWrite(RETRY_DELAY);
        }
    }

    /**
     * Writes the origins of a slot to another one: the key holds what an earlier process wrote, or what a restored
     * key-value service has kept of it.
     */
    private void moveToOtherSlot(StoredSlot slot, long foundRevision) {
        slot.recordWritten(foundRevision, context.nowNanos());
        List<StoredOrigin> moved = slot.origins();
        slot.clear();
        if (foundRevision == KeyValueCall.ABSENT) {
            moved.forEach(slot::add);
            return;
        }
        StoredSlot other = freeSlot();
        moved.forEach(other::add);
        current = Optional.of(other);
    }

    private void scheduleRemoval() {
        if (!removalScheduled) {
            removalScheduled = true;
            context.after(REMOVAL_CHECK_INTERVAL, this::removeNext);
        }
    }

    /** Removes one key whose streams have ended, if there is any, and checks again while any key is left. */
    private void removeNext() {
        removalScheduled = false;
        if (slots.stream().allMatch(StoredSlot::isAbsent)) {
            return;
        }
        scheduleRemoval();
        if (!calling && !unwritten) {
            slots.stream().filter(this::isOutdated).findFirst().ifPresent(this::remove);
        }
    }

    private boolean isOutdated(StoredSlot slot) {
        return !slot.isAbsent() && context.nowNanos() - slot.writtenNanos() > REMOVAL_DELAY.toNanos();
    }

    private void remove(StoredSlot slot) {
        calling = true;
        slot.clear();
        String key = codec.encode(new OriginsStored(context.self().entry(), slot.number(), slot.origins()))
                .key();
        context.call(new KeyValueCall.Delete(key, slot.revision()), answer -> {
            calling = false;
            if (answer instanceof KeyValueAnswer.Written) {
                slot.recordWritten(KeyValueCall.ABSENT, context.nowNanos());
            } else if (answer instanceof KeyValueAnswer.Conflict conflict) {
                slot.recordWritten(conflict.currentRevision(), context.nowNanos());
            }
        });
    }
}
