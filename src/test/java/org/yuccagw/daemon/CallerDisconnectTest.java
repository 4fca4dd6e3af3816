package org.yuccagw.daemon;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;

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
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.placing.PlacementRequest;
import org.yuccagw.platform.GatewaySettingsReader;
import org.yuccagw.platform.PlatformWireProtocol;
import org.yuccagw.platform.PlatformRecords;
import org.yuccagw.standins.platform.PlatformDocuments;
import org.yuccagw.standins.platform.SmallDeployment;

/** Callers who have left before an entry that is behind comes to their requests. */
public class CallerDisconnectTest {
    private static final int CALLERS = 20;
    private static final Duration LONG = Duration.ofSeconds(30);

    private ScriptedEndpoint endpoint;
    private XnioWorker worker;
    private ServingServer server;
    private GatewaySettings settings;
    private Deployment deployment;
    private ListedEndpoint listed;
    private final AtomicInteger asked = new AtomicInteger();

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
        deployment = ((KeyValueRecord.Configured) fact(
                        PlatformDocuments.CONFIGURATION,
                        PlatformDocuments.configuration(1)
                                .route("/plain/", "idempotent", "plain", 3_000, 2)
                                .plain("plain")
                                .bytes()))
                .deployment();
        listed = ((KeyValueRecord.EndpointListed) fact(
                        PlatformDocuments.endpointKey("plain-1"),
                        PlatformDocuments.endpoint("plain", endpoint.address(), "a", false)))
                .endpoint();
        ControlSnapshot snapshot =
                ControlSnapshot.builder().put(Deployment.class, deployment).build();
        server = ServingServer.start(
                new ServingServices(
                        () -> snapshot,
                        this::place,
                        HttpClient.on(worker),
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

    @AfterMethod(alwaysRun = true)
    public void stopServing() throws IOException {
        server.stop();
        worker.shutdownNow();
        endpoint.close();
    }

    private static KeyValueRecord fact(String key, byte[] value) throws Exception {
        return PlatformRecords.create().decode(key, value).orElseThrow();
    }

    /** Decides at once, as a lead in the same entry does. */
    private void place(ControlEvent event) {
        if (event instanceof PlacementRequest place) {
            asked.incrementAndGet();
            place.reply()
                    .accept(new PlacementDecision.Placed(
                            asked.get(),
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

    // An entry has no processor time for a while. Twenty callers connect, send, give up and close; then it goes on, and
    // finds their requests whole and waiting. None of them may reach an endpoint, which would work for nobody.
    @Test
    public void requestsOfCallersWhoLeftBeforeTheyWereReadReachNoEndpoint() throws Exception {
        CountDownLatch behind = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        worker.getIoThread(0).execute(() -> {
            behind.countDown();
            try {
                goOn.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        behind.await();
        List<Socket> callers = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            callers.add(send("/plain/gone-" + caller));
        }
        for (Socket caller : callers) {
            caller.close();
        }
        goOn.countDown();
        await().atMost(LONG).until(() -> asked.get() == CALLERS);
        try (Socket staying = send("/plain/staying")) {
            assertEquals(staying.getInputStream().read(), 'H');
        }
        assertEquals(endpoint.requests().size(), 1, "requests at the endpoint: " + endpoint.requests());
    }
}
