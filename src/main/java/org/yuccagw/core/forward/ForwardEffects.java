package org.yuccagw.core.forward;

import com.google.common.collect.ImmutableSet;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.OptionalLong;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.notice.NoticeReceived;
import org.yuccagw.core.placing.AttemptBegun;
import org.yuccagw.core.placing.AttemptEnded;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.placing.PlacementRequest;

/** What {@link ForwardMachine} asks of its surroundings; all on one thread, none of it blocks. */
public interface ForwardEffects {
    /** Monotonic time in nanoseconds. */
    long nowNanos();

    /** Asks for an endpoint; the answer comes by {@link ForwardMachine#onPlaced}. */
    void askPlace(ImmutableSet<EndpointId> excluded, PlacementRequest.Kind kind, OptionalLong pinned, Duration left);

    /**
     * Sends the request.
     *
     * @param left time that the endpoint is given
     * @param afterEvent event after which the stream is to go on
     * @param fresh over a connection opened for it
     */
    void send(long leg, PlacementDecision.Placed placed, Duration left, long afterEvent, boolean fresh);

    /** Closes the leg's connection; nothing more is heard of it. */
    void abandon(long leg);

    /** Stops reading the leg's answer, until {@link #readOn}. */
    void hold(long leg);

    void readOn(long leg);

    /** Calls {@link ForwardMachine#onTimer} after the delay. */
    void schedule(ForwardMachine.TimerKind kind, long leg, Duration delay);

    /** Begins the caller's answer with the head that arrived on the leg. */
    void answerHead(long leg);

    /** Passes bytes on; the buffer is valid during the call only. */
    void answerBytes(ByteBuffer bytes);

    /** The answer is whole. */
    void answerEnd();

    /** Ends an answer that has begun and can't be made whole, so that the caller sees that it isn't. */
    void cut();

    /** Answers with an error; only for an answer that has not begun. */
    void answerError(YuccagwException error);

    /** Tells that the answer to an attempt has begun. */
    void report(AttemptBegun begun);

    /** Tells how an attempt ended. */
    void report(AttemptEnded ended);

    /** Tells what the head of an answer says of its endpoint. */
    void report(NoticeReceived received);

    /** One line about a decision on this request. */
    void explain(String decision, String detail);

    /** The request is over; called once. */
    void ended(String outcome);
}
