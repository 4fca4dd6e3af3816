package org.yuccagw.core.duty;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.control.KeyValueRestored;
import org.yuccagw.core.follow.KeyValueFollowComponent;
import org.yuccagw.core.follow.KeyValueRecord;
import org.yuccagw.core.follow.KeyValueRecordCodec;
import org.yuccagw.core.follow.KeyValueRecordRemoved;
import org.yuccagw.core.follow.KeyValueRecordUpdated;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.lease.LeaseRenewer;
import org.yuccagw.core.lease.LeaseTimes;
import org.yuccagw.core.lease.PauseDetector;
import org.yuccagw.core.membership.StopRequested;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueCall;
import org.yuccagw.core.relay.CutOffChanged;

/**
 * Elects the entry that holds one duty: the holder owns one key, written by compare-and-swap under a lease.
 *
 * <p>While the key is absent, entries try to write it in an order given by a hash of their names, each a little after
 * the previous one, so that usually only one writes. The revision of the write is the holder's fencing number, which
 * increases over restorations of the service as well (see {@link org.yuccagw.core.port.KeyValueRevision}).
 *
 * <p>Some endpoints ignore fencing numbers. For their sake the holder stops at the end of its own lease, counted from
 * before the renewal was sent, or as soon as it notices that its process was suspended. A new holder waits {@code
 * separation} before its first order, since the previous holder may have sent an order at the last moment.
 *
 * <p>Invariant: {@link #mayAct} is true for one entry at most, up to the separation.
 */
public final class DutyComponent implements ControlComponent {
    /**
     * Short, because the lease of a failed holder, the separation and the loading of all engines must fit between the
     * naming of weights and the time when no request may begin on older ones, which is 8 s on the smallest deployments.
     */
    private static final LeaseTimes LEASE_TIMES = new LeaseTimes(
            Duration.ofMillis(1800), Duration.ofMillis(250), Duration.ofMillis(450), Duration.ofMillis(700));

    private static final Duration FIRST_ATTEMPT_DELAY = Duration.ofMillis(20);
    private static final Duration ATTEMPT_INTERVAL = Duration.ofMillis(250);
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(300);
    private static final Duration CLAIM_TIMEOUT = Duration.ofMillis(1500);

    private final String duty;
    private final KeyValueRecordCodec codec;
    private final Supplier<List<EntryId>> candidates;
    private final BooleanSupplier reachable;
    private final Duration separation;
    private final PauseDetector pauseDetector = new PauseDetector();

    private ControlContext context;
    private LeaseRenewer lease;
    private Optional<KeyValueRecord.DutyHeld> holder = Optional.empty();
    private boolean holding;
    private boolean claiming;
    private boolean stopping;
    private boolean cutOff;
    private long claimNanos;
    private long era;
    private boolean mayClaim;
    private long claimsAllowedFromNanos;
    private long fencingNumber;
    private long actionsAllowedFromNanos;
    private boolean attemptScheduled;

    private DutyComponent(
            String duty,
            KeyValueRecordCodec codec,
            Supplier<List<EntryId>> candidates,
            BooleanSupplier reachable,
            Duration separation) {
        this.reachable = reachable;
        this.duty = duty;
        this.codec = codec;
        this.candidates = candidates;
        this.separation = separation;
    }

    /**
     * Creates the component for one duty.
     *
     * @param duty the name of the duty
     * @param codec encodes the key and value in the key-value service
     * @param candidates entries that may hold it
     * @param reachable whether the key-value service answers this entry at present
     * @param separation time between the last order of one holder and the first order of the next
     */
    public static DutyComponent of(
            String duty,
            KeyValueRecordCodec codec,
            Supplier<List<EntryId>> candidates,
            BooleanSupplier reachable,
            Duration separation) {
        return new DutyComponent(duty, codec, candidates, reachable, separation);
    }

    /** Raised when this entry holds the duty and may act from now on. */
    public record DutyStarted(String duty, long fence) implements ControlEvent {}

    /** Raised when this entry no longer holds the duty. */
    public record DutyEnded(String duty) implements ControlEvent {}

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        claimsAllowedFromNanos = context.nowNanos();
        lease = LeaseRenewer.of(context, LEASE_TIMES, this::claim, () -> stepDown("lease lapsed"));
        context.after(CHECK_INTERVAL, this::check);
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof KeyValueRecordUpdated updated) {
            if (updated.record() instanceof KeyValueRecord.DutyHeld held
                    && held.duty().equals(duty)) {
                onHeld(held, updated.revision());
            }
        } else if (event instanceof KeyValueRecordRemoved removed
                && removed.subject().equals(new KeyValueRecord.Subject.DutySubject(duty))) {
            holder = Optional.empty();
            if (holding) {
                stepDown("key removed");
            }
            scheduleAttempt();
        } else if (event instanceof KeyValueFollowComponent.Started started) {
            onStarted(started.allResponded());
        } else if (event instanceof KeyValueRestored restored) {
            onRestored(restored.era());
        } else if (event instanceof CutOffChanged changed) {
            cutOff = changed.cutOff();
            if (cutOff && (holding || claiming)) {
                stepDown("cut off from the endpoints");
            }
        } else if (event instanceof StopRequested) {
            stopping = true;
            if (holding || claiming) {
                stepDown("stopping");
            }
        }
    }

    /**
     * Makes this entry wait until any holder of an earlier era has stopped: a restored service may lack the holder's
     * claim, while the holder still believes in its lease.
     */
    private void waitForEarlierHolders() {
        claimsAllowedFromNanos = context.nowNanos() + LEASE_TIMES.timeToLive().toNanos();
    }

    /** Permits claims after a start: at once if no entry is known that may not have noticed a restoration. */
    private void onStarted(boolean allResponded) {
        mayClaim = true;
        if (!allResponded) {
            waitForEarlierHolders();
        }
    }

    /** Ends this entry's claim, and makes it wait. */
    private void onRestored(long restoredEra) {
        if (restoredEra <= era) {
            return;
        }
        era = restoredEra;
        waitForEarlierHolders();
        if (holding || claiming) {
            stepDown("the key-value service was restored");
        }
    }

    /** Returns whether this entry may act for the duty at this moment. */
    public boolean mayAct() {
        if (pauseDetector.suspendedSinceLastCheck(context.nowNanos(), context.wallMillis()) && (holding || claiming)) {
            stepDown("stood still");
            return false;
        }
        return holding && lease.isHeldAt(context.nowNanos()) && context.nowNanos() - actionsAllowedFromNanos >= 0;
    }

    /** Returns the fencing number of this holder. */
    public long fencingNumber() {
        return fencingNumber;
    }

    /** Returns the monotonic time at which this entry's lease expires, for a last check just before an effect. */
    public long leaseExpiryNanos() {
        return lease.expiryNanos();
    }

    private void check() {
        context.after(CHECK_INTERVAL, this::check);
        if (pauseDetector.suspendedSinceLastCheck(context.nowNanos(), context.wallMillis()) && (holding || claiming)) {
            stepDown("stood still");
        } else if (claiming && context.nowNanos() - claimNanos > CLAIM_TIMEOUT.toNanos()) {
            stepDown("claim came to nothing");
        } else if (holder.isEmpty() && !holding && !claiming) {
            scheduleAttempt();
        }
    }

    private void scheduleAttempt() {
        if (!mayClaim || stopping || cutOff || attemptScheduled || !reachable.getAsBoolean()) {
            return;
        }
        attemptScheduled = true;
        context.after(FIRST_ATTEMPT_DELAY.plus(ATTEMPT_INTERVAL.multipliedBy(ownRank())), () -> {
            attemptScheduled = false;
            boolean stillVacant = holder.isEmpty() && !holding && !claiming && !stopping && !cutOff;
            if (stillVacant && context.nowNanos() - claimsAllowedFromNanos >= 0) {
                claiming = true;
                claimNanos = context.nowNanos();
                lease.acquire();
            }
        });
    }

    /** Returns the rank of this entry among the candidates, in an order that differs between duties. */
    private int ownRank() {
        EntryId self = context.self().entry();
        List<EntryId> ranking = candidates.get().stream()
                .sorted(Comparator.comparingInt(entry -> (duty + entry.value()).hashCode()))
                .toList();
        int rank = ranking.indexOf(self);
        return rank < 0 ? ranking.size() : rank;
    }

    private void claim() {
        Optional<KeyValueCall.LeaseHandle> handle = lease.handle();
        if (handle.isEmpty()) {
            return;
        }
        KeyValueRecord.DutyHeld own = new KeyValueRecord.DutyHeld(
                duty, context.self().entry(), context.self().incarnation());
        KeyValueRecordCodec.Entry entry = codec.encode(own);
        context.call(
                new KeyValueCall.CompareAndSwap(entry.key(), KeyValueCall.ABSENT, entry.value(), handle),
                answer -> onClaimed(own, answer));
    }

    /** Ignores a lost answer: if the write took effect, the watch reports the key a moment later. */
    private void onClaimed(KeyValueRecord.DutyHeld own, KeyValueAnswer answer) {
        if (answer instanceof KeyValueAnswer.Written written) {
            onHeld(own, written.revision());
        } else if (answer instanceof KeyValueAnswer.Conflict || answer instanceof KeyValueAnswer.Refused) {
            stepDown("another entry was first");
        }
    }

    private void onHeld(KeyValueRecord.DutyHeld held, long revision) {
        holder = Optional.of(held);
        boolean isOwn = held.holder().equals(context.self().entry())
                && held.incarnation() == context.self().incarnation();
        if (isOwn && claiming && lease.handle().isPresent()) {
            startHolding(revision);
        } else if (!isOwn && (holding || claiming)) {
            stepDown("another entry holds it");
        }
    }

    private void startHolding(long revision) {
        claiming = false;
        holding = true;
        fencingNumber = revision;
        actionsAllowedFromNanos = context.nowNanos() + separation.toNanos();
        context.perform(Decision.of("duty-held").with("duty", duty).with("fence", fencingNumber));
        context.after(separation, () -> {
            if (holding && fencingNumber == revision) {
                context.raise(new DutyStarted(duty, fencingNumber));
            }
        });
    }

    private void stepDown(String reason) {
        boolean wasHolding = holding;
        holding = false;
        claiming = false;
        lease.release();
        if (wasHolding) {
            context.perform(Decision.of("duty-ended").with("duty", duty).with("reason", reason));
            context.raise(new DutyEnded(duty));
        }
    }
}
