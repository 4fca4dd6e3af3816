package org.yuccagw.core.placing;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.deployment.BackEndService;
import org.yuccagw.core.deployment.Deployment;
import org.yuccagw.core.deployment.EngineTraits;
import org.yuccagw.core.follow.NamedWeightsComponent;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.placing.EndpointSelector.Selection;
import org.yuccagw.core.placing.RequestQueue.QueuedRequest;

/**
 * Chooses the endpoint for a request from its candidates, by its service, its target, the newest weight version and
 * whether engines have capacity to spare.
 */
final class EndpointChoice {
    /** Long prompts take a few hundred milliseconds each, so a moment without a queue is no spare capacity. */
    private static final Duration SPARE_AFTER = Duration.ofSeconds(1);

    /** Prompts that avoid streams find fewer of their parts cached and read up to a third more. */
    private static final double MAX_SPARE_PREFILL_SHARE = 0.25;

    private final EndpointTable endpoints;
    private final NamedWeightsComponent weights;
    private final PrefillPlanner planner;
    private final StreamPacing pacing;
    private Optional<Deployment> deployment = Optional.empty();
    private ControlContext context;
    private EndpointSelector selector;
    private long lastWaitingNanos = Long.MIN_VALUE;

    private EndpointChoice(
            EndpointTable endpoints, NamedWeightsComponent weights, PrefillPlanner planner, StreamPacing pacing) {
        this.endpoints = endpoints;
        this.weights = weights;
        this.planner = planner;
        this.pacing = pacing;
    }

    /**
     * Creates the choice of one entry.
     *
     * @param weights the named weight versions
     * @param planner plans the prefill of prompts
     * @param pacing the speed of engines and the pauses of streams
     */
    static EndpointChoice of(
            EndpointTable endpoints, NamedWeightsComponent weights, PrefillPlanner planner, StreamPacing pacing) {
        return new EndpointChoice(endpoints, weights, planner, pacing);
    }

    void start(ControlContext controlContext) {
        context = controlContext;
        selector = new EndpointSelector(
                new EndpointScoring(context.self().domain()),
                planner,
                pacing,
                this::shortestTarget,
                () -> context.random().nextDouble());
    }

    void configure(Deployment applied) {
        deployment = Optional.of(applied);
    }

    /** Records that requests wait for capacity now, so that engines have none to spare. */
    void recordWaiting() {
        lastWaitingNanos = context.nowNanos();
    }

    /** Returns the best of the candidates that have free capacity for the request; empty if none has any. */
    Optional<Selection> select(QueuedRequest queued, List<EndpointState> candidates) {
        Optional<Selection> selection = selectByCost(queued, candidates);
        if (selection.isPresent() && missesTarget(queued, selection.get())) {
            queued.markMissesTarget();
            return selectByCost(queued, candidates);
        }
        return selection;
    }

    /**
     * Returns whether a prompt that can still start in time would start late at the best endpoint. It then yields to
     * others, since to be late by a little earns its caller no more than to be late by a second. Without this, an order
     * by targets makes all prompts of one kind late under overload: each is placed when its time is nearly over.
     */
    private boolean missesTarget(QueuedRequest queued, Selection selection) {
        long now = context.nowNanos();
        return selection.plan().isPresent()
                && !queued.isLate(now)
                && selection.firstByteMillis() > queued.untilTargetMillis(now);
    }

    private Optional<Selection> selectByCost(QueuedRequest queued, List<EndpointState> candidates) {
        PlacementRequest request = queued.request();
        long now = context.nowNanos();
        Optional<EngineTraits> engine =
                deployment.flatMap(known -> known.service(request.service())).flatMap(BackEndService::engine);
        if (request.prompt().isEmpty() || engine.isEmpty()) {
            return selector.selectForPlainCall(candidates, now);
        }
        OptionalLong newest = newestVersion(request.prompt().get().model());
        return selector.selectForPrompt(
                request, engine.get(), candidates, newest, queued.isLate(now), hasSpareCapacity(candidates, now), now);
    }

    /** Returns whether nothing has waited here recently and the engines could prefill much more than they do. */
    private boolean hasSpareCapacity(List<EndpointState> engines, long nowNanos) {
        boolean waitedRecently =
                lastWaitingNanos != Long.MIN_VALUE && nowNanos - lastWaitingNanos <= SPARE_AFTER.toNanos();
        return !waitedRecently && pacing.meanPrefillShare(engines, nowNanos) < MAX_SPARE_PREFILL_SHARE;
    }

    private Duration shortestTarget(ServiceName service) {
        return deployment.flatMap(known -> known.shortestTarget(service)).orElse(Duration.ZERO);
    }

    /**
     * Returns the newest weight version: the one that operators named, or the newest one that an endpoint runs if none
     * has been named yet.
     */
    private OptionalLong newestVersion(String model) {
        OptionalLong named = weights.newest(model);
        return named.isPresent() ? named : endpoints.newestVersion(model);
    }
}
