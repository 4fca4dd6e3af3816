package org.yuccagw.core.forward;

import com.google.common.collect.ImmutableSet;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.notice.NoticeReceived;
import org.yuccagw.core.origin.StreamBegun;
import org.yuccagw.core.placing.AttemptBegun;
import org.yuccagw.core.placing.AttemptEnded;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.placing.PlacementRequest;
import org.yuccagw.core.placing.StreamContinuation;

/** The side effects of a {@link ForwardMachine}. All methods are called on one thread and must not block. */
public interface ForwardEffects {
    /** Returns the monotonic time in nanoseconds. */
    long nowNanos();

    /**
     * Requests an endpoint. The result is passed to {@link ForwardMachine#onPlacementDecision}.
     *
     * @param excluded endpoints that must not be chosen
     * @param continuation what the part of the answer that the caller has received requires
     * @param remaining time until the deadline of the request
     */
    void requestPlacement(
            ImmutableSet<EndpointId> excluded,
            PlacementRequest.Kind kind,
            StreamContinuation continuation,
            Duration remaining);

    /**
     * Requests one of the endpoints on which the request has run before. The result is passed to {@link
     * ForwardMachine#onPlacementDecision}.
     *
     * @param permitted endpoints of which one must be chosen
     */
    void requestReturn(ImmutableSet<EndpointId> permitted, StreamContinuation continuation, Duration remaining);

    /**
     * Sends the request to the chosen endpoint.
     *
     * @param leg number of the send
     * @param remaining time that the endpoint has for its answer
     * @param afterEvent id of the event after which the stream starts
     * @param newConnection whether to open a new connection for the request
     */
    void send(long leg, PlacementDecision.Placed placed, Duration remaining, long afterEvent, boolean newConnection);

    /** Closes the connection of the leg. No further events of the leg are reported. */
    void abandon(long leg);

    /** Pauses reading the answer of the leg until {@link #resumeReading}. */
    void pauseReading(long leg);

    /** Resumes reading the answer of the leg. */
    void resumeReading(long leg);

    /** Calls {@link ForwardMachine#onTimer} after the delay. */
    void schedule(ForwardMachine.TimerKind kind, long leg, Duration delay);

    /** Starts the answer to the caller with the head that was received on the leg. */
    void answerHead(long leg);

    /** Forwards bytes of the answer to the caller. The buffer is valid only during the call. */
    void answerBytes(ByteBuffer bytes);

    /** Ends the answer to the caller as complete. */
    void answerEnd();

    /** Aborts an answer that has started and cannot be completed, so that the caller detects that it is incomplete. */
    void abortAnswer();

    /** Answers the caller with an error. Called only before the answer has started. */
    void answerError(YuccagwException error);

    /** Reports that the endpoint of an attempt has started its answer. */
    void report(AttemptBegun begun);

    /** Reports what began the stream, before its first event is forwarded. */
    void report(StreamBegun begun);

    /** Reports how an attempt ended. */
    void report(AttemptEnded ended);

    /** Reports the notice of an endpoint in the head of its answer. */
    void report(NoticeReceived received);

    /** Reports what became of an attempt whose endpoint was silent. */
    void reportSilence(SilenceOutcome outcome);

    /** Logs a decision about this request. */
    void explain(String decision, String detail);

    /** Reports that the request has ended. Called exactly once. */
    void ended(String outcome);
}
