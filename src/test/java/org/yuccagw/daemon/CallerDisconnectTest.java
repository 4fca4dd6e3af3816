package org.yuccagw.daemon;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Callers that disconnect before a delayed entry reads their requests. */
public class CallerDisconnectTest {
    private static final int CALLERS = 20;
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private ScriptedEndpoint endpoint;
    private DirectServing serving;

    @BeforeMethod
    public void startServing() throws Exception {
        endpoint = new ScriptedEndpoint();
        serving = DirectServing.start(endpoint.address(), 3_000);
    }

    @AfterMethod(alwaysRun = true)
    public void stopServing() throws IOException {
        serving.close();
        endpoint.close();
    }

    private Socket send(String path) throws IOException {
        Socket socket = new Socket(serving.callers().host(), serving.callers().port());
        OutputStream out = socket.getOutputStream();
        String head = "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nYuccagw-Request-Id: "
                + Integer.toHexString(path.hashCode()) + "\r\nYuccagw-Deadline-Ms: 3000\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.US_ASCII));
        out.flush();
        return socket;
    }

    // An entry gets no processor time for a while. Twenty callers connect, send, give up and close; then the entry
    // continues and finds their requests complete in its buffers. None of them may reach an endpoint, whose work
    // would be wasted.
    @Test
    public void requestsOfCallersThatDisconnectedBeforeTheyWereReadReachNoEndpoint() throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch resume = new CountDownLatch(1);
        serving.execute(() -> {
            blocked.countDown();
            try {
                resume.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        blocked.await();
        List<Socket> callers = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            callers.add(send("/plain/gone-" + caller));
        }
        for (Socket caller : callers) {
            caller.close();
        }
        resume.countDown();
        await().atMost(TIMEOUT).until(() -> serving.placementsRequested() == CALLERS);
        try (Socket connectedCaller = send("/plain/staying")) {
            assertEquals(connectedCaller.getInputStream().read(), 'H');
        }
        assertEquals(endpoint.requests().size(), 1, "requests at the endpoint: " + endpoint.requests());
    }
}
