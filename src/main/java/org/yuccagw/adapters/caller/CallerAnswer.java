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
 * One answer in the form that its caller asked for: a stream of events, one whole JSON object, or a plain service's
 * bytes as they come. Used on the I/O thread of its exchange.
 *
 * <p>A cut is always seen by the caller: a whole answer carries its length, a stream its end mark, and an answer that
 * can't be completed ends with an error event, or with the connection closed before its end.
 */
final class CallerAnswer {
    private static final int MOST_KEPT_BYTES = 64 * 1024;
    private static final String CONTENT_TYPE = "Content-Type";
    private static final String JSON = "application/json";
    private static final String EVENTS = "text/event-stream";
    private static final int OK = 200;
    private static final String KEEP_ALIVE = ": waiting\n\n";

    private final CallerResponse response;
    private final Form form;
    private final Optional<CompletionFormat> shape;
    private final String requestId;
    private final StringBuilder text = new StringBuilder();
    private final java.io.ByteArrayOutputStream plainBytes = new java.io.ByteArrayOutputStream();
    private AnswerHead head;
    private boolean tooLargeToKeep;
    private Optional<KeptAnswer> kept = Optional.empty();
    private String resumeToken = "";

    /** What the caller asked for. */
    enum Form {
        STREAM,
        WHOLE,
        PLAIN
    }

    CallerAnswer(CallerResponse response, Form form, Optional<CompletionFormat> shape, String requestId) {
        this.response = response;
        this.form = form;
        this.shape = shape;
        this.requestId = requestId;
    }

    void head(AnswerHead answered, String token) {
        head = answered;
        resumeToken = token;
        if (form == Form.STREAM) {
            response.start(OK, streamHeaders());
        } else if (form == Form.PLAIN) {
            Map<String, String> headers = new LinkedHashMap<>(answered.headers());
            headers.put("X-Request-Id", requestId);
            response.start(answered.status(), headers);
        }
    }

    void piece(long index, String pieceText) {
        text.append(pieceText);
        if (form == Form.STREAM) {
            response.write(shape.orElseThrow().piece(index, pieceText));
        }
    }

    /** A comment, which readers of events pass over: it shows the caller that its answer is still being worked on. */
    void keepAlive() {
        if (form == Form.STREAM) {
            response.write(KEEP_ALIVE);
        }
    }

    void bytes(ByteBuffer bytes) {
        keep(bytes.duplicate());
        response.writeCopy(bytes);
    }

    void end(Optional<Usage> usage) {
        if (form == Form.PLAIN) {
            endPlain();
            return;
        }
        CompletionFormat answerText = shape.orElseThrow();
        String whole = answerText.whole(text.toString(), usage.orElseThrow());
        byte[] bytes = whole.getBytes(StandardCharsets.UTF_8);
        if (bytes.length <= MOST_KEPT_BYTES) {
            kept = Optional.of(new KeptAnswer(OK, JSON, bytes));
        }
        if (form == Form.STREAM) {
            response.write(answerText.last(usage.get()));
            response.end();
        } else {
            sendWhole(OK, JSON, bytes, Map.of());
        }
    }

    void error(YuccagwException error) {
        if (!response.isStarted()) {
            Map<String, String> headers = ErrorAnswers.headers(error);
            sendWhole(error.kind().status(), JSON, ErrorAnswers.body(error).getBytes(StandardCharsets.UTF_8), headers);
        } else if (form == Form.STREAM) {
            response.write("event: error\ndata: " + ErrorAnswers.body(error) + "\n\n");
            response.end();
        } else {
            response.cut();
        }
    }

    void replay(KeptAnswer answer) {
        if (form != Form.STREAM) {
            sendWhole(answer.status(), answer.contentType(), answer.body(), Map.of("Idempotent-Replayed", "true"));
            return;
        }
        try {
            String events = shape.orElseThrow().asStream(answer.body());
            Map<String, String> headers = new LinkedHashMap<>(streamHeaders());
            headers.put("Idempotent-Replayed", "true");
            response.start(OK, headers);
            response.write(events);
            response.end();
        } catch (IOException e) {
            error(ErrorKind.INTERNAL.raiseFrom(e, "the kept answer can't be read"));
        }
    }

    Form form() {
        return form;
    }

    /** The head of an answer that another entry gives to the same request. */
    void relayHead(int status, Map<String, String> headers) {
        response.start(status, headers);
    }

    void relayBytes(ByteBuffer bytes) {
        response.writeCopy(bytes);
    }

    void relayEnd() {
        response.end();
    }

    Optional<KeptAnswer> kept() {
        return kept;
    }

    private void endPlain() {
        if (!tooLargeToKeep) {
            String type = head.headers().getOrDefault(CONTENT_TYPE, "application/octet-stream");
            kept = Optional.of(new KeptAnswer(head.status(), type, plainBytes.toByteArray()));
        }
        response.end();
    }

    private void keep(ByteBuffer bytes) {
        if (plainBytes.size() + bytes.remaining() > MOST_KEPT_BYTES) {
            tooLargeToKeep = true;
            return;
        }
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        plainBytes.writeBytes(copy);
    }

    private Map<String, String> streamHeaders() {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put(CONTENT_TYPE, EVENTS);
        headers.put("Cache-Control", "no-store");
        headers.put("X-Request-Id", requestId);
        headers.put("X-Resume-Token", resumeToken);
        return headers;
    }

    private void sendWhole(int status, String type, byte[] body, Map<String, String> more) {
        Map<String, String> headers = new LinkedHashMap<>(more);
        headers.put(CONTENT_TYPE, type);
        headers.put("Content-Length", Integer.toString(body.length));
        headers.put("X-Request-Id", requestId);
        response.start(status, headers);
        response.writeCopy(ByteBuffer.wrap(body));
        response.end();
    }
}
