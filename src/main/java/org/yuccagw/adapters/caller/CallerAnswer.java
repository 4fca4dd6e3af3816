package org.yuccagw.adapters.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.yuccagw.adapters.http.ErrorAnswers;
import org.yuccagw.core.claim.ClaimDecision.KeptAnswer;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.request.AnswerHead;
import org.yuccagw.core.request.Usage;

/**
 * Writes one answer in the form that its caller requested: an event stream, one JSON object, or the unchanged bytes of
 * a plain service. Used on the I/O thread of the exchange.
 *
 * <p>The caller can always detect a truncated answer: a JSON object is sent with its length, and a stream with an end
 * mark. An answer that can't be completed ends with an error event, or its connection is closed before the end.
 */
final class CallerAnswer {
    private static final int MAX_STORED_BYTES = 64 * 1024;
    private static final String CONTENT_TYPE = "Content-Type";
    private static final String JSON = "application/json";
    private static final String EVENT_STREAM = "text/event-stream";
    private static final int OK = 200;
    private static final String KEEP_ALIVE_COMMENT = ": waiting\n\n";

    private final CallerResponse response;
    private final Form form;
    private final Optional<CompletionFormat> format;
    private final String requestId;
    private final StringBuilder text = new StringBuilder();
    private final java.io.ByteArrayOutputStream plainBytes = new java.io.ByteArrayOutputStream();
    private AnswerHead head;
    private boolean tooLargeToStore;
    private Optional<KeptAnswer> storedAnswer = Optional.empty();
    private String resumeToken = "";

    /** The form of an answer. */
    enum Form {
        /** Server-sent events. */
        STREAM,
        /** One JSON object. */
        WHOLE,
        /** The bytes of a plain service. */
        PLAIN
    }

    CallerAnswer(CallerResponse response, Form form, Optional<CompletionFormat> format, String requestId) {
        this.response = response;
        this.form = form;
        this.format = format;
        this.requestId = requestId;
    }

    /** Starts the answer. A JSON object is started only when it is complete. */
    void start(AnswerHead endpointHead, String token) {
        head = endpointHead;
        resumeToken = token;
        if (form == Form.STREAM) {
            response.start(OK, streamHeaders());
        } else if (form == Form.PLAIN) {
            Map<String, String> headers = new LinkedHashMap<>(endpointHead.headers());
            headers.put("X-Request-Id", requestId);
            response.start(endpointHead.status(), headers);
        }
    }

    /** Adds the next piece of a model's answer. */
    void writePiece(long index, String pieceText) {
        text.append(pieceText);
        if (form == Form.STREAM) {
            response.write(format.orElseThrow().chunkEvent(index, pieceText));
        }
    }

    /**
     * Sends an event-stream comment, which parsers ignore. It shows the caller that its answer is still in progress.
     */
    void writeKeepAlive() {
        if (form == Form.STREAM) {
            response.write(KEEP_ALIVE_COMMENT);
        }
    }

    /** Adds the next bytes of a plain service's answer. */
    void writeBytes(ByteBuffer bytes) {
        collect(bytes.duplicate());
        response.writeCopy(bytes);
    }

    /** Completes the answer. The usage must be present for a model's answer. */
    void complete(Optional<Usage> usage) {
        if (form == Form.PLAIN) {
            completePlain();
            return;
        }
        CompletionFormat completionFormat = format.orElseThrow();
        String completion = completionFormat.completion(text.toString(), usage.orElseThrow());
        byte[] bytes = completion.getBytes(StandardCharsets.UTF_8);
        if (bytes.length <= MAX_STORED_BYTES) {
            storedAnswer = Optional.of(new KeptAnswer(OK, JSON, bytes));
        }
        if (form == Form.STREAM) {
            response.write(completionFormat.finalEvents(usage.get()));
            response.end();
        } else {
            sendComplete(OK, JSON, bytes, Map.of());
        }
    }

    /** Sends an error, as the whole answer if none was started, otherwise as its end. */
    void sendError(YuccagwException error) {
        if (!response.isStarted()) {
            Map<String, String> headers = ErrorAnswers.headers(error);
            sendComplete(
                    error.kind().status(), JSON, ErrorAnswers.body(error).getBytes(StandardCharsets.UTF_8), headers);
        } else if (form == Form.STREAM) {
            response.write("event: error\ndata: " + ErrorAnswers.body(error) + "\n\n");
            response.end();
        } else {
            response.abort();
        }
    }

    /** Sends the stored answer of an earlier request with the same idempotency key. */
    void replay(KeptAnswer answer) {
        if (form != Form.STREAM) {
            sendComplete(answer.status(), answer.contentType(), answer.body(), Map.of("Idempotent-Replayed", "true"));
            return;
        }
        try {
            String events = format.orElseThrow().toEventStream(answer.body());
            Map<String, String> headers = new LinkedHashMap<>(streamHeaders());
            headers.put("Idempotent-Replayed", "true");
            response.start(OK, headers);
            response.write(events);
            response.end();
        } catch (IOException e) {
            sendError(ErrorKind.INTERNAL.raiseFrom(e, "the kept answer can't be read"));
        }
    }

    Form form() {
        return form;
    }

    /** Starts the answer with the head of the answer that another entry sends to the same request. */
    void relayHead(int status, Map<String, String> headers) {
        response.start(status, headers);
    }

    void relayBytes(ByteBuffer bytes) {
        response.writeCopy(bytes);
    }

    void relayEnd() {
        response.end();
    }

    /** Returns the complete answer for storing, or empty if it isn't complete or exceeds 64 KiB. */
    Optional<KeptAnswer> storedAnswer() {
        return storedAnswer;
    }

    private void completePlain() {
        if (!tooLargeToStore) {
            String type = head.headers().getOrDefault(CONTENT_TYPE, "application/octet-stream");
            storedAnswer = Optional.of(new KeptAnswer(head.status(), type, plainBytes.toByteArray()));
        }
        response.end();
    }

    private void collect(ByteBuffer bytes) {
        if (plainBytes.size() + bytes.remaining() > MAX_STORED_BYTES) {
            tooLargeToStore = true;
            return;
        }
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        plainBytes.writeBytes(copy);
    }

    private Map<String, String> streamHeaders() {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put(CONTENT_TYPE, EVENT_STREAM);
        headers.put("Cache-Control", "no-store");
        headers.put("X-Request-Id", requestId);
        headers.put("X-Resume-Token", resumeToken);
        return headers;
    }

    private void sendComplete(int status, String type, byte[] body, Map<String, String> additionalHeaders) {
        Map<String, String> headers = new LinkedHashMap<>(additionalHeaders);
        headers.put(CONTENT_TYPE, type);
        headers.put("Content-Length", Integer.toString(body.length));
        headers.put("X-Request-Id", requestId);
        response.start(status, headers);
        response.writeCopy(ByteBuffer.wrap(body));
        response.end();
    }
}
