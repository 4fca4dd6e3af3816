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
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
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

/** The whole path over real sockets: directory, entry, endpoint, answer. */
public class GatewayPathTest {
    private static final Duration LONG = Duration.ofSeconds(60);

    private KeyValueStandIn keyValue;
    private ScriptedEndpoint endpoint;
    private ScriptedEndpoint inNeed;
    private ScriptedEndpoint busy;
    private ScriptedEndpoint leaving;
    private HttpClient caller;
    private GatewaySettings settings;
    private GatewayDaemon daemon;
    private int requests;

    @BeforeClass
    public void startAll() throws Exception {
        keyValue = KeyValueStandIn.start(KeyValueSettings.usual());
        endpoint = new ScriptedEndpoint();
        caller = HttpClient.start(1);
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
        inNeed = startEndpoint("i-2", "in-need");
        busy = startEndpoint("i-3", "busy");
        leaving = startEndpoint("i-4", "leaving");
        settings = GatewaySettingsReader.parse(
                SmallDeployment.settings("entry-1", keyValue.address(), SmallDeployment.freePorts(4)));
        daemon = GatewayDaemon.start(settings);
        await().atMost(LONG).until(() -> status(HttpQuery.get(settings.readiness(), SmallDeployment.READINESS)) == 200);
        await().atMost(LONG).until(() -> ask("/once/x").status() == 200);
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
        caller.stop();
        endpoint.close();
        inNeed.close();
        busy.close();
        leaving.close();
        keyValue.stop();
    }

    @Test
    public void theDirectoryNamesTheEntry() throws Exception {
        HttpResponse answer = send(HttpQuery.get(settings.directory(), SmallDeployment.DIRECTORY));
        assertTrue(answer.text().contains("\"" + settings.callers() + "\""), answer.text());
    }

    @Test
    public void anAnswerComesWithTheEndpointsHeadersAndBody() throws Exception {
        HttpResponse answer = ask("/once/plain");
        assertEquals(answer.status(), 200);
        assertEquals(answer.text(), "body");
        assertEquals(answer.header("Yuccagw-Response-Seal"), "seal-1");
        assertEquals(answer.header("X-Own"), "kept");
    }

    @Test
    public void theEndpointGetsTheWorkspaceAndTheRestOfTheTimeAndNoKey() throws Exception {
        ask("/once/looked-at");
        Map<String, String> arrived = endpoint.requests().stream()
                .filter(request -> request.get(":line").contains("looked-at"))
                .findFirst()
                .orElseThrow();
        assertEquals(arrived.get(":line"), "POST /once/looked-at HTTP/1.1");
        assertEquals(arrived.get(":body"), "question");
        assertEquals(arrived.get("yuccagw-tenant"), "ministry");
        assertEquals(arrived.get("yuccagw-expect-instance"), "i-1");
        assertFalse(arrived.containsKey("authorization"));
        assertTrue(Integer.parseInt(arrived.get("yuccagw-deadline-ms")) <= 2_000);
    }

    @Test
    public void unknownRoutesAndKeysAreTurnedAway() throws Exception {
        assertEquals(ask("/nowhere/x").status(), 404);
        assertEquals(send(request("/once/x", "stolen")).status(), 401);
    }

    @Test
    public void aStreamArrivesWholeAndInOrder() throws Exception {
        HttpResponse answer = ask("/stream/stream");
        assertEquals(answer.text(), "id: 1\ndata: word1\n\nid: 2\ndata: word2\n\nid: 3\ndata: word3\n\n");
    }

    @Test
    public void anAnswerThatEndsWithItsConnectionIsWhole() throws Exception {
        assertEquals(ask("/once/unframed").text(), "until the end");
    }

    // The answer has neither a length nor an end that could be told from a break. Taken for an empty one it would reach
    // the caller as a success without its body.
    @Test
    public void anAnswerWhoseEndCantBeToldIsNotPassedOnAsWhole() throws Exception {
        assertEquals(ask("/once/bare").status(), 502);
    }

    // A late answer to another request comes in place of the own one.
    @Test
    public void anAnswerToAnotherRequestIsNotPassedOn() throws Exception {
        HttpResponse answer = ask("/once/foreign");
        assertEquals(answer.status(), 502);
        assertFalse(answer.text().contains("forged"));
    }

    // The endpoint sends a second answer behind the first. On the kept connection it would be read as the answer to
    // whatever request comes next.
    @Test
    public void aSecondAnswerBehindTheFirstReachesNobody() throws Exception {
        for (int index = 0; index < 5; index++) {
            assertEquals(ask("/again/twice").text(), "first");
            assertEquals(ask("/again/plain").text(), "body");
        }
    }

    @Test
    public void anAnswerThatBreaksOffIsSeenToBeBroken() {
        expectThrows(ExecutionException.class, () -> ask("/once/torn"));
    }

    @Test
    public void aRequestThatMayHaveRunIsNotSentTwice() throws Exception {
        assertEquals(ask("/once/reset").status(), 502);
        assertEquals(
                endpoint.requests().stream()
                        .filter(request -> request.get(":line").contains("/once/reset"))
                        .count(),
                1);
    }

    // The caller closes its connection while its request runs. Nothing is read from that connection then, so without a
    // watch the endpoint would work on for seconds, for nobody.
    @Test
    public void theEndpointIsToldAtOnceThatTheCallerLeft() throws Exception {
        try (Socket socket =
                new Socket(settings.callers().host(), settings.callers().port())) {
            write(socket, head("GET /again/hang", "leaver"));
            await().atMost(LONG)
                    .until(() -> endpoint.requests().stream()
                            .anyMatch(request -> "leaver".equals(request.get("yuccagw-request-id"))));
        }
        assertTrue(endpoint.sawCallerGo(5_000));
    }

    // Two requests in one write: the second one sits in the buffer while the first runs and must not get lost.
    @Test
    public void aRequestThatWasSentAheadIsAnsweredNext() throws Exception {
        try (Socket socket =
                new Socket(settings.callers().host(), settings.callers().port())) {
            socket.setSoTimeout((int) LONG.toMillis());
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

    // A body of a length told in two ways would smuggle a second request behind the first.
    @Test
    public void anAmbiguousBodyIsRefusedAndItsConnectionClosed() throws Exception {
        try (Socket socket =
                new Socket(settings.callers().host(), settings.callers().port())) {
            socket.setSoTimeout((int) LONG.toMillis());
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

    // It says in each answer what it takes, and gets whatever callers ask for all the same.
    @Test
    public void anEndpointThatNamesARateLimitGetsNoMoreAndCallersAreRefusedAtOnceWithATime() throws Exception {
        await().atMost(LONG).until(() -> ask("/spared/limited").status() == 200);
        int before = inNeed.requests().size();
        long begunNanos = System.nanoTime();
        int refused = 0;
        for (int index = 0; index < 20; index++) {
            HttpResponse answer = ask("/spared/limited");
            if (answer.status() == 503) {
                refused++;
                assertTrue(Double.parseDouble(answer.header("Retry-After")) > 0, answer.text());
            }
        }
        double seconds = (System.nanoTime() - begunNanos) / 1e9;
        int arrived = inNeed.requests().size() - before;
        assertTrue(arrived <= 1 + seconds, arrived + " arrived in " + seconds + " s");
        assertEquals(refused, 20 - arrived);
    }

    // It is the only one of its service, wants nothing for thirty seconds, and is asked by every caller all the same.
    @Test
    public void anEndpointThatTurnsAwayForAWhileGetsOneRequestAndCallersAreToldWhenToComeBack() throws Exception {
        await().atMost(LONG)
                .until(() ->
                        ask("/busy/busy").status() == 503 && !busy.requests().isEmpty());
        for (int index = 0; index < 5; index++) {
            HttpResponse answer = ask("/busy/busy");
            assertEquals(answer.status(), 503);
            assertTrue(Double.parseDouble(answer.header("Retry-After")) > 20, answer.header("Retry-After"));
        }
        assertEquals(busy.requests().size(), 1);
    }

    // Its registration says nothing of it.
    @Test
    public void anEndpointThatSaysInAnAnswerThatItLeavesGetsNoFurtherRequest() throws Exception {
        await().atMost(LONG).until(() -> ask("/leaving/leaving").status() == 200);
        for (int index = 0; index < 3; index++) {
            assertEquals(ask("/leaving/leaving").status(), 503);
        }
        assertEquals(leaving.requests().size(), 1);
    }

    private HttpResponse ask(String path) throws Exception {
        return send(request(path, "key-1"));
    }

    private HttpQuery request(String path, String key) {
        requests++;
        return HttpQuery.of("POST", settings.callers(), path, "question".getBytes(StandardCharsets.UTF_8))
                .withHeader("Host", "a.example")
                .withHeader("Yuccagw-Request-Id", "r-" + requests)
                .withHeader("Yuccagw-Deadline-Ms", "2000")
                .withHeader("Authorization", "Bearer " + key);
    }

    private int status(HttpQuery query) throws InterruptedException {
        try {
            return send(query).status();
        } catch (ExecutionException | java.util.concurrent.TimeoutException notYet) {
            return 0;
        }
    }

    private HttpResponse send(HttpQuery query)
            throws InterruptedException, ExecutionException, java.util.concurrent.TimeoutException {
        return caller.send(query).get(LONG.toSeconds(), TimeUnit.SECONDS);
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
