package org.yuccagw.core.forward;

import java.util.Optional;
import java.util.OptionalLong;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.notice.EndpointNotice;
import org.yuccagw.core.notice.NoticeReceived;
import org.yuccagw.core.placing.AttemptEnded;
import org.yuccagw.core.placing.AttemptEnded.End;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.port.BodyEnd;

/** One send of a request to an endpoint, and what was received from there. */
final class Leg {
    private final long number;
    private final PlacementDecision.Placed placed;
    private final PaceRecorder pace;
    private final long sentNanos;
    private Optional<EndpointAnswerHead> head = Optional.empty();
    private boolean delivered;
    private boolean silent;
    private Optional<BodyEnd> bodyEnd = Optional.empty();
    private long progressNanos;

    private Leg(long number, PlacementDecision.Placed placed, long nowNanos) {
        this.number = number;
        this.placed = placed;
        this.pace = PaceRecorder.start(nowNanos);
        this.sentNanos = nowNanos;
        this.progressNanos = nowNanos;
    }

    static Leg of(long number, PlacementDecision.Placed placed, long nowNanos) {
        return new Leg(number, placed, nowNanos);
    }

    long number() {
        return number;
    }

    PlacementDecision.Placed placed() {
        return placed;
    }

    EndpointId endpoint() {
        return placed.endpoint().id();
    }

    long sentNanos() {
        return sentNanos;
    }

    PaceRecorder pace() {
        return pace;
    }

    Optional<EndpointAnswerHead> head() {
        return head;
    }

    void recordHead(EndpointAnswerHead received) {
        head = Optional.of(received);
    }

    boolean isSuccess() {
        return head.isPresent() && head.get().isSuccess();
    }

    boolean isFault() {
        return head.isPresent() && head.get().isFault();
    }

    /** Records that the connection to the endpoint is established, so that the request may run there. */
    void recordDelivery() {
        delivered = true;
    }

    boolean isDelivered() {
        return delivered;
    }

    /** Records that the answer has ended, and what showed its end. */
    void recordEnd(BodyEnd end) {
        bodyEnd = Optional.of(end);
    }

    /** Returns what showed the end of the answer; empty if it hasn't ended. */
    Optional<BodyEnd> bodyEnd() {
        return bodyEnd;
    }

    /** Records that a part of the answer arrived that can be forwarded. */
    void recordProgress(long nowNanos) {
        progressNanos = nowNanos;
        silent = false;
    }

    /** Returns the time of the latest progress, or of the send if there was none. */
    long progressNanos() {
        return progressNanos;
    }

    /** Records that no progress was made for longer than expected. */
    void recordSilence() {
        silent = true;
    }

    boolean isSilent() {
        return silent;
    }

    /**
     * Returns what the head of an answer states of the endpoint. An answer without a rate limit is reported only if the
     * endpoint was known to have one, which it ends.
     */
    Optional<NoticeReceived> noticeIn(EndpointAnswerHead received) {
        EndpointNotice notice = received.notice();
        boolean limitStated = notice.rateLimit().isPresent() || received.isGenuine();
        boolean limitKnownAtPlacement = placed.rateLimited() && limitStated;
        if (!received.isOfExpectedEndpoint() || !(notice.hasContent() || limitKnownAtPlacement)) {
            return Optional.empty();
        }
        return Optional.of(new NoticeReceived(placed.endpoint().incarnation(), notice, limitKnownAtPlacement));
    }

    /** Returns the report of the end of this attempt. */
    AttemptEnded ended(End end) {
        return ended(end, head.map(EndpointAnswerHead::version).orElse(OptionalLong.empty()));
    }

    AttemptEnded ended(End end, OptionalLong version) {
        return new AttemptEnded(placed.ticket(), end, version, pace.pace(), success(end));
    }

    private AttemptEnded.Success success(End end) {
        if (end != End.ANSWERED || !isSuccess() || bodyEnd.isEmpty()) {
            return AttemptEnded.Success.NONE;
        }
        return bodyEnd.get() == BodyEnd.CONNECTION ? AttemptEnded.Success.UNPROVEN : AttemptEnded.Success.PROVEN;
    }
}
