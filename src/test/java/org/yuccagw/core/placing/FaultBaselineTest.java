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
                        6,
                        false,
                        0,
                        ImmutableMap.of()),
                0);
    }

    private static List<EndpointState> three() {
        return new ArrayList<>(List.of(endpoint("one"), endpoint("two"), endpoint("three")));
    }

    private static EndpointState cheapest(List<EndpointState> endpoints, SplittableRandom random) {
        Scoring scoring = new Scoring(DOMAIN);
        UsualFaults faults = UsualFaults.of(endpoints);
        EndpointState best = endpoints.get(0);
        double least = Double.MAX_VALUE;
        for (EndpointState each : endpoints) {
            double cost = scoring.ofPlainCall(each, faults, 0) + random.nextDouble();
            if (cost < least) {
                least = cost;
                best = each;
            }
        }
        return best;
    }

    // A fifth of the calls fails with an error of the application wherever it runs. Calls fled from whichever endpoint
    // had met two of them lately: the busiest of three endpoints got twice the mean of all.
    @Test
    public void callsThatFailEverywhereDoNotDriveOthersFromAnEndpoint() {
        SplittableRandom random = new SplittableRandom(7);
        List<EndpointState> endpoints = three();
        int[] calls = new int[endpoints.size()];
        for (int call = 0; call < CALLS; call++) {
            EndpointState chosen = cheapest(endpoints, random);
            calls[endpoints.indexOf(chosen)]++;
            chosen.outcome(random.nextDouble() < 0.2);
        }
        for (int got : calls) {
            assertTrue(got < 1.25 * CALLS / endpoints.size(), "one got " + got + " of " + CALLS);
        }
    }

    // One endpoint fails two of five calls while its health check is good; the others fail one of seven.
    @Test
    public void anEndpointThatFailsFarMoreThanTheOthersIsAvoided() {
        SplittableRandom random = new SplittableRandom(7);
        List<EndpointState> endpoints = three();
        int onBad = 0;
        for (int call = 0; call < CALLS; call++) {
            EndpointState chosen = cheapest(endpoints, random);
            boolean bad = chosen == endpoints.get(0);
            onBad += bad ? 1 : 0;
            chosen.outcome(random.nextDouble() < (bad ? 0.55 : 0.14));
        }
        assertTrue(onBad < 0.2 * CALLS, "the bad one got " + onBad + " of " + CALLS);
    }

    @Test
    public void whereNoOtherFailsEachFaultCounts() {
        List<EndpointState> endpoints = three();
        for (int call = 0; call < 40; call++) {
            endpoints.get(0).outcome(true);
            endpoints.get(1).outcome(false);
            endpoints.get(2).outcome(false);
        }
        UsualFaults faults = UsualFaults.of(endpoints);
        assertTrue(faults.beyond(endpoints.get(0)) > 0.3, "beyond: " + faults.beyond(endpoints.get(0)));
        assertEquals(faults.beyond(endpoints.get(1)), 0.0);
    }
}
