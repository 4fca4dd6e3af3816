package org.yuccagw.core.forward;

import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.placing.AnswerPace;
import org.yuccagw.core.port.BodyEnd;

/** What the answer to a request looked like, for logs and metrics. */
public final class AnswerStatistics {
    private final ForwardEffects effects;
    private long lastReceivedNanos;
    private Optional<AnswerPace> pace = Optional.empty();
    private Optional<ListedEndpoint> endpoint = Optional.empty();
    private Optional<BodyEnd> bodyEnd = Optional.empty();
    private LastEvent lastEvent = LastEvent.NONE;

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
        endpoint = Optional.of(leg.placed().endpoint());
    }

    /** Records how the endpoint ended its answer, whether or not the answer is accepted as complete. */
    void recordBodyEnd(BodyEnd end, LastEvent last) {
        bodyEnd = Optional.of(end);
        lastEvent = last;
    }

    /** Returns the time since the last bytes of an endpoint, or since the send if there were none. */
    public Duration silence() {
        return Duration.ofNanos(effects.nowNanos() - lastReceivedNanos);
    }

    /** Returns the times between the events of the latest answer; empty if it had none. */
    public Optional<AnswerPace> pace() {
        return pace;
    }

    /** Returns what showed the end of the latest answer that an endpoint ended; empty if there was none. */
    public Optional<BodyEnd> bodyEnd() {
        return bodyEnd;
    }

    /** Returns how much of the last event had arrived at that end. */
    public LastEvent lastEvent() {
        return lastEvent;
    }

    /** Returns the endpoint of the latest answer; empty if there was none. */
    public Optional<ListedEndpoint> endpoint() {
        return endpoint;
    }
}
