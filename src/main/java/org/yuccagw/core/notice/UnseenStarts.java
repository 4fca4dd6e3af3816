package org.yuccagw.core.notice;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;

/**
 * Endpoints that may be leaving, although the answer that said so is held against an earlier start.
 *
 * <p>An answer doesn't tell of which start of its endpoint it is, so a notice is held against the start that is known.
 * If the endpoint started again while the key-value service was unavailable, a notice from that time may be of either
 * start. The later start is spared until its registration tells or {@link #RETENTION} is over.
 *
 * <p>Example: registrations were last seen at 0 s. At 2 s an answer says that engine-1 leaves. At 5 s the service is
 * reachable again and lists a later start of engine-1. Had the notice come before 0 s, it would be of the earlier one.
 */
final class UnseenStarts {
    /** Longer than a mark in the registration takes to follow the end of an outage. */
    private static final Duration RETENTION = Duration.ofSeconds(30);

    private final Map<EndpointId, Long> lastNoticeNanos = new HashMap<>();
    private final Map<EndpointIncarnation, Long> untilNanos = new HashMap<>();

    /** Records that an answer of the endpoint said that it is leaving. */
    void recordNotice(EndpointId endpoint, long nowNanos) {
        lastNoticeNanos.put(endpoint, nowNanos);
    }

    /**
     * Records the registration of a start that wasn't known.
     *
     * @param unseenSinceNanos the time since which it may have happened, if it wasn't seen when it did
     * @return whether a notice may be of this start
     */
    boolean recordStart(EndpointIncarnation start, OptionalLong unseenSinceNanos, long nowNanos) {
        Long notice = lastNoticeNanos.get(start.endpoint());
        boolean mayBeOfThisStart =
                notice != null && unseenSinceNanos.isPresent() && notice - unseenSinceNanos.getAsLong() > 0;
        if (mayBeOfThisStart) {
            untilNanos.put(start, nowNanos + RETENTION.toNanos());
        }
        return mayBeOfThisStart;
    }

    boolean mayBeLeaving(EndpointIncarnation endpoint, long nowNanos) {
        Long until = untilNanos.get(endpoint);
        return until != null && until - nowNanos > 0;
    }

    boolean isEmpty() {
        return lastNoticeNanos.isEmpty() && untilNanos.isEmpty();
    }

    /** Removes what is older than the given time. */
    void expire(Duration noticeRetention, long nowNanos) {
        lastNoticeNanos.values().removeIf(notice -> nowNanos - notice > noticeRetention.toNanos());
        untilNanos.values().removeIf(until -> until - nowNanos <= 0);
    }
}
