package org.yuccagw.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * A parsed completions or chat-completions request.
 *
 * @param keyText the text from whose bytes the keys of the cache blocks are computed
 * @param answerPrefix the text that precedes the answer
 * @param chat whether the answer has the chat format
 * @param version the weight version that the request requires, if any
 */
record PromptRequest(
        String keyText,
        String answerPrefix,
        boolean chat,
        int answerTokens,
        boolean stream,
        int priority,
        String salt,
        Optional<String> version) {
    private static final int DEFAULT_ANSWER_TOKENS = 16;

    static PromptRequest completions(JsonNode body) {
        if (!body.path("prompt").isTextual()) {
            throw new IllegalArgumentException("field 'prompt' has to be a text");
        }
        String prompt = body.path("prompt").asText();
        return of(body, prompt, prompt, false);
    }

    static PromptRequest chat(JsonNode body) {
        JsonNode messages = body.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw new IllegalArgumentException("field 'messages' has to be a list that isn't empty");
        }
        StringBuilder text = new StringBuilder();
        messages.forEach(message -> text.append(ChatText.message(
                message.path("role").asText(), message.path("content").asText())));
        boolean continuesMessage = body.path("continue_final_message").asBoolean(false);
        // The newline after the last message isn't part of an answer that is continued.
        String answerPrefix = continuesMessage ? text.substring(0, text.length() - 1) : text + ChatText.ANSWER_ROLE;
        return of(body, text.toString(), answerPrefix, true);
    }

    long promptTokens() {
        int bytes = keyText.getBytes(StandardCharsets.UTF_8).length;
        int bytesPerToken = org.yuccagw.core.cache.BlockChain.BYTES_PER_TOKEN;
        return Math.max(1, (bytes + bytesPerToken - 1) / bytesPerToken);
    }

    private static PromptRequest of(JsonNode body, String keyText, String answerPrefix, boolean chat) {
        int tokens = body.path("max_tokens").asInt(DEFAULT_ANSWER_TOKENS);
        if (tokens < 1) {
            throw new IllegalArgumentException("field 'max_tokens' has to be at least 1");
        }
        return new PromptRequest(
                keyText,
                answerPrefix,
                chat,
                tokens,
                body.path("stream").asBoolean(false),
                body.path("priority").asInt(0),
                body.path("cache_salt").asText(""),
                Optional.of(body.path("weight_version").asText("")).filter(text -> !text.isEmpty()));
    }
}
