package org.yuccagw.core.placing;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.yuccagw.core.id.ServiceName;

/**
 * The times at which refused callers were told to return.
 *
 * <p>Answers the load at which more callers are refused than can be served when the present backlog is gone. Each
 * refusal reserves the capacity that its request needs, after the backlog and after all earlier reservations of its
 * service that are as urgent or more urgent. So callers return one after the other, and each finds room. A caller that
 * returns at its time precedes newcomers of its class. One that returns earlier has no advantage, and keeps its
 * reservation.
 *
 * <p>The reservations are kept by the entry that places requests and are lost with it, or if the caller connects to an
 * entry that another one places for. The caller is then served like a newcomer, so a loss costs it its precedence only.
 *
 * <p>Invariant: reservations of one service and class never overlap.
 *
 * <p>Example: the backlog takes 400 ms and each request 20 ms. Three callers that are refused at once are told to
 * return after 400, 420 and 440 ms.
 */
final class ReturnSchedule {
    /** A caller that returns this much too early, by its own clock and the way, is on time. */
    private static final Duration EARLY_TOLERANCE = Duration.ofMillis(30);

    /** A caller that returns later than this has lost its turn. */
    private static final Duration LATE_TOLERANCE = Duration.ofSeconds(1);

    /** About 100 bytes each. The oldest reservation is dropped first. */
    private static final int MAX_RESERVATIONS = 5_000;

    private final LinkedHashMap<String, Long> reservedNanos = new LinkedHashMap<>();
    private final Map<ServiceName, Map<RequestPriority, Long>> nextNanos = new HashMap<>();

    /**
     * Reserves the capacity for one request. A reservation beyond the time that its caller waits is not kept.
     *
     * @param backlog predicted time until the present backlog of requests that precede it is gone
     * @param cost time that the capacity of the service needs for it
     * @return the time after which the caller may return
     */
    Duration reserve(PlacementRequest request, Duration backlog, Duration cost, long nowNanos) {
        RequestPriority priority = RequestPriority.of(request);
        Map<RequestPriority, Long> next = nextNanos.computeIfAbsent(request.service(), name -> new HashMap<>());
        long start = nowNanos + backlog.toNanos();
        for (Map.Entry<RequestPriority, Long> each : next.entrySet()) {
            if (each.getKey().compareTo(priority) <= 0 && each.getValue() - start > 0) {
                start = each.getValue();
            }
        }
        if ((start - nowNanos) / 1_000_000 <= request.leftMillis()) {
            next.put(priority, start + cost.toNanos());
            keep(request.fingerprint(), start);
        }
        return Duration.ofNanos(start - nowNanos);
    }

    /** Returns whether the caller returns at its reserved time, and ends the reservation. */
    boolean redeem(String fingerprint, long nowNanos) {
        Long reserved = reservedNanos.get(fingerprint);
        if (reserved == null || reserved - nowNanos > EARLY_TOLERANCE.toNanos()) {
            return false;
        }
        reservedNanos.remove(fingerprint);
        return nowNanos - reserved <= LATE_TOLERANCE.toNanos();
    }

    /** Returns the number of callers that were told to return. */
    int size() {
        return reservedNanos.size();
    }

    private void keep(String fingerprint, long reserved) {
        reservedNanos.remove(fingerprint);
        reservedNanos.put(fingerprint, reserved);
        if (reservedNanos.size() > MAX_RESERVATIONS) {
            reservedNanos.remove(reservedNanos.keySet().iterator().next());
        }
    }
}
