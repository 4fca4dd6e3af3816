package org.yuccagw.daemon;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
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

/** The whole path of a request over real sockets: directory, entry, endpoint, answer. */
public class GatewayPathTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private KeyValueStandIn keyValue;
    private ScriptedEndpoint endpoint;
    private ScriptedEndpoint limited;
    private ScriptedEndpoint busy;
    private ScriptedEndpoint leaving;
    private HttpClient httpClient;
    private GatewaySettings settings;
    private GatewayDaemon daemon;
    private int sentRequests;

    @BeforeClass
    public void startAll() throws Exception {
        keyValue = KeyValueStandIn.start(KeyValueSettings.defaults());
        endpoint = new ScriptedEndpoint();
        httpClient = HttpClient.start(1);
        keyValue.put(
                PlatformDocuments.CONFIGURATION,
                PlatformDocuments.configuration(3)
                        .route("/once/", "non_idempotent", "plain", 3_000, 1)
                        .route("/again/", "idempotent", "plain", 3_000, 2)
                        .route("/stream/", "streaming", "plain", 3_000, 2)
                        .resumable()
                        .plain("plain")
                        .route("/spared/", "idempotent", "in-need", 3_000, 2)
                        .plain("in-need")
                        .route("/busy/", "idempotent", "busy", 3_000, 2)
                        .plain("busy")
                        .route("/leaving/", "idempotent", "leaving", 3_000, 2)
                        .plain("leaving")
                        .workspace("ministry", "key-1", false)
                        .bytes());
        keyValue.put(
                PlatformDocuments.endpointKey("i-1"),
                PlatformDocuments.endpoint("plain", endpoint.address(), "a", false));
        limited = startEndpoint("i-2", "in-need");
        busy = startEndpoint("i-3", "busy");
        leaving = startEndpoint("i-4", "leaving");
        settings = GatewaySettingsReader.parse(
                SmallDeployment.settings("entry-1", keyValue.address(), SmallDeployment.freePorts(4)));
        daemon = GatewayDaemon.start(settings);
        await().atMost(TIMEOUT)
                .until(() -> status(HttpRequest.get(settings.readiness(), SmallDeployment.READINESS)) == 200);
        await().atMost(TIMEOUT).until(() -> post("/once/x").status() == 200);
    }

    private ScriptedEndpoint startEndpoint(String id, String service) throws IOException {
        ScriptedEndpoint started = new ScriptedEndpoint();
        keyValue.put(
                PlatformDocuments.endpointKey(id), PlatformDocuments.endpoint(service, started.address(), "a", false));
        return started;
    }

    @AfterClass(alwaysRun = true)
    public void stopAll() throws IOException {
        daemon.halt();
        httpClient.stop();
        endpoint.close();
        limited.close();
        busy.close();
        leaving.close();
        keyValue.stop();
    }

    @Test
    public void theDirectoryListsTheEntry() throws Exception {
        HttpResponse answer = send(HttpRequest.get(settings.directory(), SmallDeployment.DIRECTORY));
        assertTrue(answer.text().contains("\"" + settings.callers() + "\""), answer.text());
    }

    @Test
    public void anAnswerHasTheHeadersAndTheBodyOfTheEndpoint() throws Exception {
        HttpResponse answer = post("/once/plain");
        assertEquals(answer.status(), 200);
        assertEquals(answer.text(), "body");
        assertEquals(answer.header("Yuccagw-Response-Seal"), "seal-1");
        assertEquals(answer.header("X-Own"), "kept");
    }

    @Test
    public void theEndpointReceivesTheWorkspaceAndTheRemainingTimeButNoKey() throws Exception {
        post("/once/looked-at");
        Map<String, String> received = endpoint.requests().stream()
                .filter(request -> request.get(":line").contains("looked-at"))
                .findFirst()
                .orElseThrow();
        assertEquals(received.get(":line"), "POST /once/looked-at HTTP/1.1");
        assertEquals(received.get(":body"), "question");
        assertEquals(received.get("yuccagw-tenant"), "ministry");
        assertEquals(received.get("yuccagw-expect-instance"), "i-1");
        assertFalse(received.containsKey("authorization"));
        assertTrue(Integer.parseInt(received.get("yuccagw-deadline-ms")) <= 2_000);
    }

    @Test
    public void unknownRoutesAndKeysAreRefused() throws Exception {
        assertEquals(post("/nowhere/x").status(), 404);
        assertEquals(send(request("/once/x", "stolen")).status(), 401);
    }

    @Test
    public void aStreamArrivesCompletelyAndInOrder() throws Exception {
        HttpResponse answer = post("/stream/stream");
        assertEquals(answer.text(), "id: 1\ndata: word1\n\nid: 2\ndata: word2\n\nid: 3\ndata: word3\n\n");
    }

    // Guards against cutting the stream of an endpoint that falls silent for a second and goes on.
    @Test
    public void aStreamOfAnEndpointThatFallsSilentForASecondArrivesCompletely() throws Exception {
        HttpResponse answer = post("/stream/pausing-stream");
        assertEquals(answer.text(), "id: 1\ndata: word1\n\nid: 2\ndata: word2\n\nid: 3\ndata: word3\n\n");
    }

    // Guards against an error for a request whose endpoint answers late while no other one is available.
    @Test
    public void anAnswerThatComesLateIsForwarded() throws Exception {
        HttpResponse answer = post("/again/late");
        assertEquals(answer.status(), 200);
        assertEquals(answer.text(), "late");
    }

    @Test
    public void anAnswerThatEndsWithItsConnectionIsComplete() throws Exception {
        assertEquals(post("/once/unframed").text(), "until the end");
    }

    // Guards against an empty or refused answer for one that only the end of its connection ends.
    @Test
    public void anAnswerWithoutAStatedEndIsForwardedWhole() throws Exception {
        HttpResponse answer = post("/once/bare");
        assertEquals(answer.status(), 200);
        assertEquals(answer.text(), "without any length");
    }

    // Guards against taking the reset of such a connection for the end of the answer.
    @Test
    public void anAnswerWithoutAStatedEndIsNotCompleteIfItsConnectionIsReset() {
        expectThrows(ExecutionException.class, () -> post("/once/bare-reset"));
    }

    // The endpoint sends a late answer to another request instead of the answer to this one.
    @Test
    public void anAnswerToAnotherRequestIsNotForwarded() throws Exception {
        HttpResponse answer = post("/once/foreign");
        assertEquals(answer.status(), 502);
        assertFalse(answer.text().contains("forged"));
    }

    // The endpoint sends a second answer after the first. On a reused connection it would be read as the answer to
    // the next request.
    @Test
    public void aSecondAnswerAfterTheFirstReachesNoCaller() throws Exception {
        for (int index = 0; index < 5; index++) {
            assertEquals(post("/again/twice").text(), "first");
            assertEquals(post("/again/plain").text(), "body");
        }
    }

    @Test
    public void anAnswerThatBreaksOffEndsWithAnError() {
        expectThrows(ExecutionException.class, () -> post("/once/torn"));
    }

    // Guards against an aborted answer that looks complete because its connection is not kept anyway.
    @Test
    public void anAnswerThatBreaksOffLooksIncompleteOnAConnectionThatIsNotKept() throws Exception {
        try (Socket socket =
                new Socket(settings.callers().host(), settings.callers().port())) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            write(socket, head("GET /once/torn-stream", "torn-1").replaceFirst("Host", "Connection: close\r\nHost"));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(answer.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked"), answer);
            assertTrue(answer.contains("half"), answer);
            assertFalse(answer.endsWith("0\r\n\r\n"), answer);
        }
    }

    @Test
    public void aRequestThatMayHaveRunIsNotSentTwice() throws Exception {
        assertEquals(post("/once/reset").status(), 502);
        assertEquals(
                endpoint.requests().stream()
                        .filter(request -> request.get(":line").contains("/once/reset"))
                        .count(),
                1);
    }

    // The caller closes its connection while its request runs. The entry reads nothing from that connection
    // meanwhile, so unless it watches for the close the endpoint would work for seconds in vain.
    @Test
    public void theEndpointIsDisconnectedAtOnceWhenTheCallerDisconnects() throws Exception {
        try (Socket socket =
                new Socket(settings.callers().host(), settings.callers().port())) {
            write(socket, head("GET /again/hang", "leaver"));
            await().atMost(TIMEOUT)
                    .until(() -> endpoint.requests().stream()
                            .anyMatch(request -> "leaver".equals(request.get("yuccagw-request-id"))));
        }
        assertTrue(endpoint.awaitCallerDisconnect(5_000));
    }

    // Two requests arrive in one write: the second one stays in the buffer while the first runs and must not be lost.
    @Test
    public void aPipelinedRequestIsAnsweredNext() throws Exception {
        try (Socket socket =
                new Socket(settings.callers().host(), settings.callers().port())) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            String one = head("GET /again/plain", "ahead-1");
            write(socket, one + one.replace("ahead-1", "ahead-2"));
            StringBuilder read = new StringBuilder();
            byte[] buffer = new byte[4096];
            while (read.indexOf("ahead-2") < 0) {
                int count = socket.getInputStream().read(buffer);
                assertTrue(count > 0, read.toString());
                read.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
            }
            assertTrue(read.indexOf("ahead-1") < read.indexOf("ahead-2"));
        }
    }

    // A body whose length is given in two ways could smuggle a second request behind the first.
    @Test
    public void anAmbiguousBodyIsRefusedAndItsConnectionClosed() throws Exception {
        try (Socket socket =
                new Socket(settings.callers().host(), settings.callers().port())) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            String twoLengths = "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n";
            String visible = head("POST /once/smuggle", "s-1").replaceFirst("Host", twoLengths + "Host");
            write(socket, visible + "0\r\n\r\n" + head("GET /once/hidden", "s-2"));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(answer.startsWith("HTTP/1.1 400"), answer);
        }
        assertTrue(endpoint.requests().stream()
                .noneMatch(request -> request.get(":line").contains("hidden")
                        || request.get(":line").contains("smuggle")));
    }

    @DataProvider
    public Object[][] bodiesThatBreakOff() {
        return new Object[][] {
            {"Content-Length: 20\r\n\r\nhalf"},
            {"Content-Length: 20\r\n\r\n"},
            {"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
            {"Transfer-Encoding: chunked\r\n\r\n8\r\nhalf"},
            {"Transfer-Encoding: chunked\r\n\r\n"},
        };
    }

    // Guards against running a request whose caller broke it off in the middle of its body.
    @Test(dataProvider = "bodiesThatBreakOff")
    public void aRequestWhoseBodyBreaksOffReachesNoEndpoint(String lengthAndBody) throws Exception {
        try (Socket socket =
                new Socket(settings.callers().host(), settings.callers().port())) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            String head = head("POST /again/broken-off", "broken-1");
            write(socket, head.substring(0, head.length() - 2) + lengthAndBody);
            socket.shutdownOutput();
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertFalse(answer.startsWith("HTTP/1.1 200"), answer);
        }
        assertTrue(endpoint.requests().stream()
                .noneMatch(request -> request.get(":line").contains("broken-off")));
    }

    // The endpoint names its rate limit in each answer. Without the limit it would receive every request of its
    // callers.
    @Test
    public void anEndpointReceivesNoMoreThanItsRateLimitAndCallersAreRefusedAtOnceWithARetryTime() throws Exception {
        await().atMost(TIMEOUT).until(() -> post("/spared/limited").status() == 200);
        int before = limited.requests().size();
        long startNanos = System.nanoTime();
        int refused = 0;
        for (int index = 0; index < 20; index++) {
            HttpResponse answer = post("/spared/limited");
            if (answer.status() == 503) {
                refused++;
                assertTrue(Double.parseDouble(answer.header("Retry-After")) > 0, answer.text());
            }
        }
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        int received = limited.requests().size() - before;
        assertTrue(received <= 1 + seconds, received + " requests arrived in " + seconds + " s");
        assertEquals(refused, 20 - received);
    }

    // The endpoint is the only one of its service and names a back-off of thirty seconds. Without the back-off it
    // would receive the request of every caller.
    @Test
    public void aRejectingEndpointReceivesOneRequestAndCallersAreRefusedWithARetryTime() throws Exception {
        await().atMost(TIMEOUT)
                .until(() ->
                        post("/busy/busy").status() == 503 && !busy.requests().isEmpty());
        for (int index = 0; index < 5; index++) {
            HttpResponse answer = post("/busy/busy");
            assertEquals(answer.status(), 503);
            assertTrue(Double.parseDouble(answer.header("Retry-After")) > 20, answer.header("Retry-After"));
        }
        assertEquals(busy.requests().size(), 1);
    }

    // The registration of the endpoint is not marked.
    @Test
    public void anEndpointThatAnnouncesInAnAnswerThatItLeavesReceivesNoFurtherRequest() throws Exception {
        await().atMost(TIMEOUT).until(() -> post("/leaving/leaving").status() == 200);
        for (int index = 0; index < 3; index++) {
            assertEquals(post("/leaving/leaving").status(), 503);
        }
        assertEquals(leaving.requests().size(), 1);
    }

    private HttpResponse post(String path) throws Exception {
        return send(request(path, "key-1"));
    }

    private HttpRequest request(String path, String key) {
        sentRequests++;
        return HttpRequest.of("POST", settings.callers(), path, "question".getBytes(StandardCharsets.UTF_8))
                .withHeader("Host", "a.example")
                .withHeader("Yuccagw-Request-Id", "r-" + sentRequests)
                .withHeader("Yuccagw-Deadline-Ms", "2000")
                .withHeader("Authorization", "Bearer " + key);
    }

    private int status(HttpRequest query) throws InterruptedException {
        try {
            return send(query).status();
        } catch (ExecutionException | java.util.concurrent.TimeoutException notYet) {
            return 0;
        }
    }

    private HttpResponse send(HttpRequest query)
            throws InterruptedException, ExecutionException, java.util.concurrent.TimeoutException {
        return httpClient.send(query).get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    private static String head(String line, String id) {
        List<String> lines = List.of(
                line + " HTTP/1.1",
                "Host: a.example",
                "Yuccagw-Request-Id: " + id,
                "Authorization: Bearer key-1",
                "Yuccagw-Deadline-Ms: 3000");
        return String.join("\r\n", lines) + "\r\n\r\n";
    }

    private static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
