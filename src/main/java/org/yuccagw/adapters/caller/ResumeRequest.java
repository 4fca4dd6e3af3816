package org.yuccagw.adapters.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yuccagw.adapters.engine.CompletionBody;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.core.quarantine.PromptFingerprint;
import org.yuccagw.core.request.ResumeToken;

/**
 * A request for the rest of an answer.
 *
 * <p>The short form, {@code GET /v1/resume?token=T&from=N}, works only while the engine keeps the stream. The long
 * form, {@code POST /v1/resume} with {@code {"token":T,"from":N,"text":"...","request":{...}}}, carries the text so far
 * and the body of the original request, so that an idempotent run can continue at another engine if the first one is
 * unavailable.
 *
 * @param from number of pieces that the caller has received
 * @param text text of these pieces
 * @param body body of the original request
 * @param originalBody the same body as bytes, empty in the short form
 */
record ResumeRequest(
        ResumeToken token, long from, Optional<String> text, Optional<CompletionBody> body, byte[] originalBody) {

    /**
     * Reads the short form from the query.
     *
     * @param keys keys with which tokens may be signed
     * @throws YuccagwException of kind WRONG_FIELD or WRONG_RESUME_TOKEN
     */
    static ResumeRequest of(Map<String, Deque<String>> query, List<String> keys) throws YuccagwException {
        ResumeToken token = ResumeToken.verify(requireParameter(query, "token"), keys);
        long from = parseFrom(requireParameter(query, "from"));
        return new ResumeRequest(token, from, Optional.empty(), Optional.empty(), new byte[0]);
    }

    /**
     * Reads the long form from the body.
     *
     * @param keys keys with which tokens may be signed
     * @throws YuccagwException if the token, a field or the original request is invalid
     */
    static ResumeRequest of(JsonNode body, List<String> keys) throws YuccagwException {
        ResumeToken token = ResumeToken.verify(body.path("token").asText(), keys);
        long from = parseFrom(body.path("from").asText());
        if (!body.path("text").isTextual() || !body.path("request").isObject()) {
            throw ErrorKind.WRONG_FIELD.raise("request", "expected the first request's body, and its text in 'text'");
        }
        byte[] original = body.path("request").toString().getBytes(StandardCharsets.UTF_8);
        CompletionBody originalRequest = CompletionBody.read(original, token.chat());
        return new ResumeRequest(
                token, from, Optional.of(body.path("text").textValue()), Optional.of(originalRequest), original);
    }

    /** Returns the fingerprint of the original body, or of the request id in the short form. */
    PromptFingerprint fingerprint(WorkspaceId workspace) {
        byte[] fingerprinted =
                originalBody.length > 0 ? originalBody : token.request().value().getBytes(StandardCharsets.UTF_8);
        return PromptFingerprint.of(workspace, fingerprinted);
    }

    private static String requireParameter(Map<String, Deque<String>> query, String name) throws YuccagwException {
        Deque<String> values = query.get(name);
        if (values == null) {
            throw ErrorKind.WRONG_FIELD.raise(name, "expected in the query");
        }
        return values.getFirst();
    }

    private static long parseFrom(String text) throws YuccagwException {
        try {
            long from = Long.parseLong(text);
            if (from >= 0) {
                return from;
            }
        } catch (NumberFormatException e) {
            throw ErrorKind.WRONG_FIELD.raiseFrom(e, "from", "expected the id of the last event, found '" + text + "'");
        }
        throw ErrorKind.WRONG_FIELD.raise("from", "expected a number that isn't negative, found '" + text + "'");
    }
}
