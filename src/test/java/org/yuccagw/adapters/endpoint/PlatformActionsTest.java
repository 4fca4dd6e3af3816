package org.yuccagw.adapters.endpoint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.endpoint.EndpointReported;
import org.yuccagw.core.endpoint.PlatformListed;
import org.yuccagw.core.endpoint.PlatformListed.VmKind;
import org.yuccagw.core.endpoint.ProbeEndpoint;
import org.yuccagw.core.endpoint.ProbeFailed;
import org.yuccagw.core.endpoint.ReadPlatformList;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.swap.OrderEnded;
import org.yuccagw.core.swap.OrderEnded.Outcome;
import org.yuccagw.core.swap.OrderEndpoint;
import org.yuccagw.core.swap.OrderKind;
import org.yuccagw.standins.engine.EngineSettings;
import org.yuccagw.standins.engine.EngineStandIn;
import org.yuccagw.standins.vmlist.VmListStandIn;
import org.yuccagw.standins.vmlist.VmRow;

public class PlatformActionsTest {
    private static final EndpointId ENDPOINT = EndpointId.of("assistant-00");
    private static final long LONG_SECONDS = 60;
    private static final long NOW_NANOS = Duration.ofHours(1).toNanos();

    private final BlockingQueue<ControlEvent> events = new LinkedBlockingQueue<>();
    private HttpClient caller;
    private EngineStandIn engine;
    private NetworkAddress address;
    private OrderSender sender;

    @BeforeMethod
    public void startAnEngineThatChecksFencing() throws IOException {
        events.clear();
        caller = HttpClient.start(1);
        engine = EngineStandIn.start(EngineSettings.usual(ENDPOINT.value(), "assistant", WeightVersion.of("v1"))
                .withFencingCheck(true));
        address = engine.address();
        sender = OrderSender.of(caller, () -> NOW_NANOS);
    }

    @AfterMethod(alwaysRun = true)
    public void stopBoth() {
        caller.stop();
        engine.stop();
    }

    @Test
    public void theListOfVmsIsReadWithKindsAndStates() throws Exception {
        VmListStandIn list = VmListStandIn.start(0, 0);
        try {
            NetworkAddress listed = NetworkAddress.of("127.0.0.1", 4000);
            list.set(List.of(
                    VmRow.live("entry", "entry-1", "", "ulemiste", listed),
                    VmRow.live("weight-store", "weights", "", "kadaka", listed).leaving()));
            PlatformPoller.of(caller, list.address()).perform(new ReadPlatformList(), events::add);
            List<PlatformListed.ListedVm> read = ((PlatformListed) next()).vms();
            assertEquals(read.get(0).kind(), VmKind.ENTRY);
            assertEquals(read.get(0).name(), "entry-1");
            assertEquals(read.get(1).kind(), VmKind.WEIGHT_STORE);
            assertTrue(read.get(1).leaving());
        } finally {
            list.stop();
        }
    }

    @Test
    public void aProbeBringsTheEndpointsOwnWord() throws Exception {
        poller().perform(new ProbeEndpoint(ENDPOINT, 1, address), events::add);
        EndpointReported report = (EndpointReported) next();
        assertEquals(report.version(), Optional.of(WeightVersion.of("v1")));
        assertEquals(report.incarnation(), 1);
    }

    @Test
    public void aProbeOfADeadEndpointFailsAfterBothConnections() throws Exception {
        engine.kill();
        poller().perform(new ProbeEndpoint(ENDPOINT, 1, address), events::add);
        assertEquals(next(), new ProbeFailed(ENDPOINT, 1));
    }

    @Test
    public void anOrderWithALowerFencingNumberIsRefusedByTheEngine() throws Exception {
        assertEquals(order(20, NOW_NANOS + 1), Outcome.ACCEPTED);
        assertEquals(order(10, NOW_NANOS + 1), Outcome.STALE_FENCING);
    }

    // The process was paused between deciding on an order and sending it. Its lease ran out meanwhile, the next owner
    // ordered already. The engine of this pool might ignore fencing numbers, so the order must not leave the process.
    @Test
    public void anOrderWhoseAuthorityHasEndedIsNotSent() throws Exception {
        assertEquals(order(20, NOW_NANOS), Outcome.NOT_SENT);
        assertEquals(order(10, NOW_NANOS + 1), Outcome.ACCEPTED);
    }

    @Test
    public void anOrderToADeadEndpointIsNotSent() throws Exception {
        engine.kill();
        assertEquals(order(20, NOW_NANOS + 1), Outcome.NOT_SENT);
    }

    private Outcome order(long fencing, long authorityEndsNanos) throws InterruptedException {
        OrderEndpoint order = new OrderEndpoint(
                ENDPOINT,
                address,
                OrderKind.CHANGE_ROLE,
                "role-" + fencing,
                fencing,
                authorityEndsNanos,
                Optional.empty());
        assertTrue(sender.perform(order, events::add));
        return ((OrderEnded) next()).outcome();
    }

    private PlatformPoller poller() {
        return PlatformPoller.of(caller, address);
    }

    private ControlEvent next() throws InterruptedException {
        ControlEvent event = events.poll(LONG_SECONDS, TimeUnit.SECONDS);
        assertTrue(event != null, "nothing came");
        return event;
    }
}
