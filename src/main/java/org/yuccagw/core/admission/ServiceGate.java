package org.yuccagw.core.admission;

import java.util.function.ToDoubleFunction;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.WorkspaceId;

/** The admission state of one service on this entry: running requests, waiting requests and their mean run time. */
final class ServiceGate {
    private static final double SMOOTHING_FACTOR = 0.1;

    private final ServiceName service;
    private final FairQueue queue;
    private int capacity = Integer.MAX_VALUE;
    private int running;
    private double meanRunSeconds;
    private double meanCostTokens;

    ServiceGate(
            ServiceName service, ToDoubleFunction<WorkspaceId> workspaceWeight, ToDoubleFunction<String> classWeight) {
        this.service = service;
        this.queue = new FairQueue(workspaceWeight, classWeight);
    }

    ServiceName service() {
        return service;
    }

    FairQueue queue() {
        return queue;
    }

    void setCapacity(int maxConcurrentRequests) {
        capacity = maxConcurrentRequests;
    }

    boolean hasFreeCapacity() {
        return running < capacity;
    }

    void admit(long costTokens) {
        running++;
        meanCostTokens = smooth(meanCostTokens, (double) costTokens);
    }

    void release(double runSeconds) {
        running--;
        meanRunSeconds = smooth(meanRunSeconds, runSeconds);
    }

    private static double smooth(double mean, double value) {
        return mean == 0 ? value : mean + SMOOTHING_FACTOR * (value - mean);
    }

    double meanRunSeconds() {
        return meanRunSeconds;
    }

    double meanCostTokens() {
        return meanCostTokens;
    }

    /** Predicts the time in seconds until a request that arrives now would be admitted under the capacity limit. */
    double secondsUntilFreeCapacity(WorkspaceId workspace, String className) {
        double requestsAhead = queue.requestsAhead(workspace, className);
        double requiredReleases = running + requestsAhead + 1 - capacity;
        if (requiredReleases <= 0) {
            return 0;
        }
        return capacity == 0 ? Double.POSITIVE_INFINITY : requiredReleases * meanRunSeconds / capacity;
    }
}
