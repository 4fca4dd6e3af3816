package org.yuccagw.process;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.Reporter;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.daemon.ScriptedEndpoint;
import org.yuccagw.faults.RawServer;
import org.yuccagw.standins.keyvalue.KeyValueSettings;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;
import org.yuccagw.standins.platform.PlatformDocuments;
import org.yuccagw.standins.platform.SmallDeployment;

/**
 * An entry in a process of its own, with the heap of the deploy file, whose stores, engines and key-value service send
 * bytes without end.
 */
@Test(groups = "process")
public class EndlessAnswerProcessTest {
    private static final int FAULTY_STORES = 6;
    private static final int FAULTY_ENGINES = 6;
    private static final int TIMEOUT_MILLIS = 500;
    private static final int SUCCESS = 200;
    private static final int NO_ANSWER = 0;
    private static final Duration TROUBLE = Duration.ofSeconds(10);
    private static final Duration RECOVERED_WITHIN = Duration.ofSeconds(12);
    private static final byte[] PORTION = "\"".repeat(32 * 1024).getBytes(StandardCharsets.US_ASCII);

    private final List<RawServer> servers = new ArrayList<>();
    private final AtomicLong endlessAnswers = new AtomicLong();
    private volatile boolean endless;
    private KeyValueStandIn keyValue;
    private HttpClient httpClient;
    private ScriptedEndpoint endpoint;
    private SoakEntry entry;

    @DataProvider
    public static Object[][] starts() {
        return new Object[][] {
            {"a body without length", "HTTP/1.1 200 OK\r\n\r\n", ""},
            {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8000\r\n"},
            {"a head", "HTTP/1.1 200 OK\r\nX-Own: ", ""}
        };
    }

    @AfterMethod(alwaysRun = true)
    public void endAll() throws Exception {
        entry.stop();
        httpClient.stop();
        endpoint.close();
        for (RawServer server : servers) {
            server.close();
        }
        keyValue.stop();
    }

    /** What became of the requests that were sent to a sound endpoint meanwhile. */
    private record Served(int sent, int successes, int unanswered) {}

    // Guards against an entry that keeps bytes without end until its memory is used up.
    @Test(dataProvider = "starts")
    public void anEntryServesOnWhileOtherProcessesSendWithoutEnd(String what, String start, String chunk)
            throws Exception {
        Served served = serveBesideEndlessAnswers(what, start, chunk);
        assertTrue(served.successes() >= served.sent() * 9 / 10, what + ": " + served);
    }

    // Guards against requests that are cut when the entry beside them ends for want of memory.
    @Test(dataProvider = "starts")
    public void everyRequestIsAnsweredWhileOtherProcessesSendWithoutEnd(String what, String start, String chunk)
            throws Exception {
        Served served = serveBesideEndlessAnswers(what, start, chunk);
        assertEquals(served.unanswered(), 0, what + ": " + served);
    }

    private Served serveBesideEndlessAnswers(String what, String start, String chunk) throws Exception {
        startAll(start, chunk);
        endless = true;
        long endNanos = System.nanoTime() + TROUBLE.toNanos();
        int sent = 0;
        int successes = 0;
        int unanswered = 0;
        while (System.nanoTime() - endNanos < 0) {
            int status = status();
            sent++;
            successes += status == SUCCESS ? 1 : 0;
            unanswered += status == NO_ANSWER ? 1 : 0;
            TimeUnit.MILLISECONDS.sleep(20);
        }
        Served served = new Served(sent, successes, unanswered);
        Reporter.log(what + ": " + served + " beside " + endlessAnswers + " endless ones", true);
        assertTrue(entry.isAlive(), "the entry has ended");
        assertTrue(endlessAnswers.get() > FAULTY_STORES, "only " + endlessAnswers + " endless answers");
        endless = false;
        await().atMost(RECOVERED_WITHIN).until(this::isServed);
        return served;
    }

    private void startAll(String start, String chunk) throws Exception {
        endless = false;
        endlessAnswers.set(0);
        keyValue = KeyValueStandIn.start(KeyValueSettings.defaults());
        httpClient = HttpClient.start(1);
        endpoint = new ScriptedEndpoint();
        NetworkAddress service = serve(socket -> passOn(socket, start, chunk));
        PlatformDocuments configuration = PlatformDocuments.configuration(1)
                .route(SmallDeployment.PLAIN, "idempotent", "plain", TIMEOUT_MILLIS, 2)
                .route(SmallDeployment.PROMPTS, "streaming", "engines", TIMEOUT_MILLIS, 2)
                .plain("plain")
                .engines("engines", "model");
        for (int store = 0; store < FAULTY_STORES; store++) {
            configuration.store("store-" + store, serve(socket -> sendEndless(socket, start, chunk)), "a", 100_000, 1);
        }
        keyValue.put(PlatformDocuments.CONFIGURATION, configuration.bytes());
        keyValue.put(
                PlatformDocuments.endpointKey("plain-1"),
                PlatformDocuments.endpoint("plain", endpoint.address(), "a", false));
        for (int engine = 0; engine < FAULTY_ENGINES; engine++) {
            keyValue.put(
                    PlatformDocuments.endpointKey("engine-" + engine),
                    PlatformDocuments.engine(
                            "engines", serve(socket -> sendEndless(socket, start, chunk)), "a", "model", 1));
        }
        entry = SoakEntry.start("entry", service, httpClient);
        entry.awaitReady();
        await().atMost(RECOVERED_WITHIN).until(this::isServed);
    }

    private NetworkAddress serve(RawServer.Handler handler) throws IOException {
        RawServer server = RawServer.start(handler);
        servers.add(server);
        return server.address();
    }

    private boolean isServed() throws InterruptedException {
        return status() == SUCCESS;
    }

    private int status() throws InterruptedException {
        try {
            return httpClient
                    .send(SmallDeployment.request(entry.callers(), SmallDeployment.PLAIN + "x")
                            .withNewConnection())
                    .get()
                    .status();
        } catch (ExecutionException noAnswer) {
            return NO_ANSWER;
        }
    }

    /** Passes a connection on to the key-value service until the trouble begins, and then sends without end. */
    private void passOn(Socket socket, String start, String chunk) throws IOException {
        if (endless) {
            sendEndless(socket, start, chunk);
            return;
        }
        NetworkAddress service = keyValue.address();
        try (Socket other = new Socket(service.host(), service.port())) {
            Thread back = new Thread(() -> copy(other, socket), "back");
            back.setDaemon(true);
            back.start();
            copy(socket, other);
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[16 * 1024];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            for (int count = in.read(buffer); count >= 0 && !endless; count = in.read(buffer)) {
                to.getOutputStream().write(buffer, 0, count);
            }
        } catch (IOException ignored) {
            // One of the two has closed its connection.
        }
    }

    private void sendEndless(Socket socket, String start, String chunk) throws IOException {
        if (socket.getInputStream().read(new byte[4096]) < 0) {
            return;
        }
        endlessAnswers.incrementAndGet();
        OutputStream out = socket.getOutputStream();
        out.write(start.getBytes(StandardCharsets.US_ASCII));
        while (true) {
            out.write(chunk.getBytes(StandardCharsets.US_ASCII));
            out.write(PORTION);
            if (!chunk.isEmpty()) {
                out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            }
        }
    }
}
