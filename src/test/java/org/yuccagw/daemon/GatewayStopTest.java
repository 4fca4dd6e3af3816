package org.yuccagw.daemon;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.adapters.settings.GatewaySettings;
import org.yuccagw.platform.GatewaySettingsReader;
import org.yuccagw.standins.keyvalue.KeyValueSettings;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;
import org.yuccagw.standins.platform.PlatformDocuments;
import org.yuccagw.standins.platform.SmallDeployment;

public class GatewayStopTest {
    private static final Duration LONG = Duration.ofSeconds(60);

    // Seed fresh-f4f1 of the second deployment: four seconds after SIGTERM an entry took a stream that ran for longer
    // than the time that was left, and its end by force cut the answer. Streams are refused as not run after a third of
    // the grace time, short requests are still served for callers who kept an old directory, and what was begun before
    // is answered to its end.
    @Test
    public void aStoppingEntryTakesNoStreamThatItMightCutAndFinishesWhatItTook() throws Exception {
        KeyValueStandIn keyValue = KeyValueStandIn.start(KeyValueSettings.usual());
        HttpClient caller = HttpClient.start(1);
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint()) {
            publish(keyValue, endpoint);
            GatewaySettings settings = GatewaySettingsReader.parse(
                    SmallDeployment.settings("entry-1", keyValue.address(), SmallDeployment.freePorts(4)));
            GatewayDaemon daemon = GatewayDaemon.start(settings);
            await().atMost(LONG).until(() -> ask(caller, settings, "/again/x").status() == 200);
            CompletableFuture<HttpResponse> running = caller.send(request(settings, "/again/hang"));
            Thread stopping = new Thread(daemon::stop, "stop");
            stopping.start();
            await().atMost(LONG)
                    .until(() -> ask(caller, settings, "/stream/stream").status() == 503);
            assertEquals(ask(caller, settings, "/again/x").status(), 200);
            assertTrue(running.get(LONG.toSeconds(), TimeUnit.SECONDS).status() > 0, "answered, not cut");
            stopping.join(LONG.toMillis());
            daemon.awaitStopped();
        } finally {
            caller.stop();
            keyValue.stop();
        }
    }

    private static void publish(KeyValueStandIn keyValue, ScriptedEndpoint endpoint) {
        keyValue.put(
                PlatformDocuments.CONFIGURATION,
                PlatformDocuments.configuration(1)
                        .route("/again/", "idempotent", "plain", 3_000, 1)
                        .route("/stream/", "streaming", "plain", 3_000, 1)
                        .plain("plain")
                        .bytes());
        keyValue.put(
                PlatformDocuments.endpointKey("i-1"),
                PlatformDocuments.endpoint("plain", endpoint.address(), "a", false));
    }

    private static HttpResponse ask(HttpClient caller, GatewaySettings settings, String path) throws Exception {
        return caller.send(request(settings, path)).get(LONG.toSeconds(), TimeUnit.SECONDS);
    }

    private static HttpQuery request(GatewaySettings settings, String path) {
        return HttpQuery.of("POST", settings.callers(), path, "question".getBytes(StandardCharsets.UTF_8))
                .withHeader("Host", "a.example")
                .withHeader("Yuccagw-Request-Id", "r-1")
                .withHeader("Yuccagw-Deadline-Ms", "2000")
                .overFreshConnection();
    }
}
