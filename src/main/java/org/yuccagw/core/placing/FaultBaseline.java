package org.yuccagw.core.placing;

import java.util.List;

/**
 * The share of faults that is normal for the endpoints of a service at present, so that only endpoints with more than
 * that are avoided.
 *
 * <p>Guards against avoiding endpoints for random faults. If a share of the requests fails wherever it runs, every
 * endpoint has faults, and the few outcomes in the moving average make some endpoints appear worse than others for no
 * reason of their own. Requests then concentrate on the other endpoints and wait there. Only the share beyond the mean
 * of all endpoints plus twice the random deviation is attributed to the endpoint.
 *
 * <p>Example: three endpoints fail 0.1, 0.14 and 0.24 of their requests. The mean is 0.16 and twice the deviation is
 * 0.14, so no endpoint is avoided. At 0.1, 0.14 and 0.6 the mean is 0.28 and twice the deviation is 0.17, so an excess
 * of 0.15 is attributed to the last one.
 *
 * @param threshold highest normal share of faults, including the random deviation
 */
record FaultBaseline(double threshold) {
    private static final double DEVIATIONS = 2;

    static FaultBaseline of(List<EndpointState> endpoints) {
        double mean = endpoints.stream()
                .mapToDouble(EndpointState::faultShare)
                .average()
                .orElse(0);
        return new FaultBaseline(mean + DEVIATIONS * deviation(mean));
    }

    /**
     * Returns the standard deviation of a moving average in which the newest outcome has the weight
     * {@link EndpointState#FAULT_WEIGHT}.
     */
    private static double deviation(double mean) {
        double varianceFactor = EndpointState.FAULT_WEIGHT / (2 - EndpointState.FAULT_WEIGHT);
        return Math.sqrt(mean * (1 - mean) * varianceFactor);
    }

    /** Returns the endpoint's share of faults beyond the threshold. */
    double excess(EndpointState endpoint) {
        return Math.max(0, endpoint.faultShare() - threshold);
    }
}
