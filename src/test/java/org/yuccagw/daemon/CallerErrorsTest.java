package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.bench.local.LocalCatalogue;
import org.yuccagw.bench.local.LocalDeployment;
import org.yuccagw.bench.local.LocalPlan;
import org.yuccagw.core.id.NetworkAddress;

public class CallerErrorsTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String KEY = LocalCatalogue.workspaceKey("statistics");
    private static final String GOOD = "{\"model\":\"assistant\",\"prompt\":\"hello\",\"max_tokens\":2}";
    private static final int SOCKET_MILLIS = 30_000;

    private LocalDeployment deployment;
    private NetworkAddress entry;

    @BeforeClass
    public void start() throws Exception {
        deployment = LocalDeployment.start(LocalPlan.usual().withEntries(1));
        entry = deployment.callerAddresses().get(0);
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        if (deployment != null) {
            deployment.stop();
        }
    }

    @DataProvider
    public Object[][] wrongRequests() {
        return new Object[][] {
            // path, body, status, code
            {"/v1/completions", "{\"model\":", 400, "malformed_body"},
            {"/v1/completions", "[1,2]", 400, "malformed_body"},
            {"/v1/completions", "", 400, "malformed_body"},
            {"/v1/completions", "{\"prompt\":\"x\"}", 400, "wrong_field"},
            {"/v1/completions", "{\"model\":7,\"prompt\":\"x\"}", 400, "wrong_field"},
            {"/v1/completions", "{\"model\":\"\",\"prompt\":\"x\"}", 400, "wrong_field"},
            {"/v1/completions", "{\"model\":\"assistant\",\"prompt\":[1]}", 400, "wrong_field"},
            {"/v1/completions", "{\"model\":\"assistant\",\"prompt\":\"x\",\"max_tokens\":0}", 400, "wrong_field"},
            {"/v1/completions", "{\"model\":\"assistant\",\"prompt\":\"x\",\"max_tokens\":\"9\"}", 400, "wrong_field"},
            {"/v1/completions", "{\"model\":\"assistant\",\"prompt\":\"x\",\"stream\":1}", 400, "wrong_field"},
            {"/v1/completions", "{\"model\":\"gtp-4\",\"prompt\":\"x\"}", 404, "unknown_model"},
            {"/v1/completions", "{\"model\":\"notebook\",\"prompt\":\"x\"}", 404, "unknown_model"},
            {"/v1/chat/completions", "{\"model\":\"assistant\",\"messages\":[]}", 400, "wrong_field"},
            {"/v1/chat/completions", "{\"model\":\"assistant\",\"messages\":[{\"role\":\"user\"}]}", 400, "wrong_field"
            },
            {"/v1/resume", "{\"token\":\"nonsense\",\"from\":1}", 400, "wrong_resume_token"},
            {"/nothing/here", "{}", 404, "unknown_path"},
            {"/assistant/x", "{}", 404, "unknown_path"},
            {"/notebook/label", "{}", 400, "missing_idempotency_key"},
        };
    }

    @Test(dataProvider = "wrongRequests")
    public void aWrongRequestGetsItsOwnErrorAndIsNotRun(String path, String body, int status, String code)
            throws Exception {
        HttpResponse answer =
                deployment.send(HttpQuery.json("POST", entry, path, body).withHeader("Authorization", "Bearer " + KEY));
        assertEquals(answer.status(), status, answer.text());
        assertError(answer.text(), code);
    }

    @DataProvider
    public Object[][] wrongKeys() {
        return new Object[][] {
            {"", 401, "missing_key"},
            {"Basic abc", 401, "missing_key"},
            {"Bearer nobody", 401, "wrong_key"},
            {"Bearer ", 401, "missing_key"},
        };
    }

    @Test(dataProvider = "wrongKeys")
    public void aWrongKeyIsRefused(String authorization, int status, String code) throws Exception {
        HttpQuery query = HttpQuery.json("POST", entry, "/v1/completions", GOOD);
        HttpResponse answer =
                deployment.send(authorization.isEmpty() ? query : query.withHeader("Authorization", authorization));
        assertEquals(answer.status(), status, answer.text());
        assertEquals(answer.header("WWW-Authenticate"), "Bearer");
        assertError(answer.text(), code);
    }

    @Test
    public void aBodyThatIsNotUtf8IsRefusedWithThePlace() throws Exception {
        byte[] body = GOOD.replace("hello", "hel?lo").getBytes(StandardCharsets.ISO_8859_1);
        int place = GOOD.indexOf("hello") + 3;
        body[place] = (byte) 0xE4;
        HttpResponse answer = deployment.send(
                HttpQuery.of("POST", entry, "/v1/completions", body).withHeader("Authorization", "Bearer " + KEY));
        assertError(answer.text(), "malformed_utf8");
        assertTrue(answer.text().contains("byte " + place), answer.text());
    }

    @Test
    public void aBodyThatIsTooLargeIsRefusedBeforeItArrives() throws Exception {
        String answer = exchange(head("/v1/completions", 100_000_000), new byte[0]);
        assertTrue(answer.startsWith("HTTP/1.1 413"), answer);
        assertTrue(answer.contains("body_too_large"), answer);
    }

    // A caller sends half of its body and then nothing. Others must not wait for it, and it must learn why it ended.
    @Test
    public void aBodyThatStopsHalfWayIsRefusedAndCostsOthersNothing() throws Exception {
        try (Socket slow = new Socket(entry.host(), entry.port())) {
            slow.setSoTimeout(SOCKET_MILLIS);
            slow.getOutputStream().write(head("/v1/completions", GOOD.length()));
            slow.getOutputStream().write(GOOD.substring(0, 10).getBytes(StandardCharsets.UTF_8));
            slow.getOutputStream().flush();
            HttpResponse other = deployment.send(HttpQuery.json("POST", entry, "/v1/completions", GOOD)
                    .withHeader("Authorization", "Bearer " + KEY));
            assertEquals(other.status(), 200, other.text());
            String answer = readAll(slow);
            assertTrue(answer.startsWith("HTTP/1.1 408"), answer);
            assertTrue(answer.contains("slow_body"), answer);
        }
    }

    @Test
    public void aConnectionCutInMidBodyCostsOthersNothing() throws Exception {
        for (int i = 0; i < 20; i++) {
            try (Socket cut = new Socket(entry.host(), entry.port())) {
                cut.getOutputStream().write(head("/v1/completions", GOOD.length()));
                cut.getOutputStream().write(GOOD.substring(0, 10).getBytes(StandardCharsets.UTF_8));
            }
        }
        HttpResponse other = deployment.send(
                HttpQuery.json("POST", entry, "/v1/completions", GOOD).withHeader("Authorization", "Bearer " + KEY));
        assertEquals(other.status(), 200, other.text());
    }

    @Test
    public void headersThatAreTooLargeEndOnlyTheirOwnConnection() throws Exception {
        String huge = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Filler: " + "y".repeat(100_000) + "\r\n\r\n";
        String answer = exchange(huge.getBytes(StandardCharsets.US_ASCII), new byte[0]);
        assertTrue(answer.isEmpty() || answer.startsWith("HTTP/1.1 4"), answer);
        HttpResponse other = deployment.send(HttpQuery.get(entry, "/v1/directory"));
        assertEquals(other.status(), 200, other.text());
    }

    @Test
    public void anotherMethodIsRefusedWithTheRightOne() throws Exception {
        HttpResponse answer =
                deployment.send(HttpQuery.get(entry, "/v1/completions").withHeader("Authorization", "Bearer " + KEY));
        assertEquals(answer.status(), 405, answer.text());
        assertTrue(answer.text().contains("POST"), answer.text());
    }

    private static void assertError(String text, String code) throws IOException {
        JsonNode error = JSON.readTree(text).path("error");
        assertEquals(error.path("code").asText(), code, text);
        assertEquals(error.path("ran").asText(), "not-run", text);
        assertTrue(!error.path("message").asText().isBlank(), text);
    }

    private static byte[] head(String path, int length) {
        return ("POST " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + KEY
                        + "\r\nContent-Type: application/json\r\nContent-Length: " + length + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    private String exchange(byte[] head, byte[] body) throws IOException {
        try (Socket socket = new Socket(entry.host(), entry.port())) {
            socket.setSoTimeout(SOCKET_MILLIS);
            OutputStream out = socket.getOutputStream();
            out.write(head);
            out.write(body);
            out.flush();
            return readAll(socket);
        }
    }

    /** What the entry sends until it closes the connection. */
    private static String readAll(Socket socket) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        byte[] buffer = new byte[4096];
        try {
            for (int count = socket.getInputStream().read(buffer);
                    count >= 0;
                    count = socket.getInputStream().read(buffer)) {
                bytes.write(buffer, 0, count);
            }
        } catch (java.net.SocketException ended) {
            return bytes.toString(StandardCharsets.UTF_8);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
