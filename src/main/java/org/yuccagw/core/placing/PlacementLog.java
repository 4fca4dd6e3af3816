package org.yuccagw.core.placing;

import java.time.Duration;
import java.util.OptionalLong;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.placing.RequestQueue.QueuedRequest;
import org.yuccagw.core.prompt.PromptPart;
import org.yuccagw.core.prompt.PromptShape;

/** The lines of the decision log about placements. */
final class PlacementLog {
    private PlacementLog() {}

    /** Returns the line of a request that was placed, with the inputs of the decision. */
    static Decision placed(
            QueuedRequest queued, EndpointSelector.Selection best, OptionalLong version, String salt, long nowNanos) {
        PlacementRequest request = queued.request();
        Work running = best.endpoint().totalWork();
        Decision line = Decision.of("placed")
                .with("request", request.request())
                .with("route", request.route().name())
                .with("endpoint", best.endpoint().listed().incarnation())
                .with("software", best.endpoint().listed().software())
                .with("cost", (long) best.cost())
                .with("pause_cost", (long) best.pauseCost())
                .with("waited_ms", queued.waitedMillis(nowNanos))
                .with("predicted_ms", (long) best.firstByteMillis())
                .with("late", queued.isLate(nowNanos))
                .with("returned", queued.isReturned())
                .with("running", running.requests())
                .with("running_tokens", running.tokens())
                .with("unread_tokens", running.unreadTokens())
                .with("repeat", request.isRetry())
                .with("urgency", queued.priority().urgency())
                .with("version", version.orElse(0))
                .with("salt", salt);
        return withPrompt(line, request, best);
    }

    /** Returns the line of a request that was refused. */
    static Decision refused(PlacementRequest request, String reason, YuccagwException error) {
        return Decision.of("refused")
                .with("request", request.request())
                .with("route", request.route().name())
                .with(
                        "workspace",
                        request.workspace().map(each -> each.id().value()).orElse(""))
                .with("reason", reason)
                .with(
                        "retry_after_ms",
                        error.retryAfter().map(Duration::toMillis).orElse(0L))
                .with("repeat", request.isRetry())
                .with("left_ms", request.leftMillis());
    }

    private static Decision withPrompt(Decision line, PlacementRequest request, EndpointSelector.Selection best) {
        String session = request.prompt()
                .flatMap(PromptShape::sessionPart)
                .map(PromptPart::id)
                .orElse("");
        return line.with("session", session)
                .with(
                        "prompt_tokens",
                        request.prompt().map(PromptShape::promptTokens).orElse(0))
                .with(
                        "shared_tokens",
                        request.prompt().map(PromptShape::sharedTokens).orElse(0))
                .with("fetch_tokens", best.plan().map(PrefillPlan::fetchTokens).orElse(0))
                .with("read_tokens", best.plan().map(PrefillPlan::prefillTokens).orElse(0));
    }
}
