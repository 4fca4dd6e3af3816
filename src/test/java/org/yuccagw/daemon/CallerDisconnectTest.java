package org.yuccagw.daemon;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.relay.EndpointClient;
import org.yuccagw.adapters.serving.ActiveRequests;
import org.yuccagw.adapters.serving.ServingServer;
import org.yuccagw.adapters.serving.ServingServices;
import org.yuccagw.adapters.settings.GatewaySettings;
import org.yuccagw.adapters.telemetry.DecisionLog;
import org.yuccagw.adapters.telemetry.Metrics;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.deployment.Deployment;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.follow.KeyValueRecord;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.placing.PlacementRequest;
import org.yuccagw.core.relay.DirectPaths;
import org.yuccagw.core.relay.RelayChoice;
import org.yuccagw.platform.GatewaySettingsReader;
import org.yuccagw.platform.PlatformRecords;
import org.yuccagw.platform.PlatformWireProtocol;
import org.yuccagw.standins.platform.PlatformDocuments;
import org.yuccagw.standins.platform.SmallDeployment;

/** Callers that disconnect before a delayed entry reads their requests. */
public class CallerDisconnectTest {
    private static final int CALLERS = 20;
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private ScriptedEndpoint endpoint;
    private XnioWorker worker;
    private ServingServer server;
    private GatewaySettings settings;
    private Deployment deployment;
    private ListedEndpoint listed;
    private final AtomicInteger placementsRequested = new AtomicInteger();

    @BeforeMethod
    public void startServing() throws Exception {
        endpoint = new ScriptedEndpoint();
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap());
        settings = GatewaySettingsReader.parse(
                SmallDeployment.settings("entry-1", endpoint.address(), SmallDeployment.freePorts(4)));
        deployment = ((KeyValueRecord.Configured) decode(
                        PlatformDocuments.CONFIGURATION,
                        PlatformDocuments.configuration(1)
                                .route("/plain/", "idempotent", "plain", 3_000, 2)
                                .plain("plain")
                                .bytes()))
                .deployment();
        listed = ((KeyValueRecord.EndpointListed) decode(
                        PlatformDocuments.endpointKey("plain-1"),
                        PlatformDocuments.endpoint("plain", endpoint.address(), "a", false)))
                .endpoint();
        ControlSnapshot snapshot =
                ControlSnapshot.builder().put(Deployment.class, deployment).build();
        server = ServingServer.start(
                new ServingServices(
                        () -> snapshot,
                        this::place,
                        directClient(HttpClient.onWorker(worker)),
                        PlatformWireProtocol.create(),
                        DecisionLog.start(),
                        Metrics.create(),
                        settings.domain(),
                        Duration.ofSeconds(1),
                        Optional.empty()),
                settings,
                worker,
                ActiveRequests.create());
    }

    private static EndpointClient directClient(HttpClient client) {
        RelayChoice noRelay = RelayChoice.of(ImmutableList::of, bound -> 0);
        return EndpointClient.of(client, client, EntryId.of("entry-1"), DirectPaths.create(), noRelay);
    }

    @AfterMethod(alwaysRun = true)
    public void stopServing() throws IOException {
        server.stop();
        worker.shutdownNow();
        endpoint.close();
    }

    private static KeyValueRecord decode(String key, byte[] value) throws Exception {
        return PlatformRecords.create().decode(key, value).orElseThrow();
    }

    /** Places each request at once, as a lead in the same entry does. */
    private void place(ControlEvent event) {
        if (event instanceof PlacementRequest request) {
            placementsRequested.incrementAndGet();
            request.reply()
                    .accept(new PlacementDecision.Placed(
                            placementsRequested.get(),
                            listed,
                            OptionalLong.empty(),
                            Optional.empty(),
                            Optional.empty(),
                            4,
                            10,
                            false));
        }
    }

    private Socket send(String path) throws IOException {
        Socket socket = new Socket(settings.callers().host(), settings.callers().port());
        OutputStream out = socket.getOutputStream();
        String head = "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nYuccagw-Request-Id: "
                + Integer.toHexString(path.hashCode()) + "\r\nYuccagw-Deadline-Ms: 3000\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.US_ASCII));
        out.flush();
        return socket;
    }

    // An entry gets no processor time for a while. Twenty callers connect, send, give up and close; then the entry
    // continues and finds their requests complete in its buffers. None of them may reach an endpoint, whose work
    // would be wasted.
    @Test
    public void requestsOfCallersThatDisconnectedBeforeTheyWereReadReachNoEndpoint() throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch resume = new CountDownLatch(1);
        worker.getIoThread(0).execute(() -> {
            blocked.countDown();
            try {
                resume.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        blocked.await();
        List<Socket> callers = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            callers.add(send("/plain/gone-" + caller));
        }
        for (Socket caller : callers) {
            caller.close();
        }
        resume.countDown();
        await().atMost(TIMEOUT).until(() -> placementsRequested.get() == CALLERS);
        try (Socket connectedCaller = send("/plain/staying")) {
            assertEquals(connectedCaller.getInputStream().read(), 'H');
        }
        assertEquals(endpoint.requests().size(), 1, "requests at the endpoint: " + endpoint.requests());
    }
}
