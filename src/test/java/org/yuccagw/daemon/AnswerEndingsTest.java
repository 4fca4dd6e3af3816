package org.yuccagw.daemon;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Iterator;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.settings.GatewaySettings;
import org.yuccagw.daemon.EndingEndpoint.Framing;
import org.yuccagw.daemon.EndingEndpoint.Way;
import org.yuccagw.platform.GatewaySettingsReader;
import org.yuccagw.standins.keyvalue.KeyValueSettings;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;
import org.yuccagw.standins.platform.PlatformDocuments;
import org.yuccagw.standins.platform.SmallDeployment;

/** What callers hold when the answers of endpoints end in all ways and at all moments, over real sockets. */
public class AnswerEndingsTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final String EVENTS = "id: 1|data: one||id: 2|data: two||";
    private static final int FIRST_EVENT_END = EVENTS.indexOf("id: 2");

    /** Before the first event, in its id line, in its data, between the two newlines of its end, and so on. */
    private static final int[] CUTS = {
        0, 2, 9, FIRST_EVENT_END - 1, FIRST_EVENT_END, FIRST_EVENT_END + 3, EVENTS.length() - 1
    };

    private final AtomicInteger sentRequests = new AtomicInteger();
    private KeyValueStandIn keyValue;
    private EndingEndpoint endpoint;
    private HttpClient httpClient;
    private GatewaySettings settings;
    private GatewayDaemon daemon;

    /** The routes of the test. */
    private enum Target {
        STREAM("/stream/x", true),
        RESUMABLE_STREAM("/resumable/x", true),
        IDEMPOTENT("/again/x", false),
        NON_IDEMPOTENT("/once/x", false);

        private final String path;
        private final boolean streamed;

        Target(String path, boolean streamed) {
            this.path = path;
            this.streamed = streamed;
        }
    }

    /** How the caller speaks to the entry. */
    private enum Caller {
        KEPT("HTTP/1.1", ""),
        NOT_KEPT("HTTP/1.1", "Connection: close\r\n"),
        OLD("HTTP/1.0", "");

        private final String protocol;
        private final String header;

        Caller(String protocol, String header) {
            this.protocol = protocol;
            this.header = header;
        }
    }

    @BeforeClass
    public void startAll() throws Exception {
        keyValue = KeyValueStandIn.start(KeyValueSettings.defaults());
        endpoint = new EndingEndpoint();
        httpClient = HttpClient.start(1);
        keyValue.put(
                PlatformDocuments.CONFIGURATION,
                PlatformDocuments.configuration(3)
                        .route("/once/", "non_idempotent", "plain", 3_000, 1)
                        .route("/again/", "idempotent", "plain", 3_000, 1)
                        .route("/stream/", "streaming", "plain", 3_000, 1)
                        .route("/resumable/", "streaming", "plain", 3_000, 1)
                        .resumable()
                        .plain("plain")
                        .workspace("ministry", "key-1", false)
                        .bytes());
        keyValue.put(
                PlatformDocuments.endpointKey("i-1"),
                PlatformDocuments.endpoint("plain", endpoint.address(), "a", false));
        settings = GatewaySettingsReader.parse(
                SmallDeployment.settings("entry-1", keyValue.address(), SmallDeployment.freePorts(4)));
        daemon = GatewayDaemon.start(settings);
        await().atMost(TIMEOUT)
                .ignoreExceptions()
                .until(() -> httpClient
                                .send(HttpRequest.get(settings.readiness(), SmallDeployment.READINESS))
                                .get()
                                .status()
                        == 200);
        await().atMost(TIMEOUT)
                .until(() -> send(Ending.whole(Target.NON_IDEMPOTENT, Caller.KEPT, Framing.LENGTH))
                                .status()
                        == 200);
    }

    @AfterClass(alwaysRun = true)
    public void stopAll() throws IOException {
        daemon.halt();
        httpClient.stop();
        endpoint.close();
        keyValue.stop();
    }

    /**
     * One answer of the endpoint.
     *
     * @param cut number of bytes of the body after which it ends
     */
    private record Ending(Target target, Caller caller, Framing framing, Way way, int cut) {
        static Ending whole(Target target, Caller caller, Framing framing) {
            return new Ending(target, caller, framing, Way.CLOSE, EVENTS.length());
        }

        /** Returns whether the framing or a reset shows that the endpoint has not sent the whole answer. */
        private boolean isBrokenByItsConnection() {
            boolean cutShort = framing == Framing.LENGTH || framing == Framing.CHUNKS;
            return cutShort || (way == Way.RESET && framing != Framing.FALSE_LAST_CHUNK);
        }

        /** Returns whether only the events show that the endpoint has not sent the whole answer. */
        private boolean isBrokenByItsEvents() {
            boolean insideEvent = cut != 0 && cut != FIRST_EVENT_END;
            boolean withoutEvents = cut == 0 && framing != Framing.FALSE_LAST_CHUNK;
            return target.streamed && !isBrokenByItsConnection() && (insideEvent || withoutEvents);
        }
    }

    private static Iterator<Object[]> select(Stream<Ending> endings, Predicate<Ending> filter) {
        return endings.filter(filter).map(ending -> new Object[] {ending}).iterator();
    }

    private static Stream<Ending> wholeAnswers() {
        return Arrays.stream(Target.values())
                .flatMap(target -> Arrays.stream(Caller.values())
                        .flatMap(caller ->
                                Arrays.stream(Framing.values()).map(framing -> Ending.whole(target, caller, framing))));
    }

    private static Stream<Ending> cutAnswers() {
        return wholeAnswers()
                .flatMap(whole -> Arrays.stream(Way.values())
                        .flatMap(way -> Arrays.stream(CUTS)
                                .mapToObj(cut -> new Ending(whole.target, whole.caller, whole.framing, way, cut))));
    }

    @DataProvider
    public Iterator<Object[]> answersWithAStatedEnd() {
        return select(wholeAnswers(), ending -> ending.framing != Framing.NO_HEADER);
    }

    @DataProvider
    public Iterator<Object[]> answersWithoutAStatedEnd() {
        return select(wholeAnswers(), ending -> ending.framing == Framing.NO_HEADER);
    }

    @DataProvider
    public Iterator<Object[]> answersCutByTheirConnection() {
        return select(cutAnswers(), ending -> ending.caller != Caller.OLD && ending.isBrokenByItsConnection());
    }

    @DataProvider
    public Iterator<Object[]> answersCutInsideTheirEvents() {
        return select(cutAnswers(), ending -> ending.caller != Caller.OLD && ending.isBrokenByItsEvents());
    }

    @DataProvider
    public Iterator<Object[]> cutAnswersToOldCallers() {
        return select(
                cutAnswers(),
                ending -> ending.caller == Caller.OLD
                        && (ending.isBrokenByItsConnection() || ending.isBrokenByItsEvents()));
    }

    @Test(dataProvider = "answersWithAStatedEnd")
    public void aWholeAnswerArrivesWhole(Object ending) throws IOException {
        assertArrivesWhole((Ending) ending);
    }

    // Guards against an error for a sound answer that has neither a length nor chunks nor says that its connection
    // ends.
    @Test(dataProvider = "answersWithoutAStatedEnd")
    public void aWholeAnswerWithoutAStatedEndArrivesWhole(Object ending) throws IOException {
        assertArrivesWhole((Ending) ending);
    }

    // Guards against an answer that looks complete although its connection broke.
    @Test(dataProvider = "answersCutByTheirConnection")
    public void anAnswerWhoseConnectionBreaksDoesNotLookComplete(Object ending) throws IOException {
        assertLooksIncomplete((Ending) ending);
    }

    // Guards against a stream that looks complete although its endpoint ended it inside an event or before the first.
    @Test(dataProvider = "answersCutInsideTheirEvents")
    public void aStreamThatEndsInsideAnEventDoesNotLookComplete(Object ending) throws IOException {
        assertLooksIncomplete((Ending) ending);
    }

    // Guards against an aborted answer that looks complete to a caller for whom the end of the connection is its end.
    @Test(dataProvider = "cutAnswersToOldCallers")
    public void anAnswerThatBreaksOffIsResetForACallerWithoutChunks(Object ending) throws IOException {
        assertLooksIncomplete((Ending) ending);
    }

    private void assertArrivesWhole(Ending ending) throws IOException {
        RawAnswer answer = send(ending);
        assertEquals(answer.status(), 200);
        assertEquals(answer.body(), EVENTS.replace('|', '\n'));
        assertTrue(answer.complete(), answer.toString());
    }

    private void assertLooksIncomplete(Ending ending) throws IOException {
        RawAnswer answer = send(ending);
        assertFalse(answer.status() == 200 && answer.complete(), ending + ": " + answer);
        assertTrue(answer.status() != 200 || EVENTS.replace('|', '\n').startsWith(answer.body()), ending.toString());
        long arrived = endpoint.receivedIds().stream()
                .filter(("r-" + sentRequests.get())::equals)
                .count();
        assertEquals(arrived, 1, ending.toString());
    }

    private RawAnswer send(Ending ending) throws IOException {
        String head = "POST " + ending.target.path + " " + ending.caller.protocol + "\r\n"
                + ending.caller.header
                + "Host: a.example\r\n"
                + "Yuccagw-Request-Id: r-" + sentRequests.incrementAndGet() + "\r\n"
                + "Yuccagw-Deadline-Ms: 2000\r\n"
                + "Authorization: Bearer key-1\r\n"
                + "Body: " + EVENTS + "\r\n"
                + "Framing: " + ending.framing + "\r\n"
                + "Way: " + ending.way + "\r\n"
                + "Cut: " + ending.cut + "\r\n"
                + "Content-Length: 0\r\n\r\n";
        try (Socket socket =
                new Socket(settings.callers().host(), settings.callers().port())) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            return RawAnswer.read(socket.getInputStream());
        }
    }
}
