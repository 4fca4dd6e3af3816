package org.yuccagw.core.placing;

import java.util.OptionalLong;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.fleet.ModelWeights;
import org.yuccagw.core.follow.NamedWeightsComponent;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.notice.NoticesComponent;
import org.yuccagw.core.placing.AttemptEnded.End;

/**
 * Learns from the end of each attempt about its endpoint: whether it is sound, reachable, at capacity or gone, and
 * which weight version it runs. Also records the requests during which endpoints failed.
 */
final class AttemptOutcomes {
    private final EndpointTable endpoints;
    private final SuspectRequests suspects;
    private final CrashDetector crashes;
    private final NamedWeightsComponent weights;
    private final NoticesComponent notices;
    private final RejectionLimits rejectionLimits;
    private final PlacementComponent.Fleet fleet;
    private ControlContext context;

    private AttemptOutcomes(
            EndpointTable endpoints,
            SuspectRequests suspects,
            CrashDetector crashes,
            NamedWeightsComponent weights,
            NoticesComponent notices,
            RejectionLimits rejectionLimits,
            PlacementComponent.Fleet fleet) {
        this.endpoints = endpoints;
        this.suspects = suspects;
        this.crashes = crashes;
        this.weights = weights;
        this.notices = notices;
        this.rejectionLimits = rejectionLimits;
        this.fleet = fleet;
    }

    /**
     * Creates the learning of one entry.
     *
     * @param suspects receives the requests during which endpoints failed
     * @param crashes finds out which failures were crashes
     * @param notices counts the attempts that were answered and those that weren't
     * @param rejectionLimits counts the rejections
     * @param fleet receives reports of failures
     */
    static AttemptOutcomes of(
            EndpointTable endpoints,
            SuspectRequests suspects,
            CrashDetector crashes,
            NamedWeightsComponent weights,
            NoticesComponent notices,
            RejectionLimits rejectionLimits,
            PlacementComponent.Fleet fleet) {
        return new AttemptOutcomes(endpoints, suspects, crashes, weights, notices, rejectionLimits, fleet);
    }

    void start(ControlContext controlContext) {
        context = controlContext;
    }

    /** Records that the answer to a prompt has started. */
    void recordBegun(Attempt attempt) {
        notices.recordAnswer(attempt.endpoint.listed().incarnation(), attempt.sentNanos);
        rejectionLimits.recordAnswer(attempt.endpoint);
    }

    /** Records that an attempt has ended, after its work was subtracted. */
    void record(AttemptEnded ended, Attempt attempt) {
        EndpointIncarnation incarnation = attempt.endpoint.listed().incarnation();
        if (ended.version().isPresent() && attempt.model().isPresent()) {
            endpoints.updateWeights(
                    incarnation,
                    new ModelWeights(attempt.model().get(), ended.version().getAsLong()));
        }
        applyEnd(attempt.endpoint, ended.end(), attempt);
        if (ended.end() == End.ANSWERED || ended.end() == End.FAULT) {
            notices.recordAnswer(incarnation, attempt.sentNanos);
            rejectionLimits.recordAnswer(attempt.endpoint);
        } else {
            notices.recordUnanswered(incarnation);
        }
        updateSuspects(ended.end(), attempt.request.fingerprint(), incarnation);
        crashes.record(ended, attempt);
    }

    private void updateSuspects(End end, String fingerprint, EndpointIncarnation incarnation) {
        if (end == End.ANSWERED) {
            suspects.clear(fingerprint);
        } else if (end == End.BROKEN) {
            suspects.add(fingerprint, incarnation, context.nowNanos());
            fleet.sendToAllPlacers(new BreakReported(fingerprint, incarnation));
        }
    }

    private void applyEnd(EndpointState endpoint, End end, Attempt attempt) {
        long now = context.nowNanos();
        switch (end) {
            case ANSWERED -> {
                endpoint.recordReached();
                endpoint.recordOutcome(false);
            }
            case FAULT -> {
                endpoint.recordReached();
                endpoint.recordOutcome(true);
            }
            case SHED -> {
                endpoint.recordShed(now);
                rejectionLimits.recordRejection(endpoint);
            }
            case WRONG_ENDPOINT -> {
                endpoint.markLeaving();
                context.perform(Decision.of("endpoint-gone")
                        .with("endpoint", endpoint.listed().incarnation()));
            }
            case WRONG_VERSION -> attempt.model().ifPresent(model -> assumeNewestVersion(endpoint, model));
            case UNREACHED -> {
                endpoint.recordUnreached(now);
                context.perform(Decision.of("endpoint-avoided")
                        .with("endpoint", endpoint.listed().incarnation())
                        .with("unreached_in_row", endpoint.consecutiveUnreached()));
            }
            case BROKEN, SILENT -> endpoint.recordOutcome(true);
            default -> {}
        }
    }

    /**
     * Handles an endpoint that runs another weight version than known. It is assumed to run the newest named version,
     * since engines only ever move to that one.
     */
    private void assumeNewestVersion(EndpointState endpoint, String model) {
        OptionalLong named = weights.newest(model);
        if (named.isPresent() && endpoint.versionOf(model).orElse(0) < named.getAsLong()) {
            endpoint.recordReportedVersion(new ModelWeights(model, named.getAsLong()), context.nowNanos());
        } else {
            endpoint.recordShed(context.nowNanos());
        }
    }
}
