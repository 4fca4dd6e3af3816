package org.yuccagw.process;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.HeaderMap;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.adapters.http.HttpStreamListener;
import org.yuccagw.standins.engine.SseText;
import org.yuccagw.standins.http.StandInJson;

/** One call whose answer may be looked at while it comes. */
final class StreamedCall implements HttpStreamListener {
    private static final int NO_ANSWER = 0;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final CompletableFuture<Void> over = new CompletableFuture<>();
    private volatile int status = NO_ANSWER;
    private volatile HeaderMap headers = new HeaderMap();
    private volatile boolean complete;
    private volatile String failure = "";

    static StreamedCall begin(HttpClient http, HttpQuery query, Duration silence) {
        StreamedCall call = new StreamedCall();
        http.stream(
                query.withTimeouts(Duration.ofSeconds(5), silence),
                http.worker().getIoThread(),
                call);
        return call;
    }

    @Override
    public void onHead(int answeredStatus, HeaderMap answeredHeaders) {
        headers = answeredHeaders;
        status = answeredStatus;
    }

    @Override
    public synchronized void onBytes(ByteBuffer buffer) {
        byte[] read = new byte[buffer.remaining()];
        buffer.get(read);
        bytes.write(read, 0, read.length);
    }

    @Override
    public void onEnd() {
        complete = true;
        over.complete(null);
    }

    @Override
    public void onFailure(Phase phase, boolean silent, IOException cause) {
        failure = phase + (silent ? ", silent: " : ": ") + cause;
        over.complete(null);
    }

    /** Waits for the end, good or bad. */
    StreamedCall awaitEnd() throws Exception {
        over.get(120, TimeUnit.SECONDS);
        return this;
    }

    boolean isOver() {
        return over.isDone();
    }

    /** 0 while no answer began. */
    int status() {
        return status;
    }

    /** Whether the connection delivered the answer to its end. */
    boolean isComplete() {
        return complete;
    }

    String header(String name) {
        String value = headers.getFirst(name);
        return value == null ? "" : value;
    }

    synchronized String text() {
        return bytes.toString(StandardCharsets.UTF_8);
    }

    SseText events() {
        return SseText.of(text());
    }

    /** For the message of a failing test. */
    String describe() {
        return "status " + status + (complete ? " complete, " : " broken off, ")
                + events().ids().size() + " tokens, " + header("X-Request-Id") + " " + error() + " " + failure;
    }

    /** The error object of the answer, also of one that broke off with an error event. */
    JsonNode error() {
        String text = text();
        int begin = text.indexOf("{\"error\"");
        if (begin < 0) {
            return StandInJson.object();
        }
        int end = text.indexOf('\n', begin);
        String json = end < 0 ? text.substring(begin) : text.substring(begin, end);
        return StandInJson.parse(json.getBytes(StandardCharsets.UTF_8)).path("error");
    }
}
