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
 * A caller asks for the rest of an answer.
 *
 * <p>The short form, {@code GET /v1/resume?token=T&from=N}, goes on only while the engine keeps the stream. The long
 * form, {@code POST /v1/resume} with {@code {"token":T,"from":N,"text":"...","request":{...}}}, carries the text so far
 * and the first request's body, so that an idempotent run can go on at another engine when the first is gone.
 *
 * @param from pieces that the caller has
 * @param text their text
 * @param body the body of the first request
 */
record ResumeRequest(
        ResumeToken token, long from, Optional<String> text, Optional<CompletionBody> body, byte[] originalBody) {

    static ResumeRequest of(Map<String, Deque<String>> query, List<String> keys) throws YuccagwException {
        ResumeToken token = ResumeToken.verify(require(query, "token"), keys);
        long from = parseFrom(require(query, "from"));
        return new ResumeRequest(token, from, Optional.empty(), Optional.empty(), new byte[0]);
    }

    static ResumeRequest of(JsonNode body, List<String> keys) throws YuccagwException {
        ResumeToken token = ResumeToken.verify(body.path("token").asText(), keys);
        long from = parseFrom(body.path("from").asText());
        if (!body.path("text").isTextual() || !body.path("request").isObject()) {
            throw ErrorKind.WRONG_FIELD.raise("request", "expected the first request's body, and its text in 'text'");
        }
        byte[] original = body.path("request").toString().getBytes(StandardCharsets.UTF_8);
        CompletionBody request = CompletionBody.read(original, token.chat());
        return new ResumeRequest(
                token, from, Optional.of(body.path("text").textValue()), Optional.of(request), original);
    }

    PromptFingerprint fingerprint(WorkspaceId workspace) {
        byte[] named =
                originalBody.length > 0 ? originalBody : token.request().value().getBytes(StandardCharsets.UTF_8);
        return PromptFingerprint.of(workspace, named);
    }

    private static String require(Map<String, Deque<String>> query, String name) throws YuccagwException {
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
