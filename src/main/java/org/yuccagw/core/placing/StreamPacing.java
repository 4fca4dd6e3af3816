package org.yuccagw.core.placing;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.pacing.ServicePacing;
import org.yuccagw.core.placing.AttemptEnded.End;
import org.yuccagw.core.prompt.PromptShape;

/**
 * The speed of engines and the pauses of streams, as the placements of this entry show them.
 *
 * <p>Answers the load at which long prompts are prefilled beside running streams while engines have capacity to spare:
 * short answers start at once and then pause for longer than their callers allow. Placement adds the predicted pauses
 * to its costs then. It doesn't under a heavier load, at which prompts that avoid streams have to prefill more than the
 * avoided pauses are worth.
 */
final class StreamPacing {
    private final PrefillRate serviceRate = new PrefillRate();
    private final Map<ServiceName, ServicePacing> services = new HashMap<>();

    private int runningStreams;

    private StreamPacing() {}

    static StreamPacing create() {
        return new StreamPacing();
    }

    /** Returns the prefill rate of the fastest engines. */
    PrefillRate serviceRate() {
        return serviceRate;
    }

    /**
     * Returns the cost of the pauses that a placement causes, in milliseconds of a caller's time.
     *
     * @param prefillMillis predicted time of the prompt's prefill on the engine
     */
    double cost(PlacementRequest request, EndpointState endpoint, double prefillMillis, long nowNanos) {
        Duration maxGap = request.route().maxGap();
        if (maxGap.isZero()) {
            return 0;
        }
        int answerTokens = request.prompt().map(PromptShape::answerTokens).orElse(0);
        double weight = RequestPriority.of(request).pauseWeight();
        int peerStreams = endpoint.totalWork().requests() - endpoint.localWork().requests();
        return of(request.service())
                .cost(
                        endpoint.streams(),
                        Math.max(0, peerStreams),
                        prefillMillis,
                        answerTokens,
                        maxGap,
                        weight,
                        nowNanos);
    }

    /** Returns the share of time that the engines need for their prefill, on average. */
    double meanPrefillShare(List<EndpointState> engines, long nowNanos) {
        return engines.stream()
                .mapToDouble(engine -> engine.streams().prefillShare(nowNanos))
                .average()
                .orElse(0);
    }

    /** Records that a prompt was sent to its engine. */
    void recordPlaced(long ticket, Attempt attempt) {
        Duration maxGap = attempt.request.route().maxGap();
        if (attempt.plan.isEmpty() || maxGap.isZero()) {
            return;
        }
        int tokens = attempt.plan.get().prefillTokens();
        double prefillMillis = attempt.endpoint.speed().millisFor(tokens, serviceRate);
        runningStreams++;
        double weight = RequestPriority.of(attempt.request).pauseWeight();
        attempt.endpoint.streams().add(ticket, prefillMillis, maxGap, weight, attempt.sentNanos);
    }

    /** Learns the speed of an engine that had nothing else to prefill when the attempt was sent. */
    void learnPrefill(Attempt attempt, long nowNanos) {
        PrefillPlan plan = attempt.plan.orElseThrow();
        if (attempt.engineWasIdle && plan.fetchTokens() == 0) {
            double millis = (nowNanos - attempt.sentNanos) / 1e6 - FirstTokenEstimate.START_MILLIS;
            serviceRate.addSample(plan.prefillTokens(), millis).ifPresent(attempt.endpoint.speed()::addSample);
        }
    }

    /** Records that an engine started an answer, so that it may have nothing left to prefill. */
    void recordBegun(EndpointState endpoint, long nowNanos) {
        if (endpoint.totalWork().unreadTokens() <= 0) {
            endpoint.streams().recordIdle(nowNanos);
        }
    }

    /** Returns the number of streams that haven't ended. */
    int runningStreams() {
        return runningStreams;
    }

    /**
     * Learns from the pauses of an answer that has ended.
     *
     * @return the line of the log if this changed what is believed of the service
     */
    Optional<Decision> recordEnded(AttemptEnded ended, Attempt attempt) {
        double[] interruptions = attempt.endpoint.streams().remove(ended.ticket());
        if (attempt.plan.isPresent() && !attempt.request.route().maxGap().isZero()) {
            runningStreams--;
        }
        if (ended.end() != End.ANSWERED || ended.pace().isEmpty()) {
            return Optional.empty();
        }
        AnswerPace pace = ended.pace().get();
        ServicePacing service = of(attempt.request.service());
        if (pace.events() > 1) {
            long maxGapMillis = attempt.request.route().maxGap().toMillis();
            service.learnPause(interruptions, pace.longestGapMillis() > maxGapMillis);
        }
        int answerTokens =
                attempt.request.prompt().map(PromptShape::answerTokens).orElse(0);
        service.learnTokenTime(answerTokens, (pace.events() - 1.0) * pace.meanGapMillis());
        return changedBelief(attempt.request.service(), service);
    }

    private static Optional<Decision> changedBelief(ServiceName name, ServicePacing service) {
        if (!service.hasChangedSinceReport()) {
            return Optional.empty();
        }
        return Optional.of(Decision.of("pause-risk")
                .with("service", name)
                .with("quarter", service.riskOf(0.25))
                .with("half", service.riskOf(0.5))
                .with("whole", service.riskOf(1))
                .with("token_ms", service.tokenMillis()));
    }

    private ServicePacing of(ServiceName service) {
        return services.computeIfAbsent(service, name -> ServicePacing.create());
    }
}
