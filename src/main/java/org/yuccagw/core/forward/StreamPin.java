package org.yuccagw.core.forward;

import java.util.Optional;
import java.util.OptionalLong;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.origin.StreamBegun;
import org.yuccagw.core.origin.StreamOrigin;
import org.yuccagw.core.placing.StreamContinuation;

/**
 * What an answer is bound to once its caller has received a part of it: the weight version of its head, and the
 * software version of the first event of its stream, which may have come with an earlier request of the caller.
 */
final class StreamPin {
    private final ForwardRequest request;
    private final ForwardEffects effects;
    private OptionalLong weights = OptionalLong.empty();
    private Optional<RequestId> begunBy;
    private boolean eventsForwarded;

    private StreamPin(ForwardRequest request, ForwardEffects effects) {
        this.request = request;
        this.effects = effects;
        this.begunBy = request.takenUp();
    }

    static StreamPin of(ForwardRequest request, ForwardEffects effects) {
        return new StreamPin(request, effects);
    }

    /** Records the head that the caller is sent, or with which the stream goes on at another endpoint. */
    void recordHead(EndpointAnswerHead head) {
        weights = head.version().isPresent() ? head.version() : weights;
    }

    OptionalLong weights() {
        return weights;
    }

    /** Returns whether the caller has received an event, in this answer or before. */
    boolean isBegun() {
        return begunBy.isPresent();
    }

    /** Called before events are forwarded; reports the first ones of this answer. */
    void recordEvents(Leg leg) {
        if (eventsForwarded) {
            return;
        }
        eventsForwarded = true;
        RequestId began = begunBy.orElse(request.id());
        begunBy = Optional.of(began);
        ListedEndpoint endpoint = leg.placed().endpoint();
        StreamOrigin origin = new StreamOrigin(began, endpoint.service(), endpoint.software());
        effects.report(new StreamBegun(origin, endpoint.incarnation(), request.callerTimeout()));
    }

    /** Returns what the endpoint that goes on with the answer must run. */
    StreamContinuation continuation() {
        return StreamContinuation.of(weights, begunBy);
    }
}
