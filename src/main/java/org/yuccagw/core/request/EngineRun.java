package org.yuccagw.core.request;

import java.time.Duration;
import org.yuccagw.core.endpoint.AttemptObserved;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.quarantine.EndpointTerminated;
import org.yuccagw.core.routing.AttemptReport;
import org.yuccagw.core.suspect.PromptAnswered;

/** The run of a request on one endpoint, from its placement to its end, over one or more connections. */
final class EngineRun {
    /** The attempt of a run that another request placed, or of none. */
    static final long NO_ATTEMPT = -1;

    private final long attempt;
    private final EndpointStatus endpoint;
    private final long piecesBefore;
    private String stream = "";
    private long sentNanos;
    private boolean ended;

    private EngineRun(long attempt, EndpointStatus endpoint, long piecesBefore) {
        this.attempt = attempt;
        this.endpoint = endpoint;
        this.piecesBefore = piecesBefore;
    }

    /**
     * Returns a run that was placed on an endpoint.
     *
     * @param piecesBefore number of pieces that the caller had received before this run
     */
    static EngineRun of(long attempt, EndpointStatus endpoint, long piecesBefore) {
        return new EngineRun(attempt, endpoint, piecesBefore);
    }

    /** Returns what stands for a run before the first placement. It has no endpoint. */
    static EngineRun unplaced() {
        return new EngineRun(NO_ATTEMPT, null, 0);
    }

    /** Returns what stands for a run between two placements, with the endpoint of the earlier one. */
    static EngineRun unplaced(EndpointStatus earlierEndpoint) {
        return new EngineRun(NO_ATTEMPT, earlierEndpoint, 0);
    }

    long attempt() {
        return attempt;
    }

    EndpointStatus endpoint() {
        return endpoint;
    }

    long piecesBefore() {
        return piecesBefore;
    }

    String stream() {
        return stream;
    }

    /** Whether the engine has named the stream of the answer, so that it can be resumed and cancelled. */
    boolean hasStream() {
        return !stream.isEmpty();
    }

    void startStream(String name) {
        stream = name;
    }

    void sent(RequestEffects effects) {
        sentNanos = effects.nowNanos();
        effects.report(new AttemptReport.Sent(attempt));
    }

    /** Reports that the endpoint sent the whole answer. */
    void reportAnswer(RequestEffects effects, RequestProfile profile) {
        observe(effects, AttemptObserved.Outcome.ANSWERED);
        effects.report(new PromptAnswered(profile.parts()));
    }

    /** Reports that the endpoint terminated during this run. */
    void reportTermination(RequestEffects effects, RequestProfile profile) {
        observe(effects, AttemptObserved.Outcome.DIED);
        EndpointIncarnation start = EndpointIncarnation.of(endpoint.id(), endpoint.incarnation());
        Duration sentAge = Duration.ofNanos(effects.nowNanos() - sentNanos);
        effects.report(new EndpointTerminated(profile.fingerprint(), profile.parts(), start, sentAge));
    }

    /** Reports the time of the first token; returns whether the run has an attempt to report it for. */
    boolean reportFirstToken(RequestEffects effects) {
        if (attempt == NO_ATTEMPT || ended) {
            return false;
        }
        long millis = (effects.nowNanos() - sentNanos) / 1_000_000;
        effects.report(new AttemptReport.FirstToken(attempt, millis));
        return true;
    }

    void observe(RequestEffects effects, AttemptObserved.Outcome outcome) {
        effects.report(new AttemptObserved(endpoint.id(), endpoint.incarnation(), outcome));
    }

    /** Makes the engine cancel the stream, if there is one, after the grace time. */
    void cancelStream(RequestEffects effects, Duration grace) {
        if (hasStream()) {
            effects.cancelStream(endpoint, stream, grace);
        }
    }

    /** Reports the end of the attempt, once. */
    void end(RequestEffects effects, boolean answered, long cachedTokens, long piecesSent) {
        if (attempt == NO_ATTEMPT || ended) {
            return;
        }
        ended = true;
        effects.report(new AttemptReport.Ended(attempt, answered, cachedTokens, piecesSent - piecesBefore));
    }
}
