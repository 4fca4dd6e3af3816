package org.yuccagw.core.forward;

import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.placing.AnswerPace;

/** What the answer to a request looked like, for logs and metrics. */
public final class AnswerStatistics {
    private final ForwardEffects effects;
    private long lastReceivedNanos;
    private Optional<AnswerPace> pace = Optional.empty();
    private Optional<EndpointId> endpoint = Optional.empty();

    AnswerStatistics(ForwardEffects effects) {
        this.effects = effects;
        recordReceived();
    }

    /** Records that bytes of an endpoint arrived, or that the request was sent. */
    void recordReceived() {
        lastReceivedNanos = effects.nowNanos();
    }

    void recordEnd(Leg leg) {
        pace = leg.pace().pace();
        endpoint = Optional.of(leg.endpoint());
    }

    /** Returns the time since the last bytes of an endpoint, or since the send if there were none. */
    public Duration silence() {
        return Duration.ofNanos(effects.nowNanos() - lastReceivedNanos);
    }

    /** Returns the times between the events of the latest answer; empty if it had none. */
    public Optional<AnswerPace> pace() {
        return pace;
    }

    /** Returns the endpoint of the latest answer; empty if there was none. */
    public Optional<EndpointId> endpoint() {
        return endpoint;
    }
}
