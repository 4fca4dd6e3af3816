package org.yuccagw.adapters.engine;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableMap;
import io.undertow.util.HeaderMap;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import org.yuccagw.adapters.http.BoundedJson;
import org.yuccagw.adapters.http.HttpResponseListener;
import org.yuccagw.adapters.http.SseParser;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.port.BodyEnd;
import org.yuccagw.core.request.AnswerHead;
import org.yuccagw.core.request.AttemptFailure;
import org.yuccagw.core.request.RequestMachine;
import org.yuccagw.core.request.Usage;

/**
 * Converts the answer of a model engine to events of the request machine.
 *
 * <p>The answer is complete only after the end mark {@code [DONE]}. A connection that ends before it, even with a
 * normal close, is treated as broken, so a truncated answer is never taken for a complete one.
 */
public final class EngineResponseListener implements HttpResponseListener {
    private static final ObjectMapper JSON = BoundedJson.mapper();
    private static final String END_MARK = "[DONE]";
    private static final String USAGE_FIELD = "\"usage\"";
    private static final int MAX_ERROR_BYTES = 64 * 1024;
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int NOT_FOUND = 404;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private final RequestMachine machine;
    private final long leg;
    private final boolean resuming;
    private final SseParser parser = SseParser.of(this::onEvent);
    private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
    private int status;
    private boolean endMarkReceived;

    private EngineResponseListener(RequestMachine machine, long leg, boolean resuming) {
        this.machine = machine;
        this.leg = leg;
        this.resuming = resuming;
    }

    /** Returns the listener for a leg that sends the request; a leg is one connection of an attempt. */
    public static EngineResponseListener sending(RequestMachine machine, long leg) {
        return new EngineResponseListener(machine, leg, false);
    }

    /** Returns the listener for a leg that continues to read a stream that the engine has already started. */
    public static EngineResponseListener resuming(RequestMachine machine, long leg) {
        return new EngineResponseListener(machine, leg, true);
    }

    @Override
    public void onHead(int receivedStatus, HeaderMap headers) {
        status = receivedStatus;
        if (status == OK) {
            machine.onHead(
                    leg,
                    new AnswerHead(
                            status,
                            textOf(headers, "X-Stream-Id"),
                            textOf(headers, "X-Weight-Version"),
                            softwareOf(headers),
                            ImmutableMap.of()));
        }
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        if (status != OK) {
            collectError(bytes);
            return;
        }
        try {
            parser.accept(bytes);
        } catch (IOException e) {
            machine.onFailure(leg, AttemptFailure.BROKEN, "the answer can't be read: " + e.getMessage());
        }
    }

    @Override
    public void onEnd(BodyEnd end) {
        if (status != OK) {
            failWithStatus();
        } else if (!endMarkReceived) {
            machine.onFailure(leg, AttemptFailure.BROKEN, "the answer ended without its end mark");
        }
    }

    @Override
    public void onFailure(Phase phase, boolean silent, IOException cause) {
        if (endMarkReceived) {
            return;
        }
        AttemptFailure failure = phase == Phase.CONNECT
                ? AttemptFailure.CONNECT_FAILED
                : silent ? AttemptFailure.SILENT : AttemptFailure.BROKEN;
        machine.onFailure(leg, failure, String.valueOf(cause.getMessage()));
    }

    private void onEvent(long id, String data) throws IOException {
        if (data.equals(END_MARK)) {
            endMarkReceived = true;
            machine.onDone(leg);
            return;
        }
        if (data.contains(USAGE_FIELD)) {
            onLastChunk(JSON.readTree(data));
        } else if (id != SseParser.NO_ID) {
            machine.onPiece(leg, id, textOf(data));
        }
    }

    private void onLastChunk(JsonNode chunk) {
        JsonNode choice = chunk.path("choices").path(0);
        JsonNode usage = chunk.path("usage");
        machine.onUsage(
                leg,
                new Usage(
                        usage.path("prompt_tokens").asLong(),
                        usage.path("completion_tokens").asLong(),
                        usage.path("cached_tokens").asLong(),
                        choice.path("finish_reason").asText("stop")));
    }

    /**
     * Returns the text of a chunk, which is the field {@code text} or {@code content}. The JSON is read token by token,
     * without a tree, because this is called for every piece of every answer.
     */
    private static String textOf(String data) throws IOException {
        try (JsonParser parser = JSON.createParser(data)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                boolean isTextField = token == JsonToken.FIELD_NAME
                        && (parser.currentName().equals("text")
                                || parser.currentName().equals("content"));
                if (isTextField && parser.nextToken() == JsonToken.VALUE_STRING) {
                    return parser.getText();
                }
            }
        }
        return "";
    }

    private void collectError(ByteBuffer bytes) {
        if (errorBody.size() + bytes.remaining() > MAX_ERROR_BYTES) {
            throw new UncheckedIOException(new IOException("an error of over " + MAX_ERROR_BYTES + " bytes"));
        }
        while (bytes.hasRemaining()) {
            errorBody.write(bytes.get());
        }
    }

    private void failWithStatus() {
        String code = "";
        String message = "status " + status;
        try {
            JsonNode error = JSON.readTree(errorBody.toByteArray()).path("error");
            code = error.path("code").asText("");
            message = error.path("message").asText(message);
        } catch (IOException e) {
            message = message + " without a readable body";
        }
        machine.onFailure(leg, classify(code), message);
    }

    private AttemptFailure classify(String code) {
        if (status == CONFLICT && code.equals("wrong_version")) {
            return AttemptFailure.WRONG_VERSION;
        }
        if (status == SERVICE_UNAVAILABLE && code.equals("leaving")) {
            return AttemptFailure.LEAVING;
        }
        if ((status == SERVICE_UNAVAILABLE && code.equals("overloaded")) || status == TOO_MANY_REQUESTS) {
            return AttemptFailure.OVERLOADED;
        }
        if (status == NOT_FOUND && resuming) {
            return AttemptFailure.STREAM_FORGOTTEN;
        }
        return status >= FIRST_SERVER_ERROR_STATUS ? AttemptFailure.SERVER_ERROR : AttemptFailure.REJECTED;
    }

    private static SoftwareVersion softwareOf(HeaderMap headers) {
        String software = textOf(headers, "X-Software-Version");
        return software.isBlank() ? SoftwareVersion.UNSTATED : SoftwareVersion.of(software);
    }

    private static String textOf(HeaderMap headers, String name) {
        String value = headers.getFirst(name);
        return value == null ? "" : value;
    }
}
