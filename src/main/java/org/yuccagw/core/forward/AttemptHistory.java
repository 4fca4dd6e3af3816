package org.yuccagw.core.forward;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.yuccagw.core.deployment.Route;
import org.yuccagw.core.id.EndpointId;

/** How often a request was sent and may have run, and which endpoints have failed it. */
final class AttemptHistory {
    /**
     * A send that cannot have run costs an endpoint almost nothing. If this many sends of a request have failed, no
     * endpoint is expected to accept it.
     */
    private static final int MAX_SENDS = 4;

    private final Route route;
    private final Set<EndpointId> failed = new LinkedHashSet<>();
    private final Set<EndpointId> excludedForNow = new LinkedHashSet<>();
    private final Map<Long, EndpointId> runLegs = new HashMap<>();
    private int sends;
    private boolean arrived;
    private boolean failedPermittedAgain;
    private String lastFailure = "";
    private String lastEndpoint = "none";

    private AttemptHistory(Route route) {
        this.route = route;
    }

    static AttemptHistory of(Route route) {
        return new AttemptHistory(route);
    }

    /** Returns the number of the leg that is sent next. */
    long recordSend() {
        sends++;
        return sends;
    }

    /**
     * Returns whether the latest send needs a new connection. A reused connection may lead to an endpoint that is no
     * longer reachable, while a failed connection attempt reveals that immediately. For streams this is worth a new
     * connection each.
     */
    boolean needsNewConnection() {
        return !route.repeatable() || route.streamed() || sends > 1;
    }

    /** Records that the request may have run on the leg. */
    void recordRun(Leg leg) {
        arrived = true;
        runLegs.put(leg.number(), leg.endpoint());
    }

    /** Records that the request has not run on the leg, whatever was assumed before. */
    void recordNotRun(Leg leg) {
        arrived = true;
        runLegs.remove(leg.number());
    }

    /** Returns whether the request may have arrived at an endpoint, which may have rejected it. */
    boolean mayHaveArrived() {
        return arrived;
    }

    boolean mayHaveRun() {
        return !runLegs.isEmpty();
    }

    boolean maySendAgain() {
        return sends < MAX_SENDS;
    }

    /** Returns whether the route permits that the request runs on another endpoint. */
    boolean mayRunAgain() {
        return route.repeatable() && runLegs.size() < route.attemptLimit() && maySendAgain();
    }

    /** Returns whether the route permits that the request runs on an endpoint on which it hasn't run yet. */
    boolean mayRunElsewhere() {
        return route.repeatable() && runEndpoints().size() < route.attemptLimit();
    }

    /**
     * Returns the endpoints on which the request may have run and that haven't failed it. It may run there again
     * whatever the limit of attempts, which is one of endpoints.
     */
    ImmutableSet<EndpointId> returnable() {
        return Sets.difference(runEndpoints(), failed).immutableCopy();
    }

    /** Returns whether the request may only return to endpoints on which it may have run. */
    boolean isLimitReached() {
        return mayHaveRun() && !mayRunElsewhere();
    }

    private ImmutableSet<EndpointId> runEndpoints() {
        return ImmutableSet.copyOf(runLegs.values());
    }

    /** Records why the request may have to leave its endpoint. */
    void recordFailure(Leg leg, String detail) {
        lastFailure = detail;
        lastEndpoint = leg.endpoint().value();
    }

    String lastFailure() {
        return lastFailure;
    }

    /** Returns the endpoint of the last failure, for error messages. */
    String lastEndpoint() {
        return lastEndpoint;
    }

    /** Excludes an endpoint that has failed the request. */
    void exclude(EndpointId endpoint) {
        failed.add(endpoint);
    }

    /** Permits the endpoints again that have failed the request, once, since no other one can go on with it. */
    void permitFailedOnce() {
        if (!failedPermittedAgain) {
            failedPermittedAgain = true;
            failed.clear();
        }
    }

    /** Excludes an endpoint that was silent or rejected the request, until there is no other one. */
    void excludeForNow(EndpointId endpoint) {
        excludedForNow.add(endpoint);
    }

    /** Returns whether any endpoint is excluded that may be permitted again. */
    boolean hasExcludedForNow() {
        return !excludedForNow.isEmpty();
    }

    /** Permits the endpoints again that were excluded for now, since no other one is available. */
    void permitExcludedForNow() {
        excludedForNow.clear();
    }

    boolean isExcluded(EndpointId endpoint) {
        return failed.contains(endpoint) || excludedForNow.contains(endpoint);
    }

    ImmutableSet<EndpointId> excluded() {
        return Sets.union(failed, excludedForNow).immutableCopy();
    }
}
