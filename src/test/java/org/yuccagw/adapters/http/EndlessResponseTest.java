package org.yuccagw.adapters.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.core.id.NetworkAddress;

/** Servers that send bytes without end, in a head or a body, until the client closes the connection. */
public class EndlessResponseTest {
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final Duration REQUEST_LIMIT = Duration.ofSeconds(2);
    private static final Duration OTHER_REQUEST_LIMIT = Duration.ofSeconds(1);

    /** What a client keeps of a response at most, with the buffers of both sockets. */
    private static final long MAX_BYTES_SENT = ResponseCollector.MAX_BODY_BYTES + 16L * 1024 * 1024;

    private HttpClient client;

    @BeforeMethod
    public void start() throws IOException {
        client = HttpClient.start(1);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        client.stop();
    }

    @DataProvider
    public static Object[][] forms() {
        return new Object[][] {
            {"status line", "HTTP/1.1 200 ", "x", 8192},
            {"header value", "HTTP/1.1 200 OK\r\nName: ", "x", 8192},
            {"header name", "HTTP/1.1 200 OK\r\n", "x", 8192},
            {"header lines", "HTTP/1.1 200 OK\r\n", "Name: value\r\n", 600},
            {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", 300},
            {"chunk size", CHUNKED, "0", 8192},
            {"chunk extension", CHUNKED + "5;", "x", 8192},
            {"trailers", CHUNKED + "0\r\n", "Name: value\r\n", 600},
            {"chunks", CHUNKED, "1000\r\n" + "x".repeat(4096) + "\r\n", 1},
            {"body without length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x", 8192},
            {"no response at all", "", "x", 8192},
        };
    }

    // Guards against a response without end that takes all memory, or the I/O thread from other requests.
    @Test(dataProvider = "forms")
    public void aResponseWithoutEndFailsAndItsConnectionIsClosed(String form, String start, String repeated, int times)
            throws Exception {
        try (EndlessServer endless = EndlessServer.start(start, repeated.repeat(times));
                EndlessServer sound = EndlessServer.start("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "")) {
            Future<HttpResponse> response = client.send(HttpRequest.get(endless.address(), "/"));
            Future<HttpResponse> other = client.send(HttpRequest.get(sound.address(), "/"));
            assertEquals(
                    other.get(OTHER_REQUEST_LIMIT.toMillis(), TimeUnit.MILLISECONDS)
                            .text(),
                    "ok");
            assertFails(response, form);
            assertTrue(endless.awaitClosed(REQUEST_LIMIT), "the connection is open");
            assertTrue(endless.bytesSent() <= MAX_BYTES_SENT, endless.bytesSent() + " bytes sent");
        }
    }

    private static void assertFails(Future<HttpResponse> response, String form) throws Exception {
        try {
            response.get(REQUEST_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
            throw new AssertionError("a response for " + form);
        } catch (ExecutionException expected) {
            assertTrue(expected.getCause() instanceof IOException, expected.toString());
        } catch (TimeoutException late) {
            throw new AssertionError("no failure in time for " + form, late);
        }
    }

    /** Accepts connections, and sends a start and then the same bytes again and again to each. */
    private static final class EndlessServer implements AutoCloseable {
        private final ServerSocket listener;
        private final String start;
        private final byte[] repeated;
        private final AtomicLong bytesSent = new AtomicLong();
        private final CountDownLatch closed = new CountDownLatch(1);

        private EndlessServer(ServerSocket listener, String start, String repeated) {
            this.listener = listener;
            this.start = start;
            this.repeated = repeated.getBytes(StandardCharsets.ISO_8859_1);
        }

        private static EndlessServer start(String start, String repeated) throws IOException {
            EndlessServer server =
                    new EndlessServer(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()), start, repeated);
            Thread thread = new Thread(server::accept, "endless");
            thread.setDaemon(true);
            thread.start();
            return server;
        }

        private NetworkAddress address() {
            return NetworkAddress.of("127.0.0.1", listener.getLocalPort());
        }

        private void accept() {
            try (Socket socket = listener.accept()) {
                send(socket);
            } catch (IOException e) {
                closed.countDown();
            }
        }

        private void send(Socket socket) throws IOException {
            byte[] request = new byte[4096];
            if (socket.getInputStream().read(request) < 0) {
                return;
            }
            OutputStream out = socket.getOutputStream();
            out.write(start.getBytes(StandardCharsets.ISO_8859_1));
            while (repeated.length > 0) {
                out.write(repeated);
                bytesSent.addAndGet(repeated.length);
            }
            out.flush();
        }

        private boolean awaitClosed(Duration limit) throws InterruptedException {
            return closed.await(limit.toMillis(), TimeUnit.MILLISECONDS);
        }

        private long bytesSent() {
            return bytesSent.get();
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }
}
