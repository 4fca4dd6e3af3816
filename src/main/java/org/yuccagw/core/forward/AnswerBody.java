package org.yuccagw.core.forward;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.yuccagw.core.deployment.Route;
import org.yuccagw.core.port.BodyEnd;
import org.yuccagw.core.stream.EventFramer;
import org.yuccagw.core.stream.EventScanner;

/**
 * The body of the answer that is forwarded to the caller, whichever legs it comes from.
 *
 * <p>The events of a resumable stream are forwarded when they are complete, so that another endpoint can continue after
 * the last one. Any other body is forwarded as it arrives.
 */
final class AnswerBody {
    private final Route route;
    private final EventScanner scanner;
    private final EventFramer framer;
    private boolean hasEvents;

    private AnswerBody(Route route, long afterEvent) {
        this.route = route;
        this.scanner = EventScanner.after(afterEvent);
        this.framer = EventFramer.of(scanner);
    }

    /** Returns the body of the answer to a request that has not been answered yet. */
    static AnswerBody of(ForwardRequest request) {
        return new AnswerBody(request.route(), request.afterEvent());
    }

    /** Called with the head of the answer before any bytes. */
    void begin(EndpointAnswerHead head) {
        hasEvents = route.streamed() && head.isSuccess();
    }

    /** Returns whether another endpoint can continue the answer after the last event that was forwarded. */
    boolean isResumable() {
        return hasEvents && route.isResumableStream();
    }

    /** Returns the id of the last complete event, or of the event after which the request starts. */
    long lastEventId() {
        return scanner.lastId();
    }

    /** Adds received bytes and returns the bytes that can be forwarded now, possibly none. */
    ByteBuffer accept(ByteBuffer bytes) {
        if (isResumable()) {
            return framer.accept(bytes);
        }
        if (hasEvents) {
            scanner.scan(bytes);
        }
        return bytes;
    }

    /** Returns why the body can't be continued by its endpoint; empty if it can. */
    Optional<String> defect() {
        return framer.isTooLarge() ? Optional.of("an event has no end") : Optional.empty();
    }

    /**
     * Returns why the body isn't complete although its endpoint ended it; empty if it is.
     *
     * @param end what showed the end
     */
    Optional<String> defectAtEnd(BodyEnd end) {
        return hasEvents ? scanner.defectAtEnd(end) : Optional.empty();
    }

    /** Continues with another leg after the last complete event, since the present one has ended or is given up. */
    void continueWithOtherLeg() {
        if (hasEvents) {
            framer.continueWithOtherSender();
        }
    }

    /** Returns how far the events of the body have arrived. */
    LastEvent lastEvent() {
        if (!hasEvents) {
            return LastEvent.NONE;
        }
        if (scanner.isInsideEvent()) {
            return LastEvent.PARTIAL;
        }
        return scanner.completeEvents() > 0 ? LastEvent.WHOLE : LastEvent.NONE;
    }
}
