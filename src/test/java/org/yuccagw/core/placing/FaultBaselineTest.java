package org.yuccagw.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;

public class FaultBaselineTest {
    private static final FailureDomain DOMAIN = FailureDomain.of("a");
    private static final int CALLS = 3_000;

    private static EndpointState endpoint(String id) {
        return new EndpointState(
                new ListedEndpoint(
                        EndpointIncarnation.of(EndpointId.of(id), 1),
                        ServiceName.of("plain"),
                        NetworkAddress.of("127.0.0.1", 1),
                        DOMAIN,
                        SoftwareVersion.of("v1"),
                        6,
                        false,
                        0,
                        ImmutableMap.of(),
                        0),
                0);
    }

    private static List<EndpointState> threeEndpoints() {
        return new ArrayList<>(List.of(endpoint("one"), endpoint("two"), endpoint("three")));
    }

    private static EndpointState cheapest(List<EndpointState> endpoints, SplittableRandom random) {
        EndpointScoring scoring = new EndpointScoring(DOMAIN);
        FaultBaseline baseline = FaultBaseline.of(endpoints);
        EndpointState best = endpoints.get(0);
        double lowestCost = Double.MAX_VALUE;
        for (EndpointState each : endpoints) {
            double cost = scoring.plainCallCost(each, baseline, 0) + random.nextDouble();
            if (cost < lowestCost) {
                lowestCost = cost;
                best = each;
            }
        }
        return best;
    }

    // A fifth of the calls fails with an application error on every endpoint. Guards against avoiding each endpoint
    // that recently had two such failures, by which the busiest of three endpoints received twice the mean load.
    @Test
    public void faultsOnAllEndpointsDoNotMoveCallsAway() {
        SplittableRandom random = new SplittableRandom(7);
        List<EndpointState> endpoints = threeEndpoints();
        int[] calls = new int[endpoints.size()];
        for (int call = 0; call < CALLS; call++) {
            EndpointState chosen = cheapest(endpoints, random);
            calls[endpoints.indexOf(chosen)]++;
            chosen.recordOutcome(random.nextDouble() < 0.2);
        }
        for (int count : calls) {
            assertTrue(count < 1.25 * CALLS / endpoints.size(), "one endpoint received " + count + " of " + CALLS);
        }
    }

    // One endpoint fails 55 % of its calls although its health check succeeds; the others fail 14 %.
    @Test
    public void anEndpointWithFarMoreFaultsThanTheOthersIsAvoided() {
        SplittableRandom random = new SplittableRandom(7);
        List<EndpointState> endpoints = threeEndpoints();
        int callsOnFaulty = 0;
        for (int call = 0; call < CALLS; call++) {
            EndpointState chosen = cheapest(endpoints, random);
            boolean faulty = chosen == endpoints.get(0);
            callsOnFaulty += faulty ? 1 : 0;
            chosen.recordOutcome(random.nextDouble() < (faulty ? 0.55 : 0.14));
        }
        assertTrue(callsOnFaulty < 0.2 * CALLS, "the faulty endpoint received " + callsOnFaulty + " of " + CALLS);
    }

    @Test
    public void everyFaultCountsIfNoOtherEndpointFails() {
        List<EndpointState> endpoints = threeEndpoints();
        for (int call = 0; call < 40; call++) {
            endpoints.get(0).recordOutcome(true);
            endpoints.get(1).recordOutcome(false);
            endpoints.get(2).recordOutcome(false);
        }
        FaultBaseline baseline = FaultBaseline.of(endpoints);
        assertTrue(baseline.excess(endpoints.get(0)) > 0.3, "excess: " + baseline.excess(endpoints.get(0)));
        assertEquals(baseline.excess(endpoints.get(1)), 0.0);
    }
}
