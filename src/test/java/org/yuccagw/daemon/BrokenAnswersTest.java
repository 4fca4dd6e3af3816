package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.testng.Reporter;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.daemon.CutOffEntry.Block;
import org.yuccagw.faults.AnswerSamples;
import org.yuccagw.faults.AnswerSamples.Sample;

/** Guards against invalid bytes of an endpoint that reach a caller as its answer, and against refusing valid ones. */
public class BrokenAnswersTest {
    private static final String WHOLE = "whole";
    private static final Duration NOTICE_TIME = Duration.ofSeconds(1);
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final Sample WHOLE_ANSWER = AnswerSamples.sound().get(0);

    private static final String REJECTION =
            "HTTP/1.1 503 Full\r\n" + AnswerSamples.MARKS + "Yuccagw-Not-Executed: 1\r\n";
    private static final List<Sample> BROKEN_REJECTIONS = List.of(
            new Sample(
                    "rejection with two lengths", REJECTION + "Content-Length: 0\r\nContent-Length: 1\r\n\r\n", 0, ""),
            new Sample("rejection that ends early", REJECTION + "Content-Length: 9\r\n\r\npart", 0, ""),
            new Sample("rejection with a spoilt chunk", REJECTION + "Transfer-Encoding: chunked\r\n\r\ng\r\n", 0, ""),
            new Sample("rejection too long", REJECTION + "\r\n" + "x".repeat(100_000), 0, ""));
    private static final List<Sample> SOUND_REJECTIONS = List.of(
            new Sample("rejection without a body", REJECTION + "Content-Length: 0\r\n\r\n", 503, ""),
            new Sample("rejection with a body", REJECTION + "Content-Length: 4\r\n\r\nfull", 503, ""),
            new Sample("rejection without a length", REJECTION + "\r\nfull", 503, ""),
            new Sample("rejection in chunks", REJECTION + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 503, ""));

    private final Map<String, Sample> samples = new HashMap<>();
    private CuttableFleet fleet;
    private int sentRequests;

    @BeforeClass
    public void startAll() throws Exception {
        samples.put(WHOLE, WHOLE_ANSWER);
        Stream.of(AnswerSamples.broken(), AnswerSamples.sound(), BROKEN_REJECTIONS, SOUND_REJECTIONS)
                .flatMap(List::stream)
                .forEach(sample -> samples.put(word(sample), sample));
        fleet = CuttableFleet.startWith(this::serve);
    }

    @AfterClass(alwaysRun = true)
    public void stopAll() throws Exception {
        fleet.close();
    }

    @DataProvider
    public static Object[][] ways() {
        List<Object[]> ways = new ArrayList<>();
        for (String route : List.of("/again/", "/once/", "/stream/")) {
            for (String protocol : List.of("HTTP/1.1", "HTTP/1.0")) {
                ways.add(new Object[] {route, protocol, false});
                ways.add(new Object[] {route, protocol, true});
            }
        }
        return ways.toArray(new Object[0][]);
    }

    @Test(dataProvider = "ways")
    public void bytesThatAreNoAnswerReachNoCaller(String route, String protocol, boolean relayed) throws Exception {
        preparePath(relayed);
        List<String> wrong = new ArrayList<>();
        for (Sample sample : AnswerSamples.broken()) {
            assertEquals(send(route + WHOLE, protocol).status(), 200, "before " + sample);
            RawAnswer answer = send(route + word(sample), protocol);
            boolean refused = answer.status() == 502 || answer.status() == 504 || !answer.complete();
            if (!refused) {
                wrong.add(sample + ": " + answer.status() + " '" + answer.body() + "'");
            }
        }
        report(route + " " + protocol + " broken", wrong, AnswerSamples.broken().size());
    }

    @Test(dataProvider = "ways")
    public void aRareAnswerThatIsSoundArrives(String route, String protocol, boolean relayed) throws Exception {
        preparePath(relayed);
        List<String> wrong = new ArrayList<>();
        for (Sample sample : AnswerSamples.sound()) {
            RawAnswer answer = send(route + word(sample), protocol);
            boolean arrived = answer.status() == sample.status()
                    && answer.complete()
                    && answer.body().equals(sample.body());
            if (!arrived) {
                wrong.add(sample + ": " + answer);
            }
        }
        report(route + " " + protocol + " sound", wrong, AnswerSamples.sound().size());
    }

    // Guards against a promise that a request has not run, made by an answer whose rest shows that nothing is sure.
    @Test
    public void aRejectionThatIsBrokenPromisesNothing() throws Exception {
        preparePath(false);
        for (Sample sample : BROKEN_REJECTIONS) {
            assertEquals(send("/once/" + word(sample), "HTTP/1.1").status(), 502, sample.name());
        }
        for (Sample sample : SOUND_REJECTIONS) {
            assertEquals(send("/once/" + word(sample), "HTTP/1.1").status(), 503, sample.name());
        }
    }

    @Test
    public void theAnswerToAHeadRequestArrivesWithoutABody() throws Exception {
        preparePath(false);
        for (String sample : List.of("length", "chunks", "older-protocol", "no-content")) {
            RawAnswer answer = send("HEAD", "/again/" + sample, "HTTP/1.1", "Connection: close\r\n");
            assertTrue(answer.status() == 200 || answer.status() == 204, sample + ": " + answer);
            assertEquals(answer.body(), "", sample);
        }
    }

    @Test(dependsOnMethods = "bytesThatAreNoAnswerReachNoCaller", alwaysRun = true)
    public void refusedAnswersAreCountedByReason() throws Exception {
        String metrics = fleet.caller()
                .send(HttpRequest.get(fleet.settings(0).readiness(), "/metrics"))
                .get(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .text();
        for (String reason : List.of("status", "status_line", "field", "length", "transfer_coding", "chunk")) {
            String counter = "yuccagw_refused_responses_total{reason=\"" + reason + "\"}";
            assertTrue(metrics.contains(counter), counter + " in " + metrics);
        }
    }

    private void preparePath(boolean relayed) throws Exception {
        fleet.restore(0);
        if (relayed) {
            fleet.cut(0, Block.REFUSED);
        }
        fleet.sendFor(NOTICE_TIME, 0, "/once/" + WHOLE);
    }

    private static void report(String title, List<String> wrong, int tried) {
        Reporter.log(title + ": " + wrong.size() + " of " + tried + " wrong " + wrong, true);
        assertEquals(wrong, List.of());
    }

    private static String word(Sample sample) {
        return sample.name().replaceAll("[^a-z0-9]", "-");
    }

    private RawAnswer send(String path, String protocol) throws IOException {
        return send("POST", path, protocol, "Content-Length: 0\r\n");
    }

    private RawAnswer send(String method, String path, String protocol, String field) throws IOException {
        sentRequests++;
        NetworkAddress callers = fleet.settings(0).callers();
        String head = method + " " + path + "?number=" + sentRequests + " " + protocol
                + "\r\nHost: a.example\r\nYuccagw-Request-Id: r-" + sentRequests
                + "\r\nYuccagw-Deadline-Ms: 2000\r\nAuthorization: Bearer key-1\r\n" + field + "\r\n";
        try (Socket socket = new Socket(callers.host(), callers.port())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            return RawAnswer.read(socket.getInputStream());
        }
    }

    /** Answers requests as their paths say, until an answer that only the end of its connection ends. */
    private void serve(Socket socket) throws IOException {
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        boolean isKept = true;
        for (String line = reader.readLine(); line != null; line = isKept ? reader.readLine() : null) {
            Map<String, String> request = ScriptedEndpoint.readRequest(line, reader);
            String word = line.replaceAll("^\\S+ \\S*/([^? ]+).*$", "$1");
            Sample sample = samples.getOrDefault(word, WHOLE_ANSWER);
            String marks = "Yuccagw-Request-Id: " + request.getOrDefault("yuccagw-request-id", "")
                    + "\r\nYuccagw-Response-Seal: seal-1\r\n";
            String whole = sample.text().replace(AnswerSamples.MARKS, marks);
            String answer = line.startsWith("HEAD ") ? whole.substring(0, whole.indexOf("\r\n\r\n") + 4) : whole;
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            isKept = sample.status() != 0 && statesItsEnd(sample);
        }
    }

    private static boolean statesItsEnd(Sample sample) {
        String text = sample.text().toLowerCase(Locale.ROOT);
        return text.contains("content-length") || text.contains("chunked") || sample.status() == 204;
    }
}
