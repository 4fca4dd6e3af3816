package org.yuccagw.core.placing;

import java.time.Duration;
import java.util.OptionalLong;
import org.yuccagw.core.duty.WeightOrdersComponent;
import org.yuccagw.core.follow.NamedWeightsComponent;

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
     * with its own weights. Requests without a prompt may be placed anywhere.
     */
    boolean permits(PlacementRequest request, OptionalLong version) {
        return request.prompt()
                .map(prompt -> version.isPresent() && permits(request, prompt.model(), version.getAsLong()))
                .orElse(true);
    }

    private boolean permits(PlacementRequest request, String model, long version) {
        OptionalLong begunOn = request.continuation().weights();
        return begunOn.isPresent() ? version == begunOn.getAsLong() : isUsable(model, version);
    }

    private boolean isUsable(String model, long version) {
        return weights.remaining(model, version)
                .map(remaining -> remaining.compareTo(MARGIN) > 0)
                .orElse(true);
    }
}
