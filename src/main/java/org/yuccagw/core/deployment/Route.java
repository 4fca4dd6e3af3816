package org.yuccagw.core.deployment;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.yuccagw.core.id.ServiceName;

/**
 * Where requests of one host go whose path begins with one prefix.
 *
 * @param pathPrefix begins and ends with a slash
 * @param timeout longest time that a request may wait for its whole answer
 * @param target time to the first byte within which an answer is worth its full value
 * @param longestGap longest pause between events of a stream that counts as on time
 * @param priority 0 is the most urgent
 * @param shares at least one service
 * @param mostAttempts most endpoints that one request may run on
 * @param open whether it is served without a key
 * @param affine whether its requests carry prompts whose parts come back
 * @param resumable whether a stream may go on at another endpoint after its last event
 * @param homes where its requests may be served
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        Duration timeout,
        Duration target,
        Duration longestGap,
        int priority,
        ImmutableList<ServiceShare> shares,
        int mostAttempts,
        boolean open,
        boolean affine,
        boolean resumable,
        PermittedRegions homes) {

    /** Whether a request may run again although it may have run before. */
    public boolean repeatable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && resumable);
    }

    public boolean streamed() {
        return kind == RouteKind.STREAM;
    }

    /**
     * The service of one request, in proportion to the weights.
     *
     * @param draw from 0 up to but excluding 1, the same for all attempts of a request
     */
    public ServiceName pick(double draw) {
        int sum = shares.stream().mapToInt(ServiceShare::weight).sum();
        double left = draw * sum;
        for (ServiceShare share : shares) {
            left -= share.weight();
            if (left < 0) {
                return share.service();
            }
        }
        return shares.get(0).service();
    }
}
