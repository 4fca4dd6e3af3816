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

/** Chooses the endpoint for a request among those that may take it: the one of the lowest cost that has room. */
final class EndpointChoice {
    private final Scoring scoring;
    private final PromptNeeds needs;
    private final ReadSpeed speed;
    private final Function<ServiceName, Duration> shortestTarget;
    private final DoubleSupplier tieBreak;

    /**
     * The choice of one entry.
     *
     * @param shortestTarget the shortest target of all prompts of a service
     * @param tieBreak some milliseconds at random, so that entries don't all choose the same of equal endpoints
     */
    EndpointChoice(
            Scoring scoring,
            PromptNeeds needs,
            ReadSpeed speed,
            Function<ServiceName, Duration> shortestTarget,
            DoubleSupplier tieBreak) {
        this.scoring = scoring;
        this.needs = needs;
        this.speed = speed;
        this.shortestTarget = shortestTarget;
        this.tieBreak = tieBreak;
    }

    /**
     * An endpoint and what is expected of it.
     *
     * @param need of a prompt; empty for a plain call
     * @param firstByteMillis predicted
     */
    record Chosen(EndpointState endpoint, double cost, Optional<PromptNeed> need, double firstByteMillis) {}

    /** The best candidate for a plain call; empty if there is none. */
    Optional<Chosen> forPlainCall(List<EndpointState> candidates, long nowNanos) {
        UsualFaults faults = UsualFaults.of(candidates);
        List<Chosen> scored = new ArrayList<>();
        for (EndpointState candidate : candidates) {
            double cost = scoring.ofPlainCall(candidate, faults, nowNanos) + tieBreak.getAsDouble();
            double firstByte = Scoring.plainWaitMillis(candidate) + Scoring.PLAIN_MILLIS;
            scored.add(new Chosen(candidate, cost, Optional.empty(), firstByte));
        }
        return cheapest(scored);
    }

    /** The best candidate for a prompt that has room for it; empty if none has. */
    Optional<Chosen> forPrompt(
            PlacementRequest request,
            EngineTraits engine,
            List<EndpointState> candidates,
            OptionalLong newest,
            boolean late,
            long nowNanos) {
        PromptShape prompt = request.prompt().orElseThrow();
        Optional<EndpointState> home = home(prompt, candidates);
        Duration shortest = shortestTarget.apply(request.service());
        UsualFaults faults = UsualFaults.of(candidates);
        List<Chosen> scored = new ArrayList<>();
        for (EndpointState candidate : candidates) {
            boolean expected = home.isPresent() && home.get() == candidate;
            PromptNeed need = needs.of(request, candidate, engine, expected);
            FirstToken first = FirstToken.of(candidate, need, engine.memoryTokens(), speed);
            boolean room = EngineCapacity.hasRoom(
                    candidate.work(),
                    need,
                    engine.memoryTokens(),
                    first.queueMillis(),
                    request.route().target(),
                    shortest,
                    late);
            if (room) {
                boolean old = newest.isPresent()
                        && candidate.versionOf(prompt.model()).orElse(0) < newest.getAsLong();
                double cost = scoring.ofPrompt(candidate, prompt, need, first, expected, old, faults, nowNanos);
                scored.add(new Chosen(candidate, cost + tieBreak.getAsDouble(), Optional.of(need), first.millis()));
            }
        }
        return cheapest(scored);
    }

    private static Optional<Chosen> cheapest(List<Chosen> scored) {
        return scored.stream().min(Comparator.comparingDouble(Chosen::cost));
    }

    /** Where the prompt's session is usually sent from here: to one of the own failure domain, if it has some. */
    private Optional<EndpointState> home(PromptShape prompt, List<EndpointState> candidates) {
        List<EndpointState> near =
                candidates.stream().filter(each -> !scoring.isFar(each)).toList();
        List<EndpointState> pool = near.isEmpty() ? candidates : near;
        return prompt.sessionPart()
                .flatMap(part -> pool.stream()
                        .max(Comparator.comparingLong(candidate ->
                                Scoring.sessionWeight(part, candidate.listed().id()))));
    }
}
