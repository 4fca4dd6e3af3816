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
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.id.WorkspaceId;

/** Traffic asks where an attempt shall go. The reply comes exactly once. */
public record RouteRequested(Question question, Consumer<Answer> reply) implements ControlEvent {

    /**
     * One attempt that needs an endpoint.
     *
     * @param className request class, whose weights make the objective
     * @param version the weight version that a continued run must keep; empty for the version in the catalogue
     * @param blocks keys of the prompt's whole blocks in order, empty for a plain call
     * @param promptTokens prompt size in tokens
     * @param answerTokens most tokens that the answer may have
     * @param excluded endpoints that already failed this request
     * @param alone whether it must run where nothing else of this entry runs
     */
    public record Question(
            RequestId request,
            WorkspaceId workspace,
            ServiceName service,
            String className,
            Optional<WeightVersion> version,
            ImmutableList<BlockKey> blocks,
            long promptTokens,
            long answerTokens,
            ImmutableSet<EndpointId> excluded,
            boolean alone) {}

    /** Where the attempt goes, or why it can't go anywhere. */
    public interface Answer {
        /**
         * The endpoint, what to import there before the request is sent, and why.
         *
         * @param attempt names this attempt in later reports
         * @param explanation for {@code yuccagw trace}: what was weighed
         */
        record Chosen(
                long attempt,
                org.yuccagw.core.endpoint.EndpointStatus endpoint,
                Optional<ImportPlan> importFirst,
                RouteExplanation explanation)
                implements Answer {}

        record Refused(YuccagwException error) implements Answer {}
    }
}
