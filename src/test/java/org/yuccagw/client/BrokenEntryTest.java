package org.yuccagw.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.daemon.ScriptedEndpoint;
import org.yuccagw.faults.RawServer;

/** The client library beside an entry, or a process in its place, that sends invalid bytes or never ends. */
public class BrokenEntryTest {
    private static final Duration TOTAL_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration ENDS_WITHIN = Duration.ofSeconds(10);
    private static final String CLOSING = "Connection: close\r\n\r\n";
    private static final String STREAM = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** A whole answer, of 14 bytes. */
    private static final String COMPLETION = "data: [DONE]\n\n";

    /** What the client keeps of an answer at most, and the buffers of both sockets. */
    private static final long MAX_BYTES_PER_ANSWER = 16L * 1024 * 1024;

    /** An answer whose last part is sent again and again. */
    private record Endless(String form, String start, String repeated) {
        @Override
        public String toString() {
            return form;
        }
    }

    @DataProvider
    public static Object[][] endless() {
        String data = "data: " + "x".repeat(1_000) + "\n";
        String chunk = Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
        String part = "x".repeat(8_192);
        return new Object[][] {
            {new Endless("error", "HTTP/1.1 500 No\r\nContent-Length: 9999999999\r\n\r\n", part)},
            {new Endless("line", STREAM + "ffffffff\r\ndata: ", part)},
            {new Endless("event", STREAM, chunk)},
            {new Endless("head", "HTTP/1.1 200 OK\r\nX-Own: ", part)},
        };
    }

    // Guards against an answer without end that takes the memory of the caller's process.
    @Test(dataProvider = "endless")
    public void anAnswerWithoutEndFailsAndItsConnectionIsClosed(Endless endless) throws Exception {
        AtomicInteger open = new AtomicInteger();
        AtomicInteger answers = new AtomicInteger();
        AtomicLong sentBytes = new AtomicLong();
        try (RawServer entry = RawServer.start(socket -> {
            open.incrementAndGet();
            answers.incrementAndGet();
            try {
                sendEndless(socket, endless, sentBytes);
            } finally {
                open.decrementAndGet();
            }
        })) {
            expectFailure(entry);
            TimeUnit.MILLISECONDS.sleep(200);
            assertEquals(open.get(), 0, "open connections");
            assertTrue(sentBytes.get() < answers.get() * MAX_BYTES_PER_ANSWER, sentBytes + " bytes, " + answers);
        }
    }

    @DataProvider
    public static Object[][] broken() {
        return new Object[][] {
            {"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 14\r\n\r\n" + COMPLETION},
            {"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 14\r\nContent-Length: 15\r\n\r\n" + COMPLETION},
            {"signed length", "HTTP/1.1 200 OK\r\nContent-Length: +14\r\n\r\n" + COMPLETION},
            {"no field", "HTTP/1.1 200 OK\r\nContent-Length: 14\r\nno field\r\n\r\n" + COMPLETION},
            {"folded line", "HTTP/1.1 200 OK\r\nContent-Length: 14\r\nX-Own: a\r\n b\r\n\r\n" + COMPLETION},
            {"no end", "HTTP/1.1 200 OK\r\n\r\n" + COMPLETION},
            {"size of a chunk", STREAM + "+e\r\n" + COMPLETION + "\r\n0\r\n\r\n"},
        };
    }

    @Test(dataProvider = "broken")
    public void anInvalidAnswerIsNoCompletion(String what, String answer) throws Exception {
        try (RawServer entry = RawServer.start(socket -> {
            readRequest(socket);
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
        })) {
            expectFailure(entry);
        }
    }

    // Guards against a caller that waits for ever since the number of tokens is missing.
    @Test
    public void anAnswerWithoutUsageIsACompletion() throws Exception {
        String body = "id: 1\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n";
        try (RawServer entry = RawServer.start(socket -> {
            readRequest(socket);
            String head = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n" + CLOSING;
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
        })) {
            CompletionResult result = complete(entry).get(ENDS_WITHIN.toMillis(), TimeUnit.MILLISECONDS);
            assertEquals(result.text(), "a");
        }
    }

    private static void expectFailure(RawServer entry) {
        expectThrows(
                ExecutionException.class, () -> complete(entry).get(ENDS_WITHIN.toMillis(), TimeUnit.MILLISECONDS));
    }

    private static CompletableFuture<CompletionResult> complete(RawServer entry) throws IOException {
        ClientSettings settings =
                ClientSettings.of(List.of(entry.address()), "key").withTimeouts(TOTAL_TIMEOUT, TOTAL_TIMEOUT);
        YuccagwClient client = YuccagwClient.start(settings);
        return client.startCompletion(CompletionRequest.of("model", "prompt"), piece -> {})
                .whenComplete((result, failure) -> client.stop());
    }

    private static void readRequest(Socket socket) throws IOException {
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        ScriptedEndpoint.readRequest(reader.readLine(), reader);
    }

    private static void sendEndless(Socket socket, Endless endless, AtomicLong sentBytes) throws IOException {
        readRequest(socket);
        OutputStream out = socket.getOutputStream();
        out.write(endless.start().getBytes(StandardCharsets.ISO_8859_1));
        byte[] portion = endless.repeated().getBytes(StandardCharsets.ISO_8859_1);
        while (true) {
            out.write(portion);
            sentBytes.addAndGet(portion.length);
        }
    }
}
