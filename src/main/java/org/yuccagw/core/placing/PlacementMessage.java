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
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.core.prompt.PromptShape;
import org.yuccagw.core.stores.CachePlan;

/** What an entry and the lead of its failure domain say to each other of one attempt. */
public sealed interface PlacementMessage extends PeerMessage {
    /** The asking entry's number of the attempt, counted anew in each of its incarnations. */
    long number();

    /**
     * Where should it go? The fields are those of {@link PlacementRequest}.
     *
     * @param route its name; the lead knows what it asks for
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
            OptionalLong pinned,
            long leftMillis)
            implements PlacementMessage {}

    /** No endpoint has room; the answer comes later. */
    record Waiting(long number) implements PlacementMessage {}

    /**
     * It goes there. The fields are those of {@link PlacementDecision.Placed}.
     *
     * @param tokens of the prompt and the expected answer
     * @param unreadTokens of the prompt that the endpoint has to compute
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

    /** It is refused. */
    record Refused(long number, ErrorKind kind, String message, Optional<Duration> retryAfter)
            implements PlacementMessage {}

    /** The lead doesn't know enough to decide. */
    record Undecided(long number) implements PlacementMessage {}

    /** The endpoint has begun to answer. */
    record Begun(long number) implements PlacementMessage {}

    /** The attempt is over, or the place wasn't used. */
    record Ended(long number, AttemptEnded.End end, OptionalLong version) implements PlacementMessage {}
}
