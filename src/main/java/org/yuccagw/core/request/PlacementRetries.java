package org.yuccagw.core.request;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.retry.RetryDecision;

/** Decides after which delay a request that was refused a permit or an endpoint asks again, if it does. */
final class PlacementRetries {
    private static final int MAX_ROUTE_RETRIES = 8;
    private static final Duration ROUTE_RETRY_DELAY = Duration.ofMillis(250);

    private int routeRetries;
    private boolean retryUnused;

    private PlacementRetries() {}

    static PlacementRetries create() {
        return new PlacementRetries();
    }

    /**
     * Returns the delay for a run that has started and was refused a permit.
     *
     * <p>After a termination the prompt runs only with a permit. The issuer grants none while another run holds the
     * permit, or for some seconds after it became the owner of the shard. The caller may already have received a part
     * of the answer, which an error would make useless. The deadline of the request bounds the wait.
     */
    Optional<Duration> afterPermitRefusal(YuccagwException refusal, int attemptsMade) {
        boolean isTemporary = refusal.kind() == ErrorKind.OVERLOADED && attemptsMade > 0;
        return isTemporary ? refusal.retryAfter() : Optional.empty();
    }

    /**
     * Returns the delay for a request that certainly hasn't run and found no endpoint.
     *
     * <p>The local view of the endpoints is delayed. During a fast rolling swap, replicas that have finished loading
     * are still seen as loading, or as running the older version and then refuse the request, so that for a short time
     * no replica seems to serve. A few short waits bridge the delay; after each of them every endpoint may be tried
     * again. When they are used up, the refusal is final and is sent at once.
     */
    Optional<Duration> afterRouteRefusal(YuccagwException refusal, boolean mayHaveRun) {
        boolean isTemporary = refusal.kind() == ErrorKind.NO_ENDPOINT && !mayHaveRun;
        if (!isTemporary || routeRetries >= MAX_ROUTE_RETRIES) {
            return Optional.empty();
        }
        routeRetries++;
        return Optional.of(ROUTE_RETRY_DELAY);
    }

    /**
     * Returns the delay before a replacement is requested. A retry that was granted and found no endpoint is used
     * again, because the retry budget has been debited for it.
     */
    Optional<Duration> forReplacement(Supplier<RetryDecision> decider) {
        if (retryUnused) {
            return Optional.of(ROUTE_RETRY_DELAY);
        }
        if (decider.get() instanceof RetryDecision.Retry retry) {
            retryUnused = true;
            return Optional.of(retry.delay());
        }
        return Optional.empty();
    }

    /** Notes that the request was sent to an endpoint. */
    void sent() {
        retryUnused = false;
    }
}
