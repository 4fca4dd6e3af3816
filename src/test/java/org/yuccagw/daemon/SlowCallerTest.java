package org.yuccagw.daemon;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.faults.RawServer;
import org.yuccagw.standins.platform.SmallDeployment;

/** Over sockets: callers that don't read an answer whose last bytes have reached the entry. */
public class SlowCallerTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final int ROUTE_TIMEOUT_MILLIS = 20_000;
    private static final int READ_TIMEOUT_MILLIS = 5_000;
    private static final int FILL_MILLIS = 300;
    private static final int KILOBYTE = 1024;
    private static final int MAX_BODY_BYTES = 32 * 1024 * KILOBYTE;

    /** A quarter of what the entry queues; the buffers of connections differ by more. */
    private static final int STEP_BYTES = 64 * KILOBYTE;

    private static final int STEPS = 6;

    private RawServer endpoint;
    private DirectServing serving;

    @BeforeMethod
    public void startServing() throws Exception {
        endpoint = RawServer.start(SlowCallerTest::serve);
        serving = DirectServing.start(endpoint.address(), ROUTE_TIMEOUT_MILLIS);
    }

    @AfterMethod(alwaysRun = true)
    public void stopServing() throws IOException {
        serving.close();
        endpoint.close();
    }

    // Guards against a stop that cuts answers whose last bytes wait in the entry for a caller that reads slowly.
    @Test
    public void aRequestIsInProgressUntilItsWholeAnswerHasLeftTheEntry() throws Exception {
        int fits = largestBodyThatFits();
        for (int step = -STEPS; step <= STEPS; step++) {
            long ended = serving.endedRequests();
            int bytes = fits + step * STEP_BYTES;
            try (Socket caller = send(bytes)) {
                TimeUnit.MILLISECONDS.sleep(FILL_MILLIS);
                if (serving.endedRequests() > ended) {
                    assertIsWholeThoughTheEntryStandsStillOnceIdle(caller, bytes);
                }
            }
            await().atMost(TIMEOUT).until(() -> serving.endedRequests() == ended + 1);
            await().atMost(TIMEOUT).until(() -> serving.requestsInProgress() == 0);
        }
    }

    private void assertIsWholeThoughTheEntryStandsStillOnceIdle(Socket caller, int bytes) throws IOException {
        CountDownLatch read = new CountDownLatch(1);
        if (serving.requestsInProgress() == 0) {
            serving.execute(() -> Uninterruptibles.awaitUninterruptibly(read));
        }
        try {
            assertEquals(readBody(caller, bytes), bytes);
        } finally {
            read.countDown();
        }
    }

    /** Returns the size of the largest body that the entry and the connections hold for a caller that doesn't read. */
    private int largestBodyThatFits() throws Exception {
        int fits = 0;
        int tooLarge = MAX_BODY_BYTES;
        while (tooLarge - fits > STEP_BYTES) {
            int middle = (fits + tooLarge) / 2;
            long ended = serving.endedRequests();
            try (Socket caller = send(middle)) {
                assertTrue(caller.isConnected());
                TimeUnit.MILLISECONDS.sleep(FILL_MILLIS);
                if (serving.endedRequests() > ended) {
                    fits = middle;
                } else {
                    tooLarge = middle;
                }
            }
            await().atMost(TIMEOUT).until(() -> serving.endedRequests() == ended + 1);
        }
        return fits;
    }

    private Socket send(int bodyBytes) throws IOException {
        NetworkAddress entry = serving.callers();
        Socket socket = new Socket(entry.host(), entry.port());
        String head = "GET " + SmallDeployment.PLAIN + bodyBytes + " HTTP/1.1\r\nHost: a.example\r\n"
                + "Yuccagw-Request-Id: request-1\r\nYuccagw-Deadline-Ms: " + ROUTE_TIMEOUT_MILLIS + "\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static int readBody(Socket socket, int bytes) throws IOException {
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) in.read());
        }
        return in.readNBytes(bytes).length;
    }

    /** Answers with as many bytes as the end of the path states. */
    private static void serve(Socket socket) throws IOException {
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            int bytes = Integer.parseInt(line.split(" ", 3)[1].substring(SmallDeployment.PLAIN.length()));
            Map<String, String> request = ScriptedEndpoint.readRequest(line, reader);
            OutputStream out = socket.getOutputStream();
            String head = "HTTP/1.1 200 OK\r\nYuccagw-Request-Id: " + request.get("yuccagw-request-id")
                    + "\r\nYuccagw-Response-Seal: seal-1\r\nContent-Length: " + bytes + "\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            out.write(new byte[bytes]);
            out.flush();
        }
    }
}
