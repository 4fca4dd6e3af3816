package org.yuccagw.daemon;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.settings.GatewaySettings;
import org.yuccagw.platform.GatewaySettingsReader;
import org.yuccagw.standins.keyvalue.KeyValueSettings;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;
import org.yuccagw.standins.platform.PlatformDocuments;
import org.yuccagw.standins.platform.SmallDeployment;

public class GatewayStopTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(200);

    // An entry accepted a stream four seconds after SIGTERM that ran for longer than the remaining time, and was cut
    // when the entry was ended by force. A stopping entry refuses streams as not run after a third of the grace time,
    // still serves short requests of callers with an old directory, and finishes the answers that were begun before.
    @Test
    public void aStoppingEntryAcceptsNoStreamThatItMightCutAndFinishesItsRequests() throws Exception {
        KeyValueStandIn keyValue = KeyValueStandIn.start(KeyValueSettings.defaults());
        HttpClient httpClient = HttpClient.start(1);
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint()) {
            writeConfiguration(keyValue, endpoint);
            GatewaySettings settings = GatewaySettingsReader.parse(
                    SmallDeployment.settings("entry-1", keyValue.address(), SmallDeployment.freePorts(4)));
            GatewayDaemon daemon = GatewayDaemon.start(settings);
            await().atMost(TIMEOUT)
                    .until(() -> post(httpClient, settings, "/again/x").status() == 200);
            CompletableFuture<HttpResponse> running = httpClient.send(request(settings, "/again/hang"));
            Thread stopping = new Thread(daemon::stop, "stop");
            stopping.start();
            await().atMost(TIMEOUT)
                    .until(() -> post(httpClient, settings, "/stream/stream").status() == 503);
            assertEquals(post(httpClient, settings, "/again/x").status(), 200);
            assertTrue(running.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS).status() > 0, "the answer was cut");
            stopping.join(TIMEOUT.toMillis());
            daemon.awaitStopped();
        } finally {
            httpClient.stop();
            keyValue.stop();
        }
    }

    // Guards against closing the connections of requests that a stopping entry accepted late, without any answer.
    @Test
    public void everyRequestThatAStoppingEntryAcceptedIsAnsweredThoughItsEndpointIsSilent() throws Exception {
        KeyValueStandIn keyValue = KeyValueStandIn.start(KeyValueSettings.defaults());
        HttpClient httpClient = HttpClient.start(1);
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint()) {
            writeConfiguration(keyValue, endpoint);
            GatewaySettings settings = GatewaySettingsReader.parse(
                    SmallDeployment.settings("entry-1", keyValue.address(), SmallDeployment.freePorts(4)));
            GatewayDaemon daemon = GatewayDaemon.start(settings);
            await().atMost(TIMEOUT)
                    .until(() -> post(httpClient, settings, "/again/x").status() == 200);
            Thread stopping = new Thread(daemon::stop, "stop");
            stopping.start();
            List<CompletableFuture<HttpResponse>> silent = new ArrayList<>();
            await().atMost(TIMEOUT).pollInterval(REQUEST_INTERVAL).until(() -> {
                silent.add(httpClient.send(request(settings, "/again/hang")));
                return post(httpClient, settings, "/again/x").status() == 503;
            });
            stopping.join(TIMEOUT.toMillis());
            for (CompletableFuture<HttpResponse> answer : silent) {
                assertTrue(answer.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS).status() > 0);
            }
        } finally {
            httpClient.stop();
            keyValue.stop();
        }
    }

    private static void writeConfiguration(KeyValueStandIn keyValue, ScriptedEndpoint endpoint) {
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

    private static HttpResponse post(HttpClient httpClient, GatewaySettings settings, String path) throws Exception {
        return httpClient.send(request(settings, path)).get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    private static HttpRequest request(GatewaySettings settings, String path) {
        return HttpRequest.of("POST", settings.callers(), path, "question".getBytes(StandardCharsets.UTF_8))
                .withHeader("Host", "a.example")
                .withHeader("Yuccagw-Request-Id", "r-1")
                .withHeader("Yuccagw-Deadline-Ms", "2000")
                .withNewConnection();
    }
}
