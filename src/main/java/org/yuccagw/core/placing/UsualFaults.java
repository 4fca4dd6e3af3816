package org.yuccagw.core.placing;

import java.util.List;

/**
 * How many faults the endpoints of a service have at present, so that only those with more than their share are
 * avoided.
 *
 * <p>Guards against flight from chance. Where a part of the requests fails wherever it runs, every endpoint has faults,
 * and the few outcomes that a share remembers make some look bad for no reason of their own: requests crowd on the
 * others, and wait there. What is left after the mean of all and twice the deviation that chance allows is the
 * endpoint's own.
 *
 * <p>Example: three endpoints fail 0.1, 0.14 and 0.24 of their requests. The mean is 0.16, chance allows 0.14 more, so
 * none is avoided. At 0.1, 0.14 and 0.6 the mean is 0.28, chance allows 0.17, and the last one bears 0.15.
 *
 * @param most share of faults that is usual, with what chance allows
 */
record UsualFaults(double most) {
    private static final double DEVIATIONS = 2;

    static UsualFaults of(List<EndpointState> endpoints) {
        double mean = endpoints.stream()
                .mapToDouble(EndpointState::faultShare)
                .average()
                .orElse(0);
        return new UsualFaults(mean + DEVIATIONS * deviation(mean));
    }

    /** Of a share that gives each outcome the weight {@link EndpointState#FAULT_MEMORY} of the ones before. */
    private static double deviation(double mean) {
        double memory = EndpointState.FAULT_MEMORY / (2 - EndpointState.FAULT_MEMORY);
        return Math.sqrt(mean * (1 - mean) * memory);
    }

    /** The endpoint's share of faults beyond what is usual and what chance allows. */
    double beyond(EndpointState endpoint) {
        return Math.max(0, endpoint.faultShare() - most);
    }
}
