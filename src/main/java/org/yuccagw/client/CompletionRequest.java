package org.yuccagw.client;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.yuccagw.adapters.http.BoundedJson;
import org.yuccagw.core.id.IdempotencyKey;

/**
 * A request to complete one prompt.
 *
 * @param model name of the service
 * @param idempotencyKey present if the request must run at most once; a caller that stores the key can send the request
 *     again after a crash of its own process
 */
public record CompletionRequest(String model, String prompt, int maxTokens, Optional<IdempotencyKey> idempotencyKey) {
    private static final ObjectMapper JSON = BoundedJson.mapper();
    private static final int DEFAULT_MAX_TOKENS = 256;

    public static CompletionRequest of(String model, String prompt) {
        return new CompletionRequest(model, prompt, DEFAULT_MAX_TOKENS, Optional.empty());
    }

    public CompletionRequest withMaxTokens(int newMaxTokens) {
        return new CompletionRequest(model, prompt, newMaxTokens, idempotencyKey);
    }

    /** Returns a copy of this request that runs at most once under the given key. */
    public CompletionRequest withIdempotencyKey(IdempotencyKey newKey) {
        return new CompletionRequest(model, prompt, maxTokens, Optional.of(newKey));
    }

    ObjectNode toJson() {
        ObjectNode body = JSON.createObjectNode();
        body.put("model", model);
        body.put("prompt", prompt);
        body.put("max_tokens", maxTokens);
        body.put("stream", true);
        return body;
    }
}
