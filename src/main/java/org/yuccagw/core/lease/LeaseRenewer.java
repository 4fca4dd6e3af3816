package org.yuccagw.core.lease;

import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueCall;
import org.yuccagw.core.port.KeyValueCall.LeaseHandle;

/**
 * The one lease of this entry, held only while it is needed.
 *
 * <p>Guards against a holder that believes in a lapsed lease: after a pause, or while the service is slow, it would act
 * beside the next owner. The service counts the time to live from when the renewal reached it, which is after it was
 * sent. So counting from before it was sent, and less a margin for clocks that run at different rates, always ends
 * earlier here than there.
 *
 * <p>Example: a time to live of 10 s, a renewal sent at 100 s and confirmed at 104 s: held here up to 109 s, there at
 * least up to 110 s.
 */
public final class LeaseRenewer {
    private final ControlContext context;
    private final LeaseTimes times;
    private final Runnable granted;
    private final Runnable lost;
    private Optional<LeaseHandle> lease = Optional.empty();
    private long heldUntilNanos;
    private boolean wanted;
    private boolean granting;

    private LeaseRenewer(ControlContext context, LeaseTimes times, Runnable granted, Runnable lost) {
        this.context = context;
        this.times = times;
        this.granted = granted;
        this.lost = lost;
    }

    /**
     * A keeper that doesn't want a lease yet.
     *
     * @param granted run when a lease is held from now on
     * @param lost run when the lease that was held is not held any more
     */
    public static LeaseRenewer of(ControlContext context, LeaseTimes times, Runnable granted, Runnable lost) {
        return new LeaseRenewer(context, times, granted, lost);
    }

    /** The lease, if it still holds now. */
    public Optional<LeaseHandle> handle() {
        return isHeldAt(context.nowNanos()) ? lease : Optional.empty();
    }

    public boolean isHeldAt(long nowNanos) {
        return lease.isPresent() && nowNanos - heldUntilNanos < 0;
    }

    /** When the belief in the lease ends here, monotonic. */
    public long heldUntilNanos() {
        return heldUntilNanos;
    }

    public void want() {
        wanted = true;
        if (lease.isEmpty() && !granting) {
            granting = true;
            grant();
        }
    }

    /** Gives the lease back; every key that hangs on it goes with it. */
    public void giveBack() {
        wanted = false;
        lease.ifPresent(this::revoke);
        lease = Optional.empty();
    }

    /** Asks until a lease is held. An answer that comes late, when another lease is held, is given back. */
    private void grant() {
        if (!wanted || lease.isPresent()) {
            granting = false;
            return;
        }
        long sentNanos = context.nowNanos();
        context.call(new KeyValueCall.GrantLease(times.timeToLive()), answer -> {
            if (answer instanceof KeyValueAnswer.LeaseGranted given) {
                onGranted(given.lease(), sentNanos);
            }
        });
        context.after(times.grantInterval(), this::grant);
    }

    private void onGranted(LeaseHandle given, long sentNanos) {
        long untilNanos = sentNanos + times.heldFromSending().toNanos();
        if (!wanted || lease.isPresent() || untilNanos - context.nowNanos() <= 0) {
            revoke(given);
            return;
        }
        lease = Optional.of(given);
        heldUntilNanos = untilNanos;
        context.after(times.renewInterval(), () -> renew(given));
        checkLapse(given);
        granted.run();
    }

    /** A renewal without answer changes nothing: the next one follows; the lease ends here if none comes through. */
    private void renew(LeaseHandle renewed) {
        if (!isPresent(renewed)) {
            return;
        }
        long sentNanos = context.nowNanos();
        context.call(new KeyValueCall.RenewLease(renewed), answer -> {
            if (answer instanceof KeyValueAnswer.LeaseRenewed && isPresent(renewed)) {
                heldUntilNanos = Math.max(
                        heldUntilNanos, sentNanos + times.heldFromSending().toNanos());
            } else if (answer instanceof KeyValueAnswer.LeaseLapsed && isPresent(renewed)) {
                lose();
            }
        });
        context.after(times.renewInterval(), () -> renew(renewed));
    }

    private void checkLapse(LeaseHandle checked) {
        if (!isPresent(checked)) {
            return;
        }
        if (isHeldAt(context.nowNanos())) {
            context.after(Duration.ofNanos(heldUntilNanos - context.nowNanos()), () -> checkLapse(checked));
        } else {
            lose();
        }
    }

    private void lose() {
        lease = Optional.empty();
        lost.run();
        if (wanted) {
            want();
        }
    }

    private void revoke(LeaseHandle handle) {
        context.call(new KeyValueCall.RevokeLease(handle), ignored -> {});
    }

    private boolean isPresent(LeaseHandle handle) {
        return lease.equals(Optional.of(handle));
    }
}
