package org.yuccagw.daemon;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.testng.Reporter;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
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
    private static final Duration LATEST_REQUEST = Duration.ofSeconds(7);
    private static final int MAX_BODY_PAUSE_MILLIS = 1_900;
    private static final long SEED = 88;

    private KeyValueStandIn keyValue;
    private HttpClient httpClient;
    private ScriptedEndpoint endpoint;
    private GatewaySettings settings;
    private GatewayDaemon daemon;

    @BeforeMethod
    public void startEntry() throws Exception {
        keyValue = KeyValueStandIn.start(KeyValueSettings.defaults());
        httpClient = HttpClient.start(1);
        endpoint = new ScriptedEndpoint();
        writeConfiguration();
        settings = GatewaySettingsReader.parse(
                SmallDeployment.settings("entry-1", keyValue.address(), SmallDeployment.freePorts(4)));
        daemon = GatewayDaemon.start(settings);
        await().atMost(TIMEOUT).until(() -> post("/again/x").status() == 200);
    }

    @AfterMethod(alwaysRun = true)
    public void stopAll() throws IOException {
        daemon.halt();
        endpoint.close();
        httpClient.stop();
        keyValue.stop();
    }

    // An entry accepted a stream four seconds after SIGTERM that ran for longer than the remaining time, and was cut
    // when the entry was ended by force. A stopping entry refuses streams as not run after a third of the grace time,
    // still serves short requests of callers with an old directory, and finishes the answers that were begun before.
    @Test
    public void aStoppingEntryAcceptsNoStreamThatItMightCutAndFinishesItsRequests() throws Exception {
        CompletableFuture<HttpResponse> running = httpClient.send(request("/again/hang"));
        Thread stopping = beginStop();
        await().atMost(TIMEOUT).until(() -> post("/stream/stream").status() == 503);
        assertEquals(post("/again/x").status(), 200);
        assertTrue(running.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS).status() > 0, "the answer was cut");
        stopping.join(TIMEOUT.toMillis());
        daemon.awaitStopped();
    }

    // Guards against closing the connections of requests that a stopping entry accepted late, without any answer.
    @Test
    public void everyRequestThatAStoppingEntryAcceptedIsAnsweredThoughItsEndpointIsSilent() throws Exception {
        Thread stopping = beginStop();
        List<CompletableFuture<HttpResponse>> silent = new ArrayList<>();
        await().atMost(TIMEOUT).pollInterval(REQUEST_INTERVAL).until(() -> {
            silent.add(httpClient.send(request("/again/hang")));
            return post("/again/x").status() == 503;
        });
        stopping.join(TIMEOUT.toMillis());
        for (CompletableFuture<HttpResponse> answer : silent) {
            assertTrue(answer.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS).status() > 0);
        }
    }

    // Guards against passing on a request whose body came so late that the end of the grace time cuts it.
    @Test
    public void noRequestThatAStoppingEntryPassesOnIsCutThoughItsBodyCameLate() throws Exception {
        Random random = new Random(SEED);
        List<CompletableFuture<String>> answers = new ArrayList<>();
        Thread stopping = beginStop();
        long endNanos = System.nanoTime() + LATEST_REQUEST.toNanos();
        while (System.nanoTime() - endNanos < 0) {
            int pauseMillis = random.nextInt(MAX_BODY_PAUSE_MILLIS);
            String path = List.of("/once/", "/again/", "/stream/").get(random.nextInt(3)) + "hang";
            boolean expectsContinue = random.nextBoolean();
            answers.add(CompletableFuture.supplyAsync(
                    () -> sendSlowly(path, pauseMillis, expectsContinue), Executors.newSingleThreadExecutor()));
            TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL.toMillis() / 2);
        }
        stopping.join(TIMEOUT.toMillis());
        List<String> cut = new ArrayList<>();
        for (CompletableFuture<String> answer : answers) {
            String text = answer.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            if (text.contains(" 502 ")) {
                cut.add(text);
            }
        }
        Reporter.log(cut.size() + " of " + answers.size() + " cut", true);
        assertEquals(cut, List.of());
    }

    /** Sends the head and a part of the body, and the rest after a pause. Returns the answer, or why there is none. */
    private String sendSlowly(String path, int pauseMillis, boolean expectsContinue) {
        String head = "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nYuccagw-Request-Id: r-1\r\n"
                + "Yuccagw-Deadline-Ms: 2000\r\n" + (expectsContinue ? "Expect: 100-continue\r\n" : "")
                + "Content-Length: 8\r\n\r\n";
        try (Socket socket =
                new Socket(settings.callers().host(), settings.callers().port())) {
            socket.getOutputStream().write((head + "ques").getBytes(StandardCharsets.US_ASCII));
            TimeUnit.MILLISECONDS.sleep(pauseMillis);
            socket.getOutputStream().write("tion".getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException | InterruptedException e) {
            return "no answer: " + e;
        }
    }

    private Thread beginStop() {
        Thread stopping = new Thread(daemon::stop, "stop");
        stopping.start();
        return stopping;
    }

    private void writeConfiguration() {
        keyValue.put(
                PlatformDocuments.CONFIGURATION,
                PlatformDocuments.configuration(1)
                        .route("/again/", "idempotent", "plain", 3_000, 1)
                        .route("/once/", "non_idempotent", "plain", 3_000, 1)
                        .route("/stream/", "streaming", "plain", 3_000, 1)
                        .plain("plain")
                        .bytes());
        keyValue.put(
                PlatformDocuments.endpointKey("i-1"),
                PlatformDocuments.endpoint("plain", endpoint.address(), "a", false));
    }

    private HttpResponse post(String path) throws Exception {
        return httpClient.send(request(path)).get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    private HttpRequest request(String path) {
        return HttpRequest.of("POST", settings.callers(), path, "question".getBytes(StandardCharsets.UTF_8))
                .withHeader("Host", "a.example")
                .withHeader("Yuccagw-Request-Id", "r-1")
                .withHeader("Yuccagw-Deadline-Ms", "2000")
                .withNewConnection();
    }
}
