package org.yuccagw.core.notice;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.yuccagw.core.id.EntryId;

/**
 * One endpoint that turned requests away for a while. The cases, in this order:
 *
 * <ol>
 *   <li>It wants nothing from this entry yet: nothing is sent.
 *   <li>It wants nothing from two entries yet: it has no room, and is used only where nothing else is there.
 *   <li>It wants nothing from one other entry, which may have sent too much, or the time is over: one request at a
 *       time, until one of them is answered.
 *   <li>A request that was sent since it was last heard of is answered: it is an endpoint like any other.
 * </ol>
 *
 * <p>Example: an engine turns this entry away for three seconds, and a second later, by a request that was on its way,
 * for one. After three seconds one prompt is sent there. Its answer begins, and all others may follow.
 */
final class EndpointBackOff {
    /** A request whose answer takes longer says nothing about the others. */
    private static final Duration PROBE_PATIENCE = Duration.ofSeconds(1);

    /** A question for the state of an engine and an order to load weights, which can't always wait. */
    private static final int CALLS_BORNE = 2;

    /** What turns only one entry away may well have room for others. */
    private static final int ENTRIES_OF_A_FULL_ONE = 2;

    private final EntryId self;
    private final Map<EntryId, Long> untilNanos = new HashMap<>();
    private OptionalLong probeSentNanos = OptionalLong.empty();
    private long heardNanos;
    private boolean proven;
    private int requests;
    private int otherCalls;
    private int callsInPresentTime;

    private EndpointBackOff(EntryId self) {
        this.self = self;
    }

    /** Nobody was turned away yet. */
    static EndpointBackOff knownTo(EntryId self) {
        return new EndpointBackOff(self);
    }

    /** It wants nothing from that entry for so long. A shorter time doesn't end a longer one. */
    void asked(EntryId entry, Duration time, long nowNanos) {
        if (left(nowNanos).isZero()) {
            callsInPresentTime = 0;
        }
        untilNanos.merge(entry, nowNanos + time.toNanos(), (known, until) -> until - known > 0 ? until : known);
        heardNanos = nowNanos;
        probeSentNanos = OptionalLong.empty();
        proven = false;
    }

    /** How much longer it wants nothing from this entry. */
    Duration left(long nowNanos) {
        Long until = untilNanos.get(self);
        return until == null ? Duration.ZERO : Duration.ofNanos(Math.max(0, until - nowNanos));
    }

    /** Whether it wants nothing from several entries, so that it has no room for others either. */
    boolean isFull(long nowNanos) {
        return lasting(nowNanos) >= ENTRIES_OF_A_FULL_ONE;
    }

    /** Until it wants something from all entries but one. */
    Duration fullLeft(long nowNanos) {
        long left = untilNanos.values().stream()
                .map(until -> until - nowNanos)
                .sorted(Comparator.reverseOrder())
                .skip(ENTRIES_OF_A_FULL_ONE - 1L)
                .findFirst()
                .orElse(0L);
        return Duration.ofNanos(Math.max(0, left));
    }

    private long lasting(long nowNanos) {
        return untilNanos.values().stream()
                .filter(until -> until - nowNanos > 0)
                .count();
    }

    /** Whether the next request has to wait for the answer to one that is on its way. */
    boolean isProbed(long nowNanos) {
        return !proven
                && probeSentNanos.isPresent()
                && nowNanos - probeSentNanos.getAsLong() < PROBE_PATIENCE.toNanos();
    }

    /** A request is placed there now, by this entry for itself or for another one. */
    void placed(long nowNanos) {
        probeSentNanos = OptionalLong.of(nowNanos);
    }

    /** A request that was placed there then is answered; whether nothing is left to be known of the endpoint. */
    boolean answered(long placedNanos, long nowNanos) {
        proven |= placedNanos - heardNanos > 0;
        return proven && left(nowNanos).isZero();
    }

    /** A request that was placed there ended without an answer. */
    void unanswered() {
        probeSentNanos = OptionalLong.empty();
    }

    // ---- What this entry sent meanwhile.

    void countRequest(long nowNanos) {
        requests += left(nowNanos).isZero() ? 0 : 1;
    }

    void countOtherCall(long nowNanos) {
        if (!left(nowNanos).isZero()) {
            otherCalls++;
            callsInPresentTime++;
        }
    }

    /** Whether it bears one more call that is no request. */
    boolean bearsCall(long nowNanos) {
        return left(nowNanos).isZero() || callsInPresentTime < CALLS_BORNE;
    }

    int requests() {
        return requests;
    }

    int otherCalls() {
        return otherCalls;
    }

    /** Nobody has heard of it for longer than this. */
    boolean isSilentFor(Duration time, long nowNanos) {
        return lasting(nowNanos) == 0 && nowNanos - heardNanos > time.toNanos();
    }
}
