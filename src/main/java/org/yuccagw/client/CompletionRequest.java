package org.yuccagw.client;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.yuccagw.core.id.IdempotencyKey;

/**
 * One prompt to complete.
 *
 * @param model name of the service
 * @param key present when it must run at most once; keep it to ask again after a crash of your own
 */
public record CompletionRequest(String model, String prompt, int maxTokens, Optional<IdempotencyKey> key) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int USUAL_MAX_TOKENS = 256;

    public static CompletionRequest of(String model, String prompt) {
        return new CompletionRequest(model, prompt, USUAL_MAX_TOKENS, Optional.empty());
    }

    public CompletionRequest withMaxTokens(int most) {
        return new CompletionRequest(model, prompt, most, key);
    }

    /** The same prompt, to run at most once under this key. */
    public CompletionRequest once(IdempotencyKey newKey) {
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
