package org.yuccagw.core.notice;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.yuccagw.core.id.EntryId;

/**
 * The back-off state of one endpoint that rejected requests. The cases, in this order:
 *
 * <ol>
 *   <li>The back-off requested of this entry is active: nothing is sent.
 *   <li>The back-offs requested of two entries are active: the endpoint has no free capacity, and is used only if there
 *       is no alternative.
 *   <li>The back-off requested of one other entry is active, which may have sent too much, or all back-offs have
 *       expired: one request at a time is sent, until one of them is answered.
 *   <li>A request that was sent after the last back-off was reported is answered: the endpoint is used normally again.
 * </ol>
 *
 * <p>Example: an engine requests a back-off of three seconds of this entry, and one second later, in answer to a
 * request that was in flight, a back-off of one second. After three seconds one prompt is sent there. When its answer
 * starts, all other prompts may follow.
 */
final class EndpointBackOff {
    /** A request whose answer takes longer doesn't delay other requests any more. */
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

    /** A query for the state of an engine and an order to load weights, neither of which can always wait. */
    private static final int MAX_INTERNAL_CALLS = 2;

    /** An endpoint that rejects requests of only one entry may well have free capacity for others. */
    private static final int MIN_ENTRIES_OF_FULL_ENDPOINT = 2;

    private final EntryId self;
    private final Map<EntryId, Long> untilNanos = new HashMap<>();
    private OptionalLong probeSentNanos = OptionalLong.empty();
    private long lastReportNanos;
    private boolean answeredSinceReport;
    private int requests;
    private int internalCalls;
    private int internalCallsInCurrentBackOff;

    private EndpointBackOff(EntryId self) {
        this.self = self;
    }

    /** Creates the state of an endpoint that has not rejected any request yet. */
    static EndpointBackOff forEntry(EntryId self) {
        return new EndpointBackOff(self);
    }

    /** Records a back-off that the endpoint requested of an entry. A shorter back-off doesn't end a longer one. */
    void recordBackOff(EntryId entry, Duration duration, long nowNanos) {
        if (remaining(nowNanos).isZero()) {
            internalCallsInCurrentBackOff = 0;
        }
        untilNanos.merge(entry, nowNanos + duration.toNanos(), (known, until) -> until - known > 0 ? until : known);
        lastReportNanos = nowNanos;
        probeSentNanos = OptionalLong.empty();
        answeredSinceReport = false;
    }

    /** Returns the remaining back-off of this entry. */
    Duration remaining(long nowNanos) {
        Long until = untilNanos.get(self);
        return until == null ? Duration.ZERO : Duration.ofNanos(Math.max(0, until - nowNanos));
    }

    /**
     * Returns whether the back-offs of several entries are active, so that the endpoint has no free capacity for others
     * either.
     */
    boolean isFull(long nowNanos) {
        return activeCount(nowNanos) >= MIN_ENTRIES_OF_FULL_ENDPOINT;
    }

    /** Returns the time until the back-off of at most one entry is active. */
    Duration remainingWhileFull(long nowNanos) {
        long remainingNanos = untilNanos.values().stream()
                .map(until -> until - nowNanos)
                .sorted(Comparator.reverseOrder())
                .skip(MIN_ENTRIES_OF_FULL_ENDPOINT - 1L)
                .findFirst()
                .orElse(0L);
        return Duration.ofNanos(Math.max(0, remainingNanos));
    }

    private long activeCount(long nowNanos) {
        return untilNanos.values().stream()
                .filter(until -> until - nowNanos > 0)
                .count();
    }

    /** Returns whether the next request has to wait for the answer to one that is in progress. */
    boolean isProbePending(long nowNanos) {
        return !answeredSinceReport
                && probeSentNanos.isPresent()
                && nowNanos - probeSentNanos.getAsLong() < PROBE_TIMEOUT.toNanos();
    }

    /** Records that a request is placed on the endpoint now, for this entry or for another one. */
    void recordPlacement(long nowNanos) {
        probeSentNanos = OptionalLong.of(nowNanos);
    }

    /**
     * Records the answer to a request that was placed at the given time. Returns whether this ends the back-off state.
     */
    boolean recordAnswer(long placedNanos, long nowNanos) {
        answeredSinceReport |= placedNanos - lastReportNanos > 0;
        return answeredSinceReport && remaining(nowNanos).isZero();
    }

    /** Records that a placed request ended without an answer. */
    void recordUnanswered() {
        probeSentNanos = OptionalLong.empty();
    }

    // Calls during the back-off

    void countRequest(long nowNanos) {
        requests += remaining(nowNanos).isZero() ? 0 : 1;
    }

    void countInternalCall(long nowNanos) {
        if (!remaining(nowNanos).isZero()) {
            internalCalls++;
            internalCallsInCurrentBackOff++;
        }
    }

    /** Returns whether the endpoint accepts one more internal call. */
    boolean allowsInternalCall(long nowNanos) {
        return remaining(nowNanos).isZero() || internalCallsInCurrentBackOff < MAX_INTERNAL_CALLS;
    }

    int requests() {
        return requests;
    }

    int internalCalls() {
        return internalCalls;
    }

    /** Returns whether no entry has reported a back-off for longer than the given time and none is active. */
    boolean isInactiveFor(Duration duration, long nowNanos) {
        return activeCount(nowNanos) == 0 && nowNanos - lastReportNanos > duration.toNanos();
    }
}
