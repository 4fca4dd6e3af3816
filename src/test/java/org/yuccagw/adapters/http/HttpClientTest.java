package org.yuccagw.adapters.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.undertow.Undertow;
import io.undertow.util.Headers;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.daemon.ScriptedEndpoint;
import org.yuccagw.faults.RawServer;

public class HttpClientTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";

    private Undertow server;
    private HttpClient client;
    private NetworkAddress address;

    @BeforeClass
    public void start() throws Exception {
        server = Undertow.builder()
                .addHttpListener(0, "127.0.0.1")
                .setHandler(exchange -> exchange.getRequestReceiver().receiveFullBytes((exchangeWithBody, body) -> {
                    exchangeWithBody.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
                    exchangeWithBody
                            .getResponseSender()
                            .send(exchangeWithBody.getRequestMethod()
                                    + " "
                                    + exchangeWithBody.getRequestPath()
                                    + " "
                                    + new String(body, StandardCharsets.UTF_8));
                }))
                .build();
        server.start();
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        address = NetworkAddress.of("127.0.0.1", bound.getPort());
        client = HttpClient.start(2);
    }

    @AfterClass
    public void stop() {
        client.stop();
        server.stop();
    }

    @Test
    public void aGetRequestReceivesItsResponse() throws Exception {
        HttpResponse response = client.send(HttpRequest.get(address, "/a")).get(10, TimeUnit.SECONDS);
        assertEquals(response.text(), "GET /a ");
    }

    @Test
    public void aLargeBodyArrivesComplete() throws Exception {
        String body = "x".repeat(1_000_000);
        HttpResponse response =
                client.send(HttpRequest.json("POST", address, "/b", body)).get(10, TimeUnit.SECONDS);
        assertEquals(response.text().length(), "POST /b ".length() + body.length());
    }

    @Test
    public void aConnectionIsReusedForManyRequests() throws Exception {
        for (int i = 0; i < 200; i++) {
            HttpResponse response =
                    client.send(HttpRequest.json("PUT", address, "/" + i, "{}")).get(10, TimeUnit.SECONDS);
            assertEquals(response.text(), "PUT /" + i + " {}");
        }
    }

    // Guards against a response that looks complete although its sender failed and its connection ended.
    @Test
    public void aResponseWithoutAStatedEndFailsIfOneIsRequired() throws Exception {
        try (FixedAnswerServer server = FixedAnswerServer.start("HTTP/1.1 200 OK\n\nhalf")) {
            HttpRequest request = HttpRequest.get(server.address(), "/");
            assertEquals(client.send(request).get(10, TimeUnit.SECONDS).text(), "half");
            ExecutionException failure = expectThrows(
                    ExecutionException.class,
                    () -> client.send(request.withStatedEndRequired()).get(10, TimeUnit.SECONDS));
            assertTrue(failure.getCause() instanceof IOException);
        }
    }

    @Test
    public void aResponseThatEndsBeforeItsLastChunkFailsWithAMessage() throws Exception {
        String half = "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n4\nhalf\n";
        try (FixedAnswerServer server = FixedAnswerServer.start(half)) {
            ExecutionException failure = expectThrows(
                    ExecutionException.class,
                    () -> client.send(HttpRequest.get(server.address(), "/")).get(10, TimeUnit.SECONDS));
            assertTrue(failure.getCause().getMessage().contains("before the end of the response"));
        }
    }

    // Guards against requests that wait forever on a connection whose state was dropped on the path. The listener here
    // accepts the connection and never sends a byte; the silence timeout must fail the request and name the cause.
    @Test
    public void aSilentConnectionFailsAfterTheTimeout() throws Exception {
        try (ServerSocket silent = new ServerSocket(0)) {
            NetworkAddress silentAddress = NetworkAddress.of("127.0.0.1", silent.getLocalPort());
            HttpRequest request =
                    HttpRequest.get(silentAddress, "/").withTimeouts(Duration.ofSeconds(5), Duration.ofMillis(100));
            ExecutionException failure = expectThrows(
                    ExecutionException.class, () -> client.send(request).get(30, TimeUnit.SECONDS));
            assertTrue(failure.getCause() instanceof IOException);
            assertTrue(failure.getCause().getMessage().contains("silent"));
        }
    }

    // Guards against a probe that never ends since a byte of its response arrives now and then.
    @Test
    public void aHeadThatArrivesByteByByteFailsAfterTheTimeout() throws Exception {
        try (RawServer server = RawServer.start(socket -> {
            for (int sent = 0; sent < HEAD.length(); sent++) {
                socket.getOutputStream().write(HEAD.charAt(sent));
                TimeUnit.MILLISECONDS.sleep(100);
            }
        })) {
            HttpRequest request =
                    HttpRequest.get(server.address(), "/").withTimeouts(Duration.ofSeconds(1), Duration.ofMillis(500));
            ExecutionException failure = expectThrows(
                    ExecutionException.class, () -> client.send(request).get(10, TimeUnit.SECONDS));
            assertTrue(failure.getCause().getMessage().contains("silent"), failure.toString());
        }
    }

    // Guards against bytes on an idle connection that the next request takes for its response.
    @Test
    public void bytesOnAnIdleConnectionAreNoResponse() throws Exception {
        AtomicInteger connections = new AtomicInteger();
        try (RawServer server = RawServer.start(socket -> {
            int connection = connections.incrementAndGet();
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            ScriptedEndpoint.readRequest(reader.readLine(), reader);
            socket.getOutputStream().write((HEAD + connection).getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
            socket.getOutputStream().write((HEAD + "x").getBytes(StandardCharsets.US_ASCII));
            TimeUnit.SECONDS.sleep(10);
        })) {
            for (int request = 1; request <= 3; request++) {
                HttpResponse response = sendOnOneThread(HttpRequest.get(server.address(), "/"));
                assertEquals(response.text(), Integer.toString(request));
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
    }

    private HttpResponse sendOnOneThread(HttpRequest request) throws Exception {
        CompletableFuture<HttpResponse> response = new CompletableFuture<>();
        ResponseCollector collector =
                ResponseCollector.of(response::complete, (phase, cause) -> response.completeExceptionally(cause));
        client.stream(request, client.worker().getIoThread(0), collector);
        return response.get(10, TimeUnit.SECONDS);
    }
}
