package org.yuccagw.core.control;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueAnswer.Item;
import org.yuccagw.core.port.KeyValueCall;
import org.yuccagw.core.port.KeyValueCall.LeaseHandle;
import org.yuccagw.core.port.KeyValueRevision;

/**
 * Relates the calls of one entry to the eras of the key-value service, so that no number of one era is used in another.
 *
 * <ul>
 *   <li>A watch from a revision of an earlier era is answered with {@code HistoryGone}, since the service would report
 *       the changes after the same number of its present era.
 *   <li>A condition on a revision of an earlier era never holds: the key is read instead.
 *   <li>A lease of an earlier era has lapsed. Its number may belong to another entry now, so it is neither renewed nor
 *       revoked.
 *   <li>An answer of an earlier era that arrives late counts as lost.
 *   <li>After a call without an answer, the service may have been restored meanwhile. The next call with a condition,
 *       or the next revocation, is therefore preceded by a read, which shows the era.
 * </ul>
 */
final class KeyValueEras {
    private static final long UNKNOWN = -1;

    /** The era of a service that states none. */
    private static final long NOT_STATED = 0;

    private final Transport transport;
    private final Scheduler later;
    private final LongConsumer onRestored;
    private long era = UNKNOWN;
    /** Whether no call has remained without an answer since the era was last stated. */
    private boolean certain = true;

    /** Sends a call; the answer arrives as a later event. */
    @FunctionalInterface
    interface Transport {
        void send(KeyValueCall call, Consumer<KeyValueAnswer> answer);
    }

    /** Runs a task as a later event. */
    @FunctionalInterface
    interface Scheduler {
        void run(Runnable task);
    }

    private KeyValueEras(Transport transport, Scheduler later, LongConsumer onRestored) {
        this.transport = transport;
        this.later = later;
        this.onRestored = onRestored;
    }

    /**
     * Returns an instance that knows no era yet.
     *
     * @param onRestored called with the new era when the service has been restored
     */
    static KeyValueEras of(Transport transport, Scheduler later, LongConsumer onRestored) {
        return new KeyValueEras(transport, later, onRestored);
    }

    /** Sends a call. The answer arrives as a later event and belongs to the present era. */
    void submit(KeyValueCall call, Consumer<KeyValueAnswer> continuation) {
        if (isOfEarlierEra(call)) {
            answerWithoutSending(call, continuation);
        } else if (!certain && era > NOT_STATED && dependsOnEra(call)) {
            confirmEra(call, continuation);
        } else {
            transport.send(call, raw -> continuation.accept(evaluate(call, raw)));
        }
    }

    private void confirmEra(KeyValueCall call, Consumer<KeyValueAnswer> continuation) {
        KeyValueCall.Read read = new KeyValueCall.Read(conditionedKey(call).orElse(""));
        transport.send(read, raw -> {
            evaluate(read, raw);
            if (certain) {
                submit(call, continuation);
            } else {
                continuation.accept(new KeyValueAnswer.Refused("the era of the key-value service isn't known"));
            }
        });
    }

    private void answerWithoutSending(KeyValueCall call, Consumer<KeyValueAnswer> continuation) {
        Optional<String> key = conditionedKey(call);
        if (key.isPresent() && expectedRevision(call) != KeyValueCall.ABSENT) {
            KeyValueCall.Read read = new KeyValueCall.Read(key.get());
            transport.send(read, raw -> continuation.accept(asConflict(evaluate(read, raw))));
        } else if (call instanceof KeyValueCall.Watch) {
            later.run(() -> continuation.accept(new KeyValueAnswer.HistoryGone()));
        } else {
            later.run(() -> continuation.accept(new KeyValueAnswer.LeaseLapsed()));
        }
    }

    private static KeyValueAnswer asConflict(KeyValueAnswer read) {
        if (!(read instanceof KeyValueAnswer.Found found)) {
            return read;
        }
        List<Item> items = found.items();
        return new KeyValueAnswer.Conflict(
                items.isEmpty() ? KeyValueCall.ABSENT : items.get(0).revision());
    }

    /** Returns what an answer means for its call, given the era in which it was made. */
    private KeyValueAnswer evaluate(KeyValueCall call, KeyValueAnswer raw) {
        if (!(raw instanceof KeyValueAnswer.InEra answered)) {
            if (raw instanceof KeyValueAnswer.Lost || raw instanceof KeyValueAnswer.Refused) {
                certain = false;
            }
            return raw;
        }
        if (answered.era() < era) {
            return answered.answer() instanceof KeyValueAnswer.Refused
                    ? answered.answer()
                    : new KeyValueAnswer.Lost("the answer is of era " + answered.era() + ", before " + era);
        }
        certain = true;
        advanceTo(answered.era());
        return isOfEarlierEra(call) ? reinterpret(call, answered.answer()) : answered.answer();
    }

    private void advanceTo(long present) {
        boolean restored = era != UNKNOWN && present > era;
        era = present;
        if (restored) {
            onRestored.accept(era);
        }
    }

    /** Returns what an answer means whose call was made with numbers of an earlier era. */
    private static KeyValueAnswer reinterpret(KeyValueCall call, KeyValueAnswer answer) {
        if (call instanceof KeyValueCall.Watch && answer instanceof KeyValueAnswer.Found) {
            return new KeyValueAnswer.HistoryGone();
        }
        if (call instanceof KeyValueCall.RenewLease) {
            return new KeyValueAnswer.LeaseLapsed();
        }
        if (answer instanceof KeyValueAnswer.Written) {
            return new KeyValueAnswer.Lost("the condition held in another era");
        }
        return answer;
    }

    private boolean isOfEarlierEra(KeyValueCall call) {
        if (call instanceof KeyValueCall.Watch watch) {
            return isOfEarlierEra(watch.afterRevision());
        }
        if (call instanceof KeyValueCall.CompareAndSwap swap) {
            return isOfEarlierEra(swap.expectedRevision())
                    || swap.lease().map(this::isOfEarlierEra).orElse(false);
        }
        if (call instanceof KeyValueCall.Delete delete) {
            return isOfEarlierEra(delete.expectedRevision());
        }
        if (call instanceof KeyValueCall.RenewLease renew) {
            return isOfEarlierEra(renew.lease());
        }
        return call instanceof KeyValueCall.RevokeLease revoke && isOfEarlierEra(revoke.lease());
    }

    private boolean isOfEarlierEra(long revision) {
        return revision != KeyValueRevision.NONE && KeyValueRevision.era(revision) < era;
    }

    private boolean isOfEarlierEra(LeaseHandle lease) {
        return lease.era() < era;
    }

    private static boolean dependsOnEra(KeyValueCall call) {
        return call instanceof KeyValueCall.RevokeLease || expectedRevision(call) != KeyValueCall.ABSENT;
    }

    private static long expectedRevision(KeyValueCall call) {
        if (call instanceof KeyValueCall.CompareAndSwap swap) {
            return swap.expectedRevision();
        }
        return call instanceof KeyValueCall.Delete delete ? delete.expectedRevision() : KeyValueCall.ABSENT;
    }

    private static Optional<String> conditionedKey(KeyValueCall call) {
        if (call instanceof KeyValueCall.CompareAndSwap swap) {
            return Optional.of(swap.key());
        }
        return call instanceof KeyValueCall.Delete delete ? Optional.of(delete.key()) : Optional.empty();
    }
}
