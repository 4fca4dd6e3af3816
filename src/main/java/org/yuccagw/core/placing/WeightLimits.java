package org.yuccagw.core.placing;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.yuccagw.core.duty.WeightOrdersComponent;
import org.yuccagw.core.follow.NamedWeightsComponent;
import org.yuccagw.core.prompt.PromptShape;

/** Decides on which weights a request may begin, by the time since newer ones were named. */
final class WeightLimits {
    /** Time before the end of the limit from which nothing is placed on outdated weights. */
    private static final Duration MARGIN = WeightOrdersComponent.LOADING_MARGIN;

    private final NamedWeightsComponent weights;

    private WeightLimits(NamedWeightsComponent weights) {
        this.weights = weights;
    }

    static WeightLimits of(NamedWeightsComponent weights) {
        return new WeightLimits(weights);
    }

    /**
     * Returns whether the request may be placed on an engine that runs the version. An answer that has begun goes on
     * with its own weights, or with newer ones if those may not be used any more. Requests without a prompt may be
     * placed anywhere.
     */
    boolean permits(PlacementRequest request, OptionalLong version) {
        return request.prompt()
                .map(prompt -> version.isPresent() && permits(request, prompt.model(), version.getAsLong()))
                .orElse(true);
    }

    private boolean permits(PlacementRequest request, String model, long version) {
        OptionalLong begunOn = request.continuation().weights();
        boolean goesOn = begunOn.isEmpty() || continues(model, begunOn.getAsLong(), version);
        return goesOn && isUsable(model, version);
    }

    private boolean continues(String model, long begunOn, long version) {
        return version == begunOn || (version > begunOn && !isUsable(model, begunOn));
    }

    private boolean isUsable(String model, long version) {
        return weights.remaining(model, version)
                .map(remaining -> remaining.compareTo(MARGIN) > 0)
                .orElse(true);
    }

    /** Returns the time within which the request must begin on the version; empty without a limit. */
    Optional<Duration> beginWithin(PlacementRequest request, OptionalLong version) {
        Optional<PromptShape> limited = request.prompt().filter(prompt -> version.isPresent());
        return limited.flatMap(prompt -> weights.remaining(prompt.model(), version.getAsLong()));
    }
}
