package org.yuccagw.core.endpoint;

import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.endpoint.PlatformListed.ListedVm;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.id.WeightVersion;

/** The state that {@link EndpointsComponent} keeps of one endpoint; used on the control thread only. */
final class KnownEndpoint {
    private static final int FAILURES_TO_EJECT = 3;
    private static final Duration FIRST_EJECTION = Duration.ofSeconds(5);
    private static final int MAX_EJECTION_DOUBLINGS = 4;

    private final EndpointId id;
    private final long ringPosition;
    private ListedVm vm;
    private long incarnation;
    private boolean isMissing;
    private long missingSinceNanos;
    private boolean leaving;
    private boolean loading;
    private Optional<WeightVersion> version = Optional.empty();
    private SoftwareVersion software = SoftwareVersion.UNSTATED;
    private long lastAnswerNanos;
    private int consecutiveFailures;
    private int ejectionCount;
    private boolean ejected;
    private long ejectedUntilNanos;

    KnownEndpoint(ListedVm vm, long nowNanos) {
        this.id = EndpointId.of(vm.name());
        this.ringPosition = ProbeRing.positionOf(id.value());
        this.lastAnswerNanos = nowNanos;
        startIncarnation(vm, vm.incarnation());
    }

    EndpointId id() {
        return id;
    }

    /** Returns the position on the {@link ProbeRing}. */
    long ringPosition() {
        return ringPosition;
    }

    long incarnation() {
        return incarnation;
    }

    String pool() {
        return vm.pool();
    }

    ListedVm vm() {
        return vm;
    }

    boolean isEjected() {
        return ejected;
    }

    boolean isLeaving() {
        return leaving;
    }

    /** Applies a line of the platform's list; an older incarnation than the known one changes nothing. */
    void onListed(ListedVm listedVm) {
        isMissing = false;
        if (listedVm.incarnation() > incarnation) {
            startIncarnation(listedVm, listedVm.incarnation());
        } else if (listedVm.incarnation() == incarnation) {
            vm = listedVm;
            leaving |= listedVm.leaving();
        }
    }

    void onMissing(long nowNanos) {
        if (!isMissing) {
            isMissing = true;
            missingSinceNanos = nowNanos;
        }
    }

    /**
     * Returns whether the endpoint was removed. It must be missing from the list and silent as well, so that a list
     * that lacks a line can't remove a VM.
     */
    boolean isRemoved(long nowNanos, Duration timeout) {
        boolean isMissingForLong = isMissing && nowNanos - missingSinceNanos > timeout.toNanos();
        return isMissingForLong && nowNanos - lastAnswerNanos > timeout.toNanos();
    }

    /**
     * Marks an incarnation as leaving, which is final. A lagging list that shows the VM as live again has the same
     * incarnation, so it changes nothing; the replaced VM has a higher one.
     */
    void onLeaving(long leavingIncarnation) {
        if (leavingIncarnation > incarnation) {
            startIncarnation(vm, leavingIncarnation);
        }
        leaving |= leavingIncarnation == incarnation;
    }

    /** Applies the endpoint's own report; returns false if it belongs to an older incarnation. */
    boolean onReport(EndpointReported report, long nowNanos) {
        if (report.incarnation() < incarnation) {
            return false;
        }
        if (report.incarnation() > incarnation) {
            startIncarnation(vm, report.incarnation());
        }
        version = report.version();
        software = report.software();
        loading = report.loading();
        leaving |= report.leaving();
        recordSuccess(nowNanos);
        return true;
    }

    void recordSuccess(long nowNanos) {
        lastAnswerNanos = nowNanos;
        consecutiveFailures = 0;
    }

    /** Counts a failure; returns whether the endpoint should be ejected. */
    boolean recordFailure() {
        consecutiveFailures++;
        return consecutiveFailures >= FAILURES_TO_EJECT && !ejected;
    }

    void eject(long nowNanos) {
        int doublings = Math.min(ejectionCount, MAX_EJECTION_DOUBLINGS);
        ejectionCount++;
        ejected = true;
        ejectedUntilNanos =
                nowNanos + FIRST_EJECTION.multipliedBy(1L << doublings).toNanos();
    }

    /**
     * Ends an ejection whose period has passed, and returns whether it did. One more failure ejects the endpoint again,
     * for longer.
     */
    boolean readmit(long nowNanos) {
        if (!ejected || ejectedUntilNanos - nowNanos > 0) {
            return false;
        }
        ejected = false;
        consecutiveFailures = FAILURES_TO_EJECT - 1;
        return true;
    }

    EndpointStatus status() {
        return new EndpointStatus(
                id,
                vm.vm(),
                incarnation,
                vm.pool(),
                vm.address(),
                vm.domain(),
                !leaving && !ejected && !loading,
                version,
                software);
    }

    private void startIncarnation(ListedVm listedVm, long newIncarnation) {
        vm = listedVm;
        incarnation = newIncarnation;
        leaving = listedVm.leaving() && listedVm.incarnation() == newIncarnation;
        loading = false;
        version = Optional.empty();
        software = SoftwareVersion.UNSTATED;
        consecutiveFailures = 0;
        ejectionCount = 0;
        ejected = false;
    }
}
