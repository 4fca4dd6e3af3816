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
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponseListener;
import org.yuccagw.core.port.BodyEnd;
import org.yuccagw.standins.engine.SseText;
import org.yuccagw.standins.http.StandInJson;

/** An HTTP call whose answer can be read while it arrives. */
final class StreamedCall implements HttpResponseListener {
    private static final int NO_ANSWER = 0;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private volatile int status = NO_ANSWER;
    private volatile HeaderMap headers = new HeaderMap();
    private volatile boolean complete;
    private volatile String failure = "";

    static StreamedCall start(HttpClient http, HttpRequest query, Duration readTimeout) {
        StreamedCall call = new StreamedCall();
        http.stream(
                query.withTimeouts(Duration.ofSeconds(5), readTimeout),
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
    public void onEnd(BodyEnd end) {
        complete = true;
        ended.complete(null);
    }

    @Override
    public void onFailure(Phase phase, boolean silent, IOException cause) {
        failure = phase + (silent ? ", silent: " : ": ") + cause;
        ended.complete(null);
    }

    /** Waits until the call ends, successfully or not. */
    StreamedCall awaitEnd() throws Exception {
        ended.get(120, TimeUnit.SECONDS);
        return this;
    }

    boolean hasEnded() {
        return ended.isDone();
    }

    /** Returns the status of the answer, or 0 if no answer has begun. */
    int status() {
        return status;
    }

    /** Returns whether the answer was received to its end. */
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

    /** Describes the call for the message of a failing test. */
    String describe() {
        return "status " + status + (complete ? " complete, " : " broken off, ")
                + events().ids().size() + " tokens, " + header("X-Request-Id") + " " + error() + " " + failure;
    }

    /** Returns the error object of the answer, also of one that ended early with an error event. */
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
