package org.yuccagw.core.lease;

import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueCall;
import org.yuccagw.core.port.KeyValueCall.LeaseHandle;

/**
 * Acquires, renews and releases one lease of the key-value service, which is held only while it is required.
 *
 * <p>Ensures that a holder never acts on an expired lease. After a suspension, or while the service is slow, such a
 * holder would act concurrently with the next owner. The service counts the time to live from the moment at which it
 * received the renewal, which is after the renewal was sent. This class counts from before it was sent and subtracts a
 * margin for clocks that run at different rates, so the lease always expires earlier here than at the service.
 *
 * <p>Example: with a time to live of 10 s and a margin of 1 s, a renewal is sent at 100 s and confirmed at 104 s. The
 * lease is held here until 109 s, and at the service until 110 s at the earliest.
 */
public final class LeaseRenewer {
    private final ControlContext context;
    private final LeaseTimes times;
    private final Runnable onLeaseGranted;
    private final Runnable onLeaseLost;
    private Optional<LeaseHandle> lease = Optional.empty();
    private long expiryNanos;
    private boolean required;
    private boolean requestingGrant;

    private LeaseRenewer(ControlContext context, LeaseTimes times, Runnable onLeaseGranted, Runnable onLeaseLost) {
        this.context = context;
        this.times = times;
        this.onLeaseGranted = onLeaseGranted;
        this.onLeaseLost = onLeaseLost;
    }

    /**
     * Returns a renewer that doesn't request a lease yet.
     *
     * @param onLeaseGranted called after a lease has been acquired
     * @param onLeaseLost called after the held lease has expired
     */
    public static LeaseRenewer of(
            ControlContext context, LeaseTimes times, Runnable onLeaseGranted, Runnable onLeaseLost) {
        return new LeaseRenewer(context, times, onLeaseGranted, onLeaseLost);
    }

    /** Returns the lease if it is held at the present time. */
    public Optional<LeaseHandle> handle() {
        return isHeldAt(context.nowNanos()) ? lease : Optional.empty();
    }

    /** Whether the lease is held at the given monotonic time. */
    public boolean isHeldAt(long nowNanos) {
        return lease.isPresent() && nowNanos - expiryNanos < 0;
    }

    /** Returns the monotonic time at which the lease expires on this entry unless it is renewed. */
    public long expiryNanos() {
        return expiryNanos;
    }

    /** Acquires a lease and renews it until {@link #release}; a lost lease is acquired again. */
    public void acquire() {
        required = true;
        if (lease.isEmpty() && !requestingGrant) {
            requestingGrant = true;
            requestGrant();
        }
    }

    /**
     * Gives up a lease that was granted before the present era of the service, which knows nothing of it any more, and
     * acquires another one if it is still required.
     */
    public void dropBeforeEra(long era) {
        if (lease.isPresent() && lease.get().era() < era) {
            handleLost();
        }
    }

    /** Revokes the lease; the service removes every key that is bound to it. */
    public void release() {
        required = false;
        lease.ifPresent(this::revoke);
        lease = Optional.empty();
    }

    /** Sends grant requests until a lease is held. A lease that is granted late, when another is held, is revoked. */
    private void requestGrant() {
        if (!required || lease.isPresent()) {
            requestingGrant = false;
            return;
        }
        long sentNanos = context.nowNanos();
        context.call(new KeyValueCall.GrantLease(times.timeToLive()), answer -> {
            if (answer instanceof KeyValueAnswer.LeaseGranted granted) {
                handleGranted(granted.lease(), sentNanos);
            }
        });
        context.after(times.grantInterval(), this::requestGrant);
    }

    private void handleGranted(LeaseHandle granted, long sentNanos) {
        long untilNanos = sentNanos + times.validityFromSending().toNanos();
        if (!required || lease.isPresent() || untilNanos - context.nowNanos() <= 0) {
            revoke(granted);
            return;
        }
        lease = Optional.of(granted);
        expiryNanos = untilNanos;
        context.after(times.renewInterval(), () -> renew(granted));
        checkExpiry(granted);
        onLeaseGranted.run();
    }

    /** A renewal without an answer is not retried: the next one follows, and the lease expires if none succeeds. */
    private void renew(LeaseHandle renewed) {
        if (!isCurrent(renewed)) {
            return;
        }
        long sentNanos = context.nowNanos();
        context.call(new KeyValueCall.RenewLease(renewed), answer -> {
            if (answer instanceof KeyValueAnswer.LeaseRenewed && isCurrent(renewed)) {
                expiryNanos = Math.max(
                        expiryNanos, sentNanos + times.validityFromSending().toNanos());
            } else if (answer instanceof KeyValueAnswer.LeaseLapsed && isCurrent(renewed)) {
                handleLost();
            }
        });
        context.after(times.renewInterval(), () -> renew(renewed));
    }

    private void checkExpiry(LeaseHandle checked) {
        if (!isCurrent(checked)) {
            return;
        }
        if (isHeldAt(context.nowNanos())) {
            context.after(Duration.ofNanos(expiryNanos - context.nowNanos()), () -> checkExpiry(checked));
        } else {
            handleLost();
        }
    }

    private void handleLost() {
        lease = Optional.empty();
        onLeaseLost.run();
        if (required) {
            acquire();
        }
    }

    private void revoke(LeaseHandle handle) {
        context.call(new KeyValueCall.RevokeLease(handle), ignored -> {});
    }

    private boolean isCurrent(LeaseHandle handle) {
        return lease.equals(Optional.of(handle));
    }
}
