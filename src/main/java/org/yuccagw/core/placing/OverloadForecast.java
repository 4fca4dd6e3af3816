package org.yuccagw.core.placing;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.peers.PeerStatus;

/**
 * Predicts how long a request has to wait for capacity, and when a refused caller finds some.
 *
 * <p>Answers the load at which more prompts arrive than engines can prefill. A request whose predicted wait is longer
 * than its caller's patience is refused at once rather than after that time.
 *
 * <p>Example: prompts of 120,000 tokens precede one in the whole fleet, and six engines prefill 50 tokens per
 * millisecond each. Its wait is 400 ms. If it is refused, its caller is told to return after that time, or later if
 * callers that were refused before need the capacity first.
 */
final class OverloadForecast {
    static final long MIN_RETRY_AFTER_MILLIS = 150;

    /** Longer than any request waits. The entry to which a caller connects the next time is a random choice. */
    private static final Duration WAIT_WITHOUT_SHARE = Duration.ofSeconds(3);

    private final RequestQueue queue;
    private final Candidates candidates;
    private final StreamPacing pacing;
    private final PlacementComponent.Fleet fleet;
    private final FleetQueue fleetQueue = new FleetQueue();
    private final ReturnSchedule returns = new ReturnSchedule();

    private OverloadForecast(
            RequestQueue queue, Candidates candidates, StreamPacing pacing, PlacementComponent.Fleet fleet) {
        this.queue = queue;
        this.candidates = candidates;
        this.pacing = pacing;
        this.fleet = fleet;
    }

    static OverloadForecast create(
            RequestQueue queue, Candidates candidates, StreamPacing pacing, PlacementComponent.Fleet fleet) {
        return new OverloadForecast(queue, candidates, pacing, fleet);
    }

    /** Replaces what another entry reported of its queue. */
    void update(EntryId entry, List<PeerStatus.Queued> queued, long nowNanos) {
        fleetQueue.update(entry, queued, nowNanos);
    }

    /** Removes an entry that has failed. */
    void remove(EntryId entry) {
        fleetQueue.remove(entry);
    }

    /** Returns the predicted time until engines have prefilled all prompts of the fleet that precede the request. */
    long engineWaitMillis(RequestQueue.QueuedRequest queued, long nowNanos) {
        if (queued.request().prompt().isEmpty()) {
            return 0;
        }
        ServiceName service = queued.request().service();
        long tokens = fleetQueue.tokensBefore(
                queue.tokensBefore(queued, nowNanos),
                service,
                queued.priority().urgency(),
                fleet.placingEntryCount(),
                fleet::isPlacingEntry,
                nowNanos);
        return (long) prefillMillis(service, (double) tokens);
    }

    /**
     * Returns the predicted time until the request may be sent if all endpoints for it have rate limits. Guards against
     * requests that wait for their whole time although it is known that they can't be sent.
     */
    long rateLimitWaitMillis(RequestQueue.QueuedRequest queued) {
        OptionalDouble rate = candidates.permittedRate(queued.request());
        if (rate.isEmpty()) {
            return 0;
        }
        if (rate.getAsDouble() == 0) {
            return WAIT_WITHOUT_SHARE.toMillis();
        }
        int preceding = queue.countBefore(queued.priority(), queued.request().service());
        return (long) ((preceding + 1) * 1_000 / rate.getAsDouble());
    }

    /**
     * Reserves the capacity that a refused prompt needs once the backlog is gone. Every entry that places requests
     * reserves from the same capacity, so this one reserves as much for each of them.
     *
     * @return the time after which the caller may return
     */
    Duration reserveReturn(RequestQueue.QueuedRequest queued, long backlogMillis, long nowNanos) {
        double costMillis = prefillMillis(queued.request().service(), queued.cost() * fleet.placingEntryCount());
        return returns.reserve(
                queued.request(),
                Duration.ofMillis(Math.max(MIN_RETRY_AFTER_MILLIS, backlogMillis)),
                Duration.ofNanos((long) (costMillis * 1e6)),
                nowNanos);
    }

    /** Returns whether the caller returns at the time that it was told, which ends its reservation. */
    boolean isReturning(PlacementRequest request, long nowNanos) {
        return returns.redeem(request.fingerprint(), nowNanos);
    }

    /** Returns the number of refused callers that are expected to return. */
    int reservedReturns() {
        return returns.size();
    }

    /** Returns the time that all usable engines together need for the prefill of so many tokens. */
    private double prefillMillis(ServiceName service, double tokens) {
        long usable = Math.max(1, candidates.usableCount(service));
        return pacing.serviceRate().millisFor(tokens / usable);
    }
}
