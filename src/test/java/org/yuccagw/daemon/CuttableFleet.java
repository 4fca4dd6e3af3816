package org.yuccagw.daemon;

import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.settings.GatewaySettings;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.daemon.CutOffEntry.Block;
import org.yuccagw.faults.RawServer;
import org.yuccagw.platform.GatewaySettingsReader;
import org.yuccagw.standins.keyvalue.KeyValueSettings;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;
import org.yuccagw.standins.platform.PlatformDocuments;
import org.yuccagw.standins.platform.SmallDeployment;

/** Three entries and three endpoints over sockets. The paths between them can be blocked for each entry. */
final class CuttableFleet implements AutoCloseable {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final int SIZE = 3;
    private static final int REPLACED_SECONDS = 2;

    private final List<ScriptedEndpoint> endpoints = new ArrayList<>();
    private final List<GatewayDaemon> daemons = new ArrayList<>();
    private final List<RawServer> rawEndpoints = new ArrayList<>();
    private final List<CutOffEntry> paths = new ArrayList<>();
    private final List<GatewaySettings> settings = new ArrayList<>();
    private final KeyValueStandIn keyValue = KeyValueStandIn.start(KeyValueSettings.defaults());
    private final HttpClient caller = HttpClient.start(1);
    private List<NetworkAddress> others = List.of();
    private int sentRequests;

    private CuttableFleet() throws IOException {}

    static CuttableFleet start() throws Exception {
        CuttableFleet fleet = new CuttableFleet();
        fleet.publish();
        for (int index = 0; index < SIZE; index++) {
            fleet.startEntry("entry-" + index);
        }
        for (int index = 0; index < SIZE; index++) {
            int entry = index;
            await().atMost(START_TIMEOUT)
                    .until(() -> fleet.post(entry, "/again/x").status() == 200);
        }
        return fleet;
    }

    /** Starts a fleet as {@link #start} does, with endpoints that answer as the handler does. */
    static CuttableFleet startWith(RawServer.Handler handler) throws Exception {
        CuttableFleet fleet = start();
        for (int index = 0; index < SIZE; index++) {
            fleet.rawEndpoints.add(RawServer.start(handler));
        }
        fleet.replaceEndpoints(
                fleet.rawEndpoints.stream().map(RawServer::address).toList());
        return fleet;
    }

    private void publish() throws IOException {
        keyValue.put(
                PlatformDocuments.CONFIGURATION,
                PlatformDocuments.configuration(3)
                        .route("/once/", "non_idempotent", "plain", 3_000, 1)
                        .route("/again/", "idempotent", "plain", 3_000, 2)
                        .route("/stream/", "streaming", "plain", 3_000, 2)
                        .resumable()
                        .plain("plain")
                        .workspace("ministry", "key-1", false)
                        .bytes());
        for (int index = 0; index < SIZE; index++) {
            ScriptedEndpoint endpoint = new ScriptedEndpoint();
            endpoints.add(endpoint);
            keyValue.put(
                    PlatformDocuments.endpointKey("i-" + index),
                    PlatformDocuments.endpoint("plain", endpoint.address(), "a", false));
        }
    }

    private void startEntry(String name) throws Exception {
        GatewaySettings own = GatewaySettingsReader.parse(
                SmallDeployment.settings(name, keyValue.address(), SmallDeployment.freePorts(5)));
        CutOffEntry path = new CutOffEntry();
        settings.add(own);
        paths.add(path);
        daemons.add(GatewayDaemon.start(own, path));
    }

    /** Blocks new connections of the entry to all endpoints. */
    void cut(int entry, Block block) {
        List<NetworkAddress> addresses = others.isEmpty()
                ? endpoints.stream().map(ScriptedEndpoint::address).toList()
                : others;
        paths.get(entry).cut(block, addresses.toArray(NetworkAddress[]::new));
    }

    void restore(int entry) {
        paths.get(entry).restore();
    }

    /** Registers other endpoints in the place of the present ones, and waits until the entries know them. */
    void replaceEndpoints(List<NetworkAddress> addresses) throws Exception {
        for (int index = 0; index < addresses.size(); index++) {
            keyValue.remove(PlatformDocuments.endpointKey("i-" + index));
            keyValue.put(
                    PlatformDocuments.endpointKey("r-" + index),
                    PlatformDocuments.endpoint("plain", addresses.get(index), "a", false));
        }
        others = List.copyOf(addresses);
        TimeUnit.SECONDS.sleep(REPLACED_SECONDS);
    }

    private String nextId() {
        sentRequests++;
        return "request-" + sentRequests;
    }

    List<ScriptedEndpoint> endpoints() {
        return endpoints;
    }

    List<GatewayDaemon> daemons() {
        return daemons;
    }

    GatewaySettings settings(int entry) {
        return settings.get(entry);
    }

    /** Sends requests to the entry for the given time, whatever becomes of them. */
    void sendFor(Duration duration, int entry, String path) throws Exception {
        long endNanos = System.nanoTime() + duration.toNanos();
        while (System.nanoTime() - endNanos < 0) {
            post(entry, path);
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    HttpResponse post(int entry, String path) throws Exception {
        return caller.send(request(entry, path)).get(10, TimeUnit.SECONDS);
    }

    HttpRequest request(int entry, String path) {
        return HttpRequest.of("POST", settings.get(entry).callers(), path, "question".getBytes(StandardCharsets.UTF_8))
                .withHeader("Host", "a.example")
                .withHeader("Yuccagw-Request-Id", nextId())
                .withHeader("Yuccagw-Deadline-Ms", "2000")
                .withHeader("Authorization", "Bearer key-1");
    }

    /** Returns how often endpoints received requests with the path. */
    long arrivals(String path) {
        return endpoints.stream()
                .flatMap(endpoint -> endpoint.requests().stream())
                .filter(request -> request.get(":line").contains(path))
                .count();
    }

    HttpClient caller() {
        return caller;
    }

    @Override
    public void close() throws IOException {
        daemons.forEach(GatewayDaemon::halt);
        caller.stop();
        for (ScriptedEndpoint endpoint : endpoints) {
            endpoint.close();
        }
        for (RawServer endpoint : rawEndpoints) {
            endpoint.close();
        }
        for (CutOffEntry path : paths) {
            path.close();
        }
        keyValue.stop();
    }
}
