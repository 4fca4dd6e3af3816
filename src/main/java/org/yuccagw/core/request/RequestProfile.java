package org.yuccagw.core.request;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.claim.Claim;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.core.quarantine.PromptFingerprint;
import org.yuccagw.core.suspect.SuspectPart;

/**
 * The properties of a request on which {@link RequestMachine} depends.
 *
 * @param model whether the request is sent to a model engine; otherwise to a plain service
 * @param idempotent whether the request may run more than once
 * @param streamed whether the answer is streamed to the caller
 * @param claim present if the caller sent an idempotency key
 * @param fingerprint identifies the prompt in the quarantine
 * @param parts shared parts of the prompt
 * @param answerDeadline maximum time for the whole answer
 * @param resumeGrace time for which the engine retains the stream of a caller that disconnected
 * @param resumePoint position at which to resume an answer that an earlier request started
 */
public record RequestProfile(
        RequestId request,
        WorkspaceId workspace,
        ServiceName service,
        boolean model,
        boolean idempotent,
        boolean streamed,
        Optional<Claim> claim,
        PromptFingerprint fingerprint,
        ImmutableSet<SuspectPart> parts,
        Duration answerDeadline,
        Duration resumeGrace,
        Optional<ResumePoint> resumePoint) {

    /**
     * The position at which to resume an answer that an earlier request started.
     *
     * @param stream identifier of the stream on the engine
     * @param software version of the engine's software; empty if it isn't known, in which case the run can't continue
     *     on another endpoint
     * @param from number of pieces that the caller has received
     * @param textSoFar the text of those pieces; empty if the caller didn't send it, in which case the run can't
     *     continue on another endpoint
     */
    public record ResumePoint(
            EndpointId endpoint,
            String stream,
            WeightVersion version,
            Optional<SoftwareVersion> software,
            long from,
            Optional<String> textSoFar) {}
}
