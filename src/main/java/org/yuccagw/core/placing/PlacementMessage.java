package org.yuccagw.core.placing;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.core.prompt.PromptShape;
import org.yuccagw.core.stores.CachePlan;

/** The messages between an entry and the lead of its failure domain about one attempt. */
public sealed interface PlacementMessage extends PeerMessage {
    /**
     * Returns the number of the attempt, which the querying entry assigns. No incarnation of it uses the number of
     * another one, for which a placement may still be sent.
     */
    long number();

    /**
     * Requests a placement. The fields are those of {@link PlacementRequest}. An entry of an earlier release ignores
     * the software version, so the asking entry checks the endpoint that it is given.
     *
     * @param route the route's name; the lead looks up its settings
     */
    record Ask(
            long number,
            RequestId request,
            String route,
            ServiceName service,
            Optional<WorkspaceId> workspace,
            Optional<PromptShape> prompt,
            String fingerprint,
            ImmutableSet<EndpointId> excluded,
            PlacementRequest.Kind kind,
            OptionalLong weights,
            Optional<SoftwareVersion> software,
            long leftMillis)
            implements PlacementMessage {}

    /** No endpoint has free capacity; the decision follows later. */
    record Waiting(long number) implements PlacementMessage {}

    /**
     * The request is placed. The fields are those of {@link PlacementDecision.Placed}.
     *
     * @param tokens of the prompt and the expected answer
     * @param unreadTokens prompt tokens that the endpoint has to prefill
     */
    record Placed(
            long number,
            EndpointIncarnation endpoint,
            OptionalLong version,
            Optional<String> salt,
            Optional<CachePlan> cache,
            int urgency,
            long firstByteMillis,
            long tokens,
            long unreadTokens,
            boolean rateLimited)
            implements PlacementMessage {}

    /** The request is refused. */
    record Refused(long number, ErrorKind kind, String message, Optional<Duration> retryAfter)
            implements PlacementMessage {}

    /** The lead lacks the configuration to decide. */
    record Undecided(long number) implements PlacementMessage {}

    /**
     * The lead no longer counts the attempt, because it has not heard the entry for too long. An entry that still runs
     * it counts it as its own work from now on.
     */
    record Dropped(long number) implements PlacementMessage {}

    /** The endpoint has started its answer. */
    record Begun(long number) implements PlacementMessage {}

    /** The attempt has ended, or the placement wasn't used. The fields are those of {@link AttemptEnded}. */
    record Ended(
            long number,
            AttemptEnded.End end,
            OptionalLong version,
            Optional<AnswerPace> pace,
            AttemptEnded.Success success)
            implements PlacementMessage {}
}
