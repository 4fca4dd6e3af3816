package org.yuccagw.core.placing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.yuccagw.core.duty.WeightOrdersComponent;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.fleet.ModelWeights;
import org.yuccagw.core.pacing.EngineStreams;
import org.yuccagw.core.peers.PeerStatus;

/**
 * The state known locally of one incarnation of an endpoint: its registration, its load and its recent failures.
 *
 * <p>Leaving is final for an incarnation, so that a late registration from before can't reactivate an endpoint that is
 * stopping. Being unlisted isn't final, since a registration may lapse while the key-value service is unavailable. All
 * state of an incarnation is dropped with this object when the next incarnation registers.
 */
final class EndpointState {
    /**
     * A single failed connection may be a random error; an endpoint that has failed refuses the next connection at
     * once.
     */
    private static final Duration INITIAL_AVOIDANCE = Duration.ofMillis(400);

    private static final Duration MAX_AVOIDANCE = Duration.ofSeconds(3);

    /** An endpoint that rejects requests mostly continues to do so for about the duration of a short request. */
    private static final Duration SHED_AVOIDANCE = Duration.ofMillis(60);

    /** Weight of the newest outcome in the moving average of faults. About ten outcomes carry half of the weight. */
    static final double FAULT_WEIGHT = 0.07;

    private ListedEndpoint listed;
    private boolean leaving;
    private long usableUntilNanos = Long.MAX_VALUE;
    private Work localWork = Work.NONE;
    private Work peerWork = Work.NONE;
    private long avoidedUntilNanos = Long.MIN_VALUE;
    private long shedUntilNanos = Long.MIN_VALUE;
    private long loadingUntilNanos = Long.MIN_VALUE;
    private int consecutiveUnreached;
    private double faultShare;
    private boolean evacuated;
    private long coldUntilNanos = Long.MIN_VALUE;
    private final EngineStreams streams = EngineStreams.create();
    private final EngineSpeed speed = new EngineSpeed();
    private final ArrayDeque<Long> sentNanos = new ArrayDeque<>();
    private final Map<String, ReportedVersion> reportedVersions = new HashMap<>();

    /** A weight version that was learned otherwise than from the registration. */
    private record ReportedVersion(long version, long reportedNanos) {}

    EndpointState(ListedEndpoint listed, long nowNanos) {
        this.listed = listed;
        this.leaving = listed.leaving();
        setColdFor(Duration.ofMillis(listed.coldMillis()), nowNanos);
    }

    ListedEndpoint listed() {
        return listed;
    }

    /** Applies a newer registration of the same incarnation. */
    void updateRegistration(ListedEndpoint newRegistration, long nowNanos) {
        listed = newRegistration;
        reportedVersions
                .values()
                .removeIf(reported ->
                        nowNanos - reported.reportedNanos() > WeightOrdersComponent.REGISTRATION_LAG.toNanos());
        leaving |= newRegistration.leaving();
        usableUntilNanos = Long.MAX_VALUE;
        setColdFor(Duration.ofMillis(newRegistration.coldMillis()), nowNanos);
    }

    void markLeaving() {
        leaving = true;
    }

    boolean isLeaving() {
        return leaving;
    }

    /** Marks the endpoint as unlisted. It stays usable until the given time. */
    void markUnlisted(long untilNanos) {
        usableUntilNanos = untilNanos;
    }

    boolean isUsable(long nowNanos) {
        return !leaving && !evacuated && (usableUntilNanos == Long.MAX_VALUE || nowNanos - usableUntilNanos < 0);
    }

    boolean isRemovable(long nowNanos) {
        return usableUntilNanos != Long.MAX_VALUE && nowNanos - usableUntilNanos > 0 && localWork.requests() == 0;
    }

    /** Sets whether the endpoint's failure domain is evacuated, so that nothing may be sent to it. */
    void setEvacuated(boolean newValue) {
        evacuated = newValue;
    }

    // Cold start

    /** Sets how much longer the endpoint is cold, replacing any earlier value. */
    void setColdFor(Duration remaining, long nowNanos) {
        coldUntilNanos = remaining.isZero() ? Long.MIN_VALUE : nowNanos + remaining.toNanos();
    }

    boolean isCold(long nowNanos) {
        return remainingColdMillis(nowNanos) > 0;
    }

    long remainingColdMillis(long nowNanos) {
        return coldUntilNanos == Long.MIN_VALUE ? 0 : Math.max(0, (coldUntilNanos - nowNanos) / 1_000_000);
    }

    /** Records that a request is sent to the endpoint now. */
    void recordSent(long nowNanos) {
        removeOldSent(nowNanos);
        sentNanos.add(nowNanos);
    }

    /** Returns the number of requests that this entry sent within the last {@link ColdEndpointLimit#WINDOW}. */
    int recentlySentCount(long nowNanos) {
        removeOldSent(nowNanos);
        return sentNanos.size();
    }

    private void removeOldSent(long nowNanos) {
        while (!sentNanos.isEmpty() && nowNanos - sentNanos.peek() >= ColdEndpointLimit.WINDOW.toNanos()) {
            sentNanos.remove();
        }
    }

    // Load

    /** Adds work of this entry. {@link #removeWork} subtracts it when the attempt ends. */
    void addWork(Work work) {
        localWork = localWork.plus(work);
    }

    void removeWork(Work work) {
        localWork = localWork.minus(work);
    }

    /** Replaces the work that another entry last reported for the endpoint. */
    void replacePeerWork(Work previous, Work now) {
        peerWork = peerWork.minus(previous).plus(now).nonNegative();
    }

    /** Returns the load of this entry on the endpoint, as reported to other entries. */
    PeerStatus.Load load(long nowNanos) {
        return new PeerStatus.Load(
                listed.incarnation(),
                localWork.requests(),
                localWork.tokens(),
                localWork.unreadTokens(),
                streams.recent(nowNanos));
    }

    /** Returns the work that this entry placed. */
    Work localWork() {
        return localWork;
    }

    /** Returns the known work of all entries. */
    Work totalWork() {
        return localWork.plus(peerWork);
    }

    /** Returns the streams that this entry placed. */
    EngineStreams streams() {
        return streams;
    }

    /** Returns the engine's prefill speed. */
    EngineSpeed speed() {
        return speed;
    }

    // Health

    void recordReached() {
        consecutiveUnreached = 0;
        avoidedUntilNanos = Long.MIN_VALUE;
    }

    void recordUnreached(long nowNanos) {
        int doublings = Math.min(consecutiveUnreached, 4);
        consecutiveUnreached++;
        long waitNanos = Math.min(INITIAL_AVOIDANCE.toNanos() << doublings, MAX_AVOIDANCE.toNanos());
        avoidedUntilNanos = nowNanos + waitNanos;
    }

    void recordShed(long nowNanos) {
        shedUntilNanos = nowNanos + SHED_AVOIDANCE.toNanos();
    }

    void recordOutcome(boolean fault) {
        faultShare += FAULT_WEIGHT * ((fault ? 1 : 0) - faultShare);
    }

    double faultShare() {
        return faultShare;
    }

    int consecutiveUnreached() {
        return consecutiveUnreached;
    }

    boolean isAvoided(long nowNanos) {
        return avoidedUntilNanos != Long.MIN_VALUE && nowNanos - avoidedUntilNanos < 0;
    }

    boolean hasRecentlyShed(long nowNanos) {
        return shedUntilNanos != Long.MIN_VALUE && nowNanos - shedUntilNanos < 0;
    }

    // Weights

    void setLoadingUntil(long untilNanos) {
        loadingUntilNanos = untilNanos;
    }

    boolean isLoading(long nowNanos) {
        return loadingUntilNanos != Long.MIN_VALUE && nowNanos - loadingUntilNanos < 0;
    }

    void recordReportedVersion(ModelWeights weights, long nowNanos) {
        reportedVersions.put(weights.model(), new ReportedVersion(weights.version(), nowNanos));
        loadingUntilNanos = Long.MIN_VALUE;
    }

    /** Returns the known weight version of a model: the higher of the registered and the reported one. */
    OptionalLong versionOf(String model) {
        OptionalLong registered = listed.versionOf(model);
        ReportedVersion reported = reportedVersions.get(model);
        if (reported == null) {
            return registered;
        }
        return OptionalLong.of(Math.max(reported.version(), registered.orElse(0)));
    }
}
