package org.yuccagw.core.request;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.claim.ClaimDecision;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.retry.RetryDecision;
import org.yuccagw.core.routing.ImportPlan;

/**
 * The effects of {@link RequestMachine} on its environment. Each request is answered by one call of the method of the
 * machine that its comment names, on the thread of the request.
 */
public interface RequestEffects {
    /** Returns the monotonic time. */
    long nowNanos();

    /** Requests admission. Answered by {@link RequestMachine#onAdmitted}. */
    void requestAdmission();

    /** Requests the claim of the idempotency key. Answered by {@link RequestMachine#onClaim}. */
    void requestClaim();

    /** Looks up the idempotency key without a claim. Answered by {@link RequestMachine#onClaimLookup}. */
    void lookUpClaim();

    /** Requests the decision of the quarantine. Answered by {@link RequestMachine#onQuarantineDecision}. */
    void requestQuarantineDecision();

    /**
     * Requests an endpoint. Answered by {@link RequestMachine#onRoute}.
     *
     * @param version weight version that the endpoint must run; empty if any
     * @param software software version that the endpoint must run; empty if any
     * @param excluded endpoints that must not be chosen
     * @param isolated whether the prompt must run isolated
     */
    void requestRoute(
            Optional<WeightVersion> version,
            Optional<SoftwareVersion> software,
            ImmutableSet<EndpointId> excluded,
            boolean isolated);

    /**
     * Imports cached blocks into the engine. Answered by {@link RequestMachine#onImported}, at the latest after the
     * deadline of the plan.
     */
    void startImport(long attempt, EndpointStatus endpoint, ImportPlan plan);

    /**
     * Sends the request to an endpoint. Answered by onHead, onPiece, onBytes, onUsage, onDone and onFailure with the
     * same leg.
     *
     * @param leg number of this connection, which distinguishes its events from late events of an earlier one
     * @param textSoFar text that the caller has already received and that the engine continues
     * @param piecesSoFar number of pieces of that text
     */
    void send(long leg, long attempt, EndpointStatus endpoint, String textSoFar, long piecesSoFar);

    /** Resumes the stream after piece {@code from} over a new connection. Answered like {@link #send}. */
    void resume(long leg, EndpointStatus endpoint, String stream, long from);

    /** Closes the connection of a leg. No further events of the leg follow. */
    void abandon(long leg);

    /** Checks whether the endpoint is alive. Answered by {@link RequestMachine#onProbed}. */
    void probe(long leg, EndpointStatus endpoint);

    /** Makes the engine cancel a stream without reader after the wait. */
    void cancelStream(EndpointStatus endpoint, String stream, Duration wait);

    /** Starts a timer. Answered by {@link RequestMachine#onTimer} with the same kind and leg. */
    void schedule(RequestMachine.TimerKind kind, long leg, Duration delay);

    /**
     * Decides whether the retry table and the retry budget allow another attempt, and after which delay. Debits the
     * budget if they do.
     *
     * @param mayHaveRunBefore whether an attempt before the failed one may have run
     * @param attemptsMade number of attempts that were sent, the failed one included
     */
    RetryDecision decideRetry(AttemptFailure failure, boolean mayHaveRunBefore, int attemptsMade);

    /** Credits the retry budget after a whole answer. */
    void creditRetryBudget();

    /** Sends an event to the control core. */
    void report(ControlEvent event);

    // Effects on the caller.

    /**
     * Starts the answer.
     *
     * @param head head of the endpoint's answer
     * @param endpoint endpoint that runs the request
     */
    void answerHead(AnswerHead head, EndpointStatus endpoint);

    /** Sends the next piece of a model's answer; {@code index} counts from 1 without gaps. */
    void answerPiece(long index, String text);

    /** Sends the next bytes of a plain answer. The buffer is valid only during the call. */
    void answerBytes(java.nio.ByteBuffer bytes);

    /** Ends a whole answer. */
    void answerEnd(Optional<Usage> usage);

    /** Sends the final error: before the head as the whole answer, after it as the end of the stream. */
    void answerError(YuccagwException error);

    /** Follows the answer of another request with the same key, which runs through the given entry. */
    void follow(EntryId entry, RequestId request);

    /** Sends the retained answer of an earlier request with the same key. */
    void replay(ClaimDecision.KeptAnswer answer);

    /** Returns the whole answer that was sent to the caller, if it is small enough to retain. */
    Optional<ClaimDecision.KeptAnswer> keptAnswer();

    /** Called when the request has ended. Only releases of grants that arrive late follow this effect. */
    void ended();
}
