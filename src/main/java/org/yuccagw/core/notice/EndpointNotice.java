package org.yuccagw.core.notice;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * The state of an endpoint as reported in the head of an answer.
 *
 * @param rateLimit limit on the requests of all entries together; empty if the endpoint stated none
 * @param leaving whether the endpoint accepts no new work and stops soon
 * @param backOff how long the entry whose request was rejected must not send anything; empty if the endpoint didn't
 *     state it
 * @param maxRejections the most requests that the endpoint can reject in a second without failing; empty if it didn't
 *     state it
 * @param unknown names of headers that report a state this process doesn't know
 */
public record EndpointNotice(
        Optional<RateLimit> rateLimit,
        boolean leaving,
        Optional<Duration> backOff,
        OptionalInt maxRejections,
        ImmutableList<String> unknown) {
    /** The notice that reports nothing. */
    public static final EndpointNotice NONE =
            new EndpointNotice(Optional.empty(), false, Optional.empty(), OptionalInt.empty(), ImmutableList.of());

    /** An endpoint that needs a longer back-off has to request it again. */
    private static final double MAX_BACK_OFF_SECONDS = 600;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Returns a notice of only a rate limit. */
    public static EndpointNotice ofRateLimit(Optional<RateLimit> rateLimit) {
        return new EndpointNotice(rateLimit, false, Optional.empty(), OptionalInt.empty(), ImmutableList.of());
    }

    /** Returns a notice of only that the endpoint is leaving. */
    public static EndpointNotice ofLeaving() {
        return new EndpointNotice(Optional.empty(), true, Optional.empty(), OptionalInt.empty(), ImmutableList.of());
    }

    /** Returns a notice of only a back-off. */
    public static EndpointNotice ofBackOff(Duration duration) {
        return new EndpointNotice(
                Optional.empty(), false, Optional.of(duration), OptionalInt.empty(), ImmutableList.of());
    }

    /** Returns a notice of only a limit of rejections. */
    public static EndpointNotice ofMaxRejections(int maxRejections) {
        return new EndpointNotice(
                Optional.empty(), false, Optional.empty(), OptionalInt.of(maxRejections), ImmutableList.of());
    }

    /** Converts a back-off in seconds. Returns empty if the number isn't positive. */
    public static Optional<Duration> backOffOfSeconds(double seconds) {
        if (!(seconds > 0)) {
            return Optional.empty();
        }
        double limitedSeconds = Math.min(seconds, MAX_BACK_OFF_SECONDS);
        return Optional.of(Duration.ofMillis((long) Math.ceil(limitedSeconds * MILLIS_PER_SECOND)));
    }

    /** Returns whether the notice reports anything. */
    public boolean hasContent() {
        return !equals(NONE);
    }
}
