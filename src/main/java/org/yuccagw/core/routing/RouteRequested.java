package org.yuccagw.core.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.function.Consumer;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.id.WorkspaceId;

/** Requests an endpoint for an attempt. {@code reply} is called exactly once. */
public record RouteRequested(Query query, Consumer<Answer> reply) implements ControlEvent {

    /**
     * An attempt that needs an endpoint.
     *
     * @param className request class, whose weights define the objective function
     * @param version weight version that a continued run must keep; empty for the version in the catalogue
     * @param software software version that a continued run must keep; empty for any
     * @param blocks keys of the complete blocks of the prompt in order, empty for a plain call
     * @param promptTokens prompt size in tokens
     * @param answerTokens maximum size of the answer in tokens
     * @param excluded endpoints that already failed this request
     * @param exclusive whether it must run on an endpoint on which no other attempt of this entry runs
     */
    public record Query(
            RequestId request,
            WorkspaceId workspace,
            ServiceName service,
            String className,
            Optional<WeightVersion> version,
            Optional<SoftwareVersion> software,
            ImmutableList<BlockKey> blocks,
            long promptTokens,
            long answerTokens,
            ImmutableSet<EndpointId> excluded,
            boolean exclusive) {}

    /** The result: the chosen endpoint, or the reason why there is none. */
    public interface Answer {
        /**
         * The chosen endpoint.
         *
         * @param attempt number that identifies the attempt in later {@link AttemptReport}s
         * @param importPlan cache blocks to import before the request is sent, empty for none
         * @param explanation scored candidates, shown by {@code yuccagw trace}
         */
        record Chosen(
                long attempt,
                org.yuccagw.core.endpoint.EndpointStatus endpoint,
                Optional<ImportPlan> importPlan,
                RouteExplanation explanation)
                implements Answer {}

        /** No endpoint was chosen. */
        record Refused(YuccagwException error) implements Answer {}
    }
}
