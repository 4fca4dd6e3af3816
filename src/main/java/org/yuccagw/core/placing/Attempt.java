package org.yuccagw.core.placing;

import java.util.Optional;
import org.yuccagw.core.prompt.PromptShape;

/** An attempt that was placed here and is in progress. */
final class Attempt {
    final EndpointState endpoint;
    final PlacementRequest request;
    final Optional<PrefillPlan> plan;
    final boolean engineWasIdle;
    final long sentNanos;
    Work work;

    /**
     * Creates an attempt that is sent now.
     *
     * @param work the work that it counts until its answer starts
     * @param engineWasIdle whether the engine had nothing to prefill, so that the first token shows its speed
     */
    Attempt(
            EndpointSelector.Selection selection,
            PlacementRequest request,
            Work work,
            boolean engineWasIdle,
            long sentNanos) {
        this.endpoint = selection.endpoint();
        this.request = request;
        this.plan = selection.plan();
        this.work = work;
        this.engineWasIdle = engineWasIdle;
        this.sentNanos = sentNanos;
    }

    Optional<String> model() {
        return request.prompt().map(PromptShape::model);
    }
}
