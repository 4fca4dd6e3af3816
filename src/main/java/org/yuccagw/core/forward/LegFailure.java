package org.yuccagw.core.forward;

import java.util.Optional;
import java.util.OptionalLong;
import org.yuccagw.core.placing.AttemptEnded.End;

/**
 * Why an answer can't be forwarded.
 *
 * @param end how the attempt ended
 * @param detail description for logs and error messages
 */
record LegFailure(End end, String detail) {
    /** Returns why an answer can't be the first one that is forwarded; empty if it can. */
    static Optional<LegFailure> ofFirst(EndpointAnswerHead head) {
        if (head.isGenuine()) {
            return Optional.empty();
        }
        return Optional.of(new LegFailure(End.BROKEN, "status " + head.status() + " is no answer to this request"));
    }

    /** Returns why an answer can't take the place of one that is silent, or of a held error; empty if it can. */
    static Optional<LegFailure> ofReplacement(EndpointAnswerHead head) {
        if (head.isFault() || head.impliesNotRun()) {
            return Optional.of(new LegFailure(End.FAULT, "status " + head.status()));
        }
        return ofFirst(head);
    }

    /**
     * Returns why an answer can't continue a stream whose first events were forwarded; empty if it can.
     *
     * @param version weight version that was demanded of the endpoint, empty if none was
     */
    static Optional<LegFailure> ofResumed(EndpointAnswerHead head, OptionalLong version) {
        if (!head.isGenuine()) {
            return ofFirst(head);
        }
        if (!head.isSuccess()) {
            return Optional.of(new LegFailure(End.FAULT, "status " + head.status() + " to a resumed stream"));
        }
        if (version.isPresent() && !head.version().equals(version)) {
            return Optional.of(new LegFailure(End.WRONG_VERSION, "the resumed stream has other weights"));
        }
        return Optional.empty();
    }
}
