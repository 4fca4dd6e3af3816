package org.yuccagw.adapters.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.undertow.Undertow;
import io.undertow.util.Headers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import org.yuccagw.core.id.NetworkAddress;

public class HttpClientTest {
    private Undertow server;
    private HttpClient caller;
    private NetworkAddress address;

    @BeforeClass
    public void start() throws Exception {
        server = Undertow.builder()
                .addHttpListener(0, "127.0.0.1")
                .setHandler(exchange -> exchange.getRequestReceiver().receiveFullBytes((received, body) -> {
                    received.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
                    received.getResponseSender()
                            .send(received.getRequestMethod()
                                    + " "
                                    + received.getRequestPath()
                                    + " "
                                    + new String(body, StandardCharsets.UTF_8));
                }))
                .build();
        server.start();
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        address = NetworkAddress.of("127.0.0.1", bound.getPort());
        caller = HttpClient.start(2);
    }

    @AfterClass
    public void stop() {
        caller.stop();
        server.stop();
    }

    @Test
    public void aGetIsAnswered() throws Exception {
        HttpResponse answer = caller.send(HttpQuery.get(address, "/a")).get(10, TimeUnit.SECONDS);
        assertEquals(answer.text(), "GET /a ");
    }

    @Test
    public void aLargeBodyArrivesWhole() throws Exception {
        String body = "x".repeat(1_000_000);
        HttpResponse answer =
                caller.send(HttpQuery.json("POST", address, "/b", body)).get(10, TimeUnit.SECONDS);
        assertEquals(answer.text().length(), "POST /b ".length() + body.length());
    }

    @Test
    public void aKeptConnectionServesManyRequests() throws Exception {
        for (int i = 0; i < 200; i++) {
            HttpResponse answer =
                    caller.send(HttpQuery.json("PUT", address, "/" + i, "{}")).get(10, TimeUnit.SECONDS);
            assertEquals(answer.text(), "PUT /" + i + " {}");
        }
    }

    // A listener accepts the connection and never says a word: something between the two ends lost track of it.
    // The user would wait for good. The watch for silence ends the call and says so.
    @Test
    public void aSilentConnectionEndsWithAFailure() throws Exception {
        try (ServerSocket silent = new ServerSocket(0)) {
            NetworkAddress there = NetworkAddress.of("127.0.0.1", silent.getLocalPort());
            HttpQuery query = HttpQuery.get(there, "/").withTimeouts(Duration.ofSeconds(5), Duration.ofMillis(100));
            ExecutionException failure = expectThrows(
                    ExecutionException.class, () -> caller.send(query).get(30, TimeUnit.SECONDS));
            assertTrue(failure.getCause() instanceof IOException);
            assertTrue(failure.getCause().getMessage().contains("silent"));
        }
    }
}
