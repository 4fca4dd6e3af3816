package org.yuccagw.daemon;

import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
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
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.placing.PlacementRequest;
import org.yuccagw.core.relay.DirectPaths;
import org.yuccagw.core.relay.RelayChoice;
import org.yuccagw.platform.GatewaySettingsReader;
import org.yuccagw.platform.PlatformRecords;
import org.yuccagw.platform.PlatformWireProtocol;
import org.yuccagw.standins.platform.PlatformDocuments;
import org.yuccagw.standins.platform.SmallDeployment;

/** The serving part of an entry, over sockets, without a control thread: each request is placed on one endpoint. */
final class DirectServing implements AutoCloseable {
    private final XnioWorker worker;
    private final GatewaySettings settings;
    private final ListedEndpoint listed;
    private final ServingServer server;
    private final ActiveRequests activeRequests = ActiveRequests.create();
    private final Metrics metrics = Metrics.create();
    private final AtomicInteger placementsRequested = new AtomicInteger();

    private DirectServing(NetworkAddress endpoint, int timeoutMillis) throws Exception {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap());
        settings = GatewaySettingsReader.parse(
                SmallDeployment.settings("entry-1", endpoint, SmallDeployment.freePorts(4)));
        Deployment deployment = ((KeyValueRecord.Configured) decode(
                        PlatformDocuments.CONFIGURATION,
                        PlatformDocuments.configuration(1)
                                .route(SmallDeployment.PLAIN, "idempotent", "plain", timeoutMillis, 2)
                                .plain("plain")
                                .bytes()))
                .deployment();
        listed = ((KeyValueRecord.EndpointListed) decode(
                        PlatformDocuments.endpointKey("plain-1"),
                        PlatformDocuments.endpoint("plain", endpoint, "a", false)))
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
                        metrics,
                        settings.domain(),
                        Duration.ofSeconds(1),
                        Optional.empty()),
                settings,
                worker,
                activeRequests);
    }

    /** Starts to serve the route of {@link SmallDeployment#PLAIN} from an endpoint. */
    static DirectServing start(NetworkAddress endpoint, int timeoutMillis) throws Exception {
        return new DirectServing(endpoint, timeoutMillis);
    }

    NetworkAddress callers() {
        return settings.callers();
    }

    /** Returns the requests for which a graceful stop would wait. */
    int requestsInProgress() {
        return activeRequests.count();
    }

    /** Returns the number of requests whose answers the endpoint has completed, or that have failed. */
    long endedRequests() {
        return new String(metrics.exposition(), StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.startsWith("yuccagw_requests_total{"))
                .mapToLong(line -> (long) Double.parseDouble(line.substring(line.lastIndexOf(' '))))
                .sum();
    }

    int placementsRequested() {
        return placementsRequested.get();
    }

    /** Runs a task on the only I/O thread. */
    void execute(Runnable task) {
        worker.getIoThread(0).execute(task);
    }

    @Override
    public void close() {
        server.stop();
        worker.shutdownNow();
    }

    private static EndpointClient directClient(HttpClient client) {
        RelayChoice noRelay = RelayChoice.of(ImmutableList::of, bound -> 0);
        return EndpointClient.of(client, client, EntryId.of("entry-1"), DirectPaths.create(), noRelay);
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
                            Optional.empty(),
                            4,
                            10,
                            false));
        }
    }
}
