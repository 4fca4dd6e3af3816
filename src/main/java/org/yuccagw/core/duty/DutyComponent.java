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

/**
 * Decides which entry holds one duty: by one key under a lease, taken by compare-and-swap.
 *
 * <p>While nobody holds the key, entries try in an order that a hash of their names gives, each a little after the one
 * before, so that usually a single one writes. The revision of the write is the holder's fencing number.
 *
 * <p>Some endpoints ignore fencing numbers. For them the holder stops at the end of its own lease, counted from before
 * the renewal was sent, or once it notices that it stood still; and a new holder waits {@code separation} before its
 * first order, since an order of the former one may have left at the last moment.
 *
 * <p>Invariant: {@link #mayAct} is true for one entry at most, up to the separation.
 */
public final class DutyComponent implements ControlComponent {
    /**
     * Short, because a dead holder's lease, the separation and the loading of all engines must fit between the naming
     * of weights and the time when no request may begin on older ones, which is 8 s on the smallest deployments.
     */
    private static final LeaseTimes LEASE = new LeaseTimes(
            Duration.ofMillis(1800), Duration.ofMillis(250), Duration.ofMillis(450), Duration.ofMillis(700));

    private static final Duration FIRST_TRY = Duration.ofMillis(20);
    private static final Duration BETWEEN_TRIES = Duration.ofMillis(250);
    private static final Duration LOOK = Duration.ofMillis(300);
    private static final Duration CLAIM_PATIENCE = Duration.ofMillis(1500);

    private final String duty;
    private final KeyValueRecordCodec codec;
    private final Supplier<List<EntryId>> candidates;
    private final BooleanSupplier reachable;
    private final Duration separation;
    private final PauseDetector pauses = new PauseDetector();

    private ControlContext context;
    private LeaseRenewer lease;
    private Optional<KeyValueRecord.DutyHeld> holder = Optional.empty();
    private boolean holding;
    private boolean claiming;
    private boolean leaving;
    private long claimNanos;
    private long fence;
    private long actsFromNanos;
    private boolean turnPending;

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
     * The duty of one name.
     *
     * @param candidates entries that may hold it
     * @param reachable whether the key-value service answers this entry at present
     * @param separation time between the last order of one holder and the first of the next
     */
    public static DutyComponent of(
            String duty,
            KeyValueRecordCodec codec,
            Supplier<List<EntryId>> candidates,
            BooleanSupplier reachable,
            Duration separation) {
        return new DutyComponent(duty, codec, candidates, reachable, separation);
    }

    /** This entry holds the duty and may act from now on. */
    public record DutyBegun(String duty, long fence) implements ControlEvent {}

    /** This entry does not hold the duty any more. */
    public record DutyEnded(String duty) implements ControlEvent {}

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        lease = LeaseRenewer.of(context, LEASE, this::claim, () -> stepDown("lease lapsed"));
        context.after(LOOK, this::look);
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
            tryInTurn();
        } else if (event instanceof StopRequested) {
            leaving = true;
            if (holding || claiming) {
                stepDown("stopping");
            }
        }
    }

    /** Whether this entry may act for the duty at this very moment. */
    public boolean mayAct() {
        if (pauses.suspendedSinceLastCheck(context.nowNanos(), context.wallMillis()) && (holding || claiming)) {
            stepDown("stood still");
            return false;
        }
        return holding && lease.isHeldAt(context.nowNanos()) && context.nowNanos() - actsFromNanos >= 0;
    }

    /** The fencing number of this holder. */
    public long fence() {
        return fence;
    }

    /** When the belief in the lease ends, monotonic; for a last look just before an effect. */
    public long heldUntilNanos() {
        return lease.expiryNanos();
    }

    private void look() {
        context.after(LOOK, this::look);
        if (pauses.suspendedSinceLastCheck(context.nowNanos(), context.wallMillis()) && (holding || claiming)) {
            stepDown("stood still");
        } else if (claiming && context.nowNanos() - claimNanos > CLAIM_PATIENCE.toNanos()) {
            stepDown("claim came to nothing");
        } else if (holder.isEmpty() && !holding && !claiming) {
            tryInTurn();
        }
    }

    private void tryInTurn() {
        if (leaving || turnPending || !reachable.getAsBoolean()) {
            return;
        }
        turnPending = true;
        context.after(FIRST_TRY.plus(BETWEEN_TRIES.multipliedBy(ownRank())), () -> {
            turnPending = false;
            boolean wanted = holder.isEmpty() && !holding && !claiming && !leaving;
            if (wanted) {
                claiming = true;
                claimNanos = context.nowNanos();
                lease.acquire();
            }
        });
    }

    /** The place of this entry among the candidates, in an order that differs from duty to duty. */
    private int ownRank() {
        EntryId self = context.self().entry();
        List<EntryId> ranked = candidates.get().stream()
                .sorted(Comparator.comparingInt(entry -> (duty + entry.value()).hashCode()))
                .toList();
        int rank = ranked.indexOf(self);
        return rank < 0 ? ranked.size() : rank;
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

    /** A lost answer changes nothing here: if the write took effect, the key itself says so a moment later. */
    private void onClaimed(KeyValueRecord.DutyHeld own, KeyValueAnswer answer) {
        if (answer instanceof KeyValueAnswer.Written written) {
            onHeld(own, written.revision());
        } else if (answer instanceof KeyValueAnswer.Conflict || answer instanceof KeyValueAnswer.Refused) {
            stepDown("another entry was first");
        }
    }

    private void onHeld(KeyValueRecord.DutyHeld held, long revision) {
        holder = Optional.of(held);
        boolean own = held.holder().equals(context.self().entry())
                && held.incarnation() == context.self().incarnation();
        if (own && claiming && lease.handle().isPresent()) {
            begin(revision);
        } else if (!own && (holding || claiming)) {
            stepDown("another entry holds it");
        }
    }

    private void begin(long revision) {
        claiming = false;
        holding = true;
        fence = revision;
        actsFromNanos = context.nowNanos() + separation.toNanos();
        context.perform(Decision.of("duty-held").with("duty", duty).with("fence", fence));
        context.after(separation, () -> {
            if (holding && fence == revision) {
                context.raise(new DutyBegun(duty, fence));
            }
        });
    }

    private void stepDown(String reason) {
        boolean held = holding;
        holding = false;
        claiming = false;
        lease.release();
        if (held) {
            context.perform(Decision.of("duty-ended").with("duty", duty).with("reason", reason));
            context.raise(new DutyEnded(duty));
        }
    }
}
