package org.yuccagw.core.placing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import org.yuccagw.core.deployment.EngineTraits;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.prompt.PromptShape;

/** Selects the endpoint for a request from its candidates: the one of lowest cost that has free capacity. */
final class EndpointSelector {
    private final EndpointScoring scoring;
    private final PrefillPlanner planner;
    private final StreamPacing pacing;
    private final Function<ServiceName, Duration> shortestTarget;
    private final DoubleSupplier tieBreak;

    /**
     * Creates the selector of one entry.
     *
     * @param pacing the speed of engines and the pauses of streams
     * @param shortestTarget returns the shortest first-token target of all prompts of a service
     * @param tieBreak returns a small random cost in milliseconds, so that entries don't all select the same of several
     *     equal endpoints
     */
    EndpointSelector(
            EndpointScoring scoring,
            PrefillPlanner planner,
            StreamPacing pacing,
            Function<ServiceName, Duration> shortestTarget,
            DoubleSupplier tieBreak) {
        this.scoring = scoring;
        this.planner = planner;
        this.pacing = pacing;
        this.shortestTarget = shortestTarget;
        this.tieBreak = tieBreak;
    }

    /**
     * A selected endpoint, its cost and the prediction for the request.
     *
     * @param plan for the prefill of a prompt; empty for a plain call
     * @param pauseCost the part of the cost for pauses of streams, in milliseconds
     * @param firstByteMillis predicted time to the first byte, in milliseconds
     * @param idleFirstByteMillis the same if the engine had nothing else to prefill
     */
    record Selection(
            EndpointState endpoint,
            double cost,
            Optional<PrefillPlan> plan,
            double pauseCost,
            double firstByteMillis,
            double idleFirstByteMillis) {}

    /** Returns the cheapest candidate for a plain call; empty if there are no candidates. */
    Optional<Selection> selectForPlainCall(List<EndpointState> candidates, long nowNanos) {
        FaultBaseline baseline = FaultBaseline.of(candidates);
        List<Selection> scored = new ArrayList<>();
        for (EndpointState candidate : candidates) {
            double cost = scoring.plainCallCost(candidate, baseline, nowNanos) + tieBreak.getAsDouble();
            double firstByte = EndpointScoring.plainWaitMillis(candidate) + EndpointScoring.PLAIN_CALL_MILLIS;
            scored.add(new Selection(candidate, cost, Optional.empty(), 0, firstByte, firstByte));
        }
        return cheapest(scored);
    }

    /**
     * Returns the cheapest candidate with free capacity for a prompt; empty if none has any.
     *
     * @param spareCapacity whether engines could prefill much more than they do. Otherwise pauses cost nothing: an
     *     engine on which a prompt harms fewer streams mostly has to prefill more of it, at the expense of others.
     */
    Optional<Selection> selectForPrompt(
            PlacementRequest request,
            EngineTraits engine,
            List<EndpointState> candidates,
            OptionalLong newestVersion,
            boolean late,
            boolean spareCapacity,
            long nowNanos) {
        PromptShape prompt = request.prompt().orElseThrow();
        Optional<EndpointState> preferred = preferredEndpoint(prompt, candidates);
        Duration shortestOfService = shortestTarget.apply(request.service());
        FaultBaseline baseline = FaultBaseline.of(candidates);
        List<Selection> scored = new ArrayList<>();
        for (EndpointState candidate : candidates) {
            boolean isPreferred = preferred.isPresent() && preferred.get() == candidate;
            PrefillPlan plan = planner.plan(request, candidate, engine, isPreferred);
            FirstTokenEstimate firstToken =
                    FirstTokenEstimate.of(candidate, plan, engine.memoryTokens(), pacing.serviceRate());
            boolean hasCapacity = EngineCapacity.hasFreeCapacity(
                    candidate.totalWork(),
                    plan,
                    engine.memoryTokens(),
                    engine.slots(),
                    firstToken.queueMillis(),
                    request.route().target(),
                    shortestOfService,
                    late);
            if (hasCapacity) {
                boolean outdated = newestVersion.isPresent()
                        && candidate.versionOf(prompt.model()).orElse(0) < newestVersion.getAsLong();
                double pauseCost =
                        spareCapacity ? pacing.cost(request, candidate, firstToken.prefillMillis(), nowNanos) : 0;
                double cost = scoring.promptCost(
                                candidate, prompt, plan, firstToken, isPreferred, outdated, baseline, nowNanos)
                        + pauseCost
                        + tieBreak.getAsDouble();
                scored.add(new Selection(
                        candidate,
                        cost,
                        Optional.of(plan),
                        pauseCost,
                        firstToken.millis(),
                        firstToken.millisOnIdleEngine()));
            }
        }
        return cheapest(scored);
    }

    private static Optional<Selection> cheapest(List<Selection> scored) {
        return scored.stream().min(Comparator.comparingDouble(Selection::cost));
    }

    /**
     * Returns the endpoint preferred for the prompt's session. Endpoints of this entry's failure domain take precedence
     * over all others.
     */
    private Optional<EndpointState> preferredEndpoint(PromptShape prompt, List<EndpointState> candidates) {
        List<EndpointState> sameDomain = candidates.stream()
                .filter(each -> !scoring.isInOtherDomain(each))
                .toList();
        List<EndpointState> pool = sameDomain.isEmpty() ? candidates : sameDomain;
        return prompt.sessionPart()
                .flatMap(part -> pool.stream()
                        .max(Comparator.comparingLong(candidate -> EndpointScoring.sessionWeight(
                                part, candidate.listed().id()))));
    }
}
