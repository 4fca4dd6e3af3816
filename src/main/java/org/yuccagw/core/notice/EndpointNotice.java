package org.yuccagw.core.notice;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;

/**
 * What an endpoint says of itself in the head of an answer.
 *
 * @param rateLimit what it takes from all entries together, if it says so
 * @param leaving whether it takes no new work and ends soon
 * @param backOff how long it wants nothing from the entry that it turned away; empty if it doesn't say
 * @param unknown names of headers that say something nobody here understands
 */
public record EndpointNotice(
        Optional<RateLimit> rateLimit, boolean leaving, Optional<Duration> backOff, ImmutableList<String> unknown) {
    /** It says nothing. */
    public static final EndpointNotice NONE =
            new EndpointNotice(Optional.empty(), false, Optional.empty(), ImmutableList.of());

    /** One that asks for more has to ask again. */
    private static final double LONGEST_BACK_OFF_SECONDS = 600;

    private static final double MILLIS_OF_SECOND = 1_000;

    /** Only a rate limit. */
    public static EndpointNotice ofRateLimit(Optional<RateLimit> rateLimit) {
        return new EndpointNotice(rateLimit, false, Optional.empty(), ImmutableList.of());
    }

    /** Only that it leaves. */
    public static EndpointNotice ofLeaving() {
        return new EndpointNotice(Optional.empty(), true, Optional.empty(), ImmutableList.of());
    }

    /** Only that it wants nothing for so long. */
    public static EndpointNotice ofBackOff(Duration time) {
        return new EndpointNotice(Optional.empty(), false, Optional.of(time), ImmutableList.of());
    }

    /** So many seconds for which an endpoint wants nothing; empty if the number makes no sense. */
    public static Optional<Duration> backOff(double seconds) {
        if (!(seconds > 0)) {
            return Optional.empty();
        }
        double most = Math.min(seconds, LONGEST_BACK_OFF_SECONDS);
        return Optional.of(Duration.ofMillis((long) Math.ceil(most * MILLIS_OF_SECOND)));
    }

    /** Whether it says anything. */
    public boolean saysSomething() {
        return !equals(NONE);
    }
}
