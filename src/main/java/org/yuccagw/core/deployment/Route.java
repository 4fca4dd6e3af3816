package org.yuccagw.core.deployment;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.yuccagw.core.id.ServiceName;

/**
 * The routing of requests to one host whose path begins with one prefix.
 *
 * @param pathPrefix begins and ends with a slash
 * @param timeout maximum time that a request may wait for its whole answer
 * @param target time to the first byte within which an answer has its full value
 * @param maxGap longest time between events of a stream that still counts as on time
 * @param priority 0 is the most urgent
 * @param shares at least one service
 * @param attemptLimit maximum number of endpoints that one request may run on
 * @param open whether it is served without a key
 * @param hasReusablePrompts whether its requests contain prompts whose parts are sent again
 * @param resumable whether a stream may continue at another endpoint after its last event
 * @param permittedRegions the regions in which its requests may be served
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        Duration timeout,
        Duration target,
        Duration maxGap,
        int priority,
        ImmutableList<ServiceShare> shares,
        int attemptLimit,
        boolean open,
        boolean hasReusablePrompts,
        boolean resumable,
        PermittedRegions permittedRegions) {

    /** Returns whether a request may be retried although it may have run before. */
    public boolean repeatable() {
        return kind == RouteKind.IDEMPOTENT || isResumableStream();
    }

    /** Returns whether an answer is a stream that may continue at another endpoint after its last event. */
    public boolean isResumableStream() {
        return streamed() && resumable;
    }

    public boolean streamed() {
        return kind == RouteKind.STREAM;
    }

    /** Returns whether requests may be sent to the service. */
    public boolean leadsTo(ServiceName service) {
        return shares.stream().anyMatch(share -> share.service().equals(service));
    }

    /**
     * Selects the service of one request, in proportion to the weights.
     *
     * @param draw from 0 up to but excluding 1, the same for all attempts of a request
     */
    public ServiceName selectService(double draw) {
        int sum = shares.stream().mapToInt(ServiceShare::weight).sum();
        double remaining = draw * sum;
        for (ServiceShare share : shares) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        return shares.get(0).service();
    }
}
