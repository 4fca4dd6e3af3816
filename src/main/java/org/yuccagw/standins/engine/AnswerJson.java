package org.yuccagw.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.yuccagw.standins.http.StandInJson;

/** The JSON of answers, in the shape that callers of completions and chat-completions interfaces know. */
final class AnswerJson {
    private static final String FINISH_REASON = "length";

    private final String id;
    private final String model;
    private final boolean chat;

    AnswerJson(String id, String model, boolean chat) {
        this.id = id;
        this.model = model;
        this.chat = chat;
    }

    record Usage(long promptTokens, long completionTokens, long cachedTokens) {
        private ObjectNode json() {
            return StandInJson.object()
                    .put("prompt_tokens", promptTokens)
                    .put("completion_tokens", completionTokens)
                    .put("total_tokens", promptTokens + completionTokens)
                    .put("cached_tokens", cachedTokens);
        }
    }

    JsonNode chunk(String word) {
        ObjectNode answer = head(chat ? "chat.completion.chunk" : "text_completion");
        ObjectNode choice = choice(answer);
        if (chat) {
            choice.putObject("delta").put("content", word);
        } else {
            choice.put("text", word);
        }
        choice.putNull("finish_reason");
        return answer;
    }

    JsonNode lastChunk(Usage usage) {
        ObjectNode answer = head(chat ? "chat.completion.chunk" : "text_completion");
        ObjectNode choice = choice(answer);
        if (chat) {
            choice.putObject("delta");
        } else {
            choice.put("text", "");
        }
        choice.put("finish_reason", FINISH_REASON);
        answer.set("usage", usage.json());
        return answer;
    }

    JsonNode whole(String text, Usage usage) {
        ObjectNode answer = head(chat ? "chat.completion" : "text_completion");
        ObjectNode choice = choice(answer);
        if (chat) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", FINISH_REASON);
        answer.set("usage", usage.json());
        return answer;
    }

    private ObjectNode head(String object) {
        return StandInJson.object()
                .put("id", "cmpl-" + id)
                .put("object", object)
                .put("model", model);
    }

    private static ObjectNode choice(ObjectNode answer) {
        return answer.putArray("choices").addObject().put("index", 0);
    }
}
