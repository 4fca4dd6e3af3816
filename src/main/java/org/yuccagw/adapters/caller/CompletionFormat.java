package org.yuccagw.adapters.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.yuccagw.core.request.Usage;

/**
 * Writes answers in the shape that callers of completions APIs expect: whole, or as server-sent events.
 *
 * @param chat whether the shape is that of a chat completion
 */
record CompletionFormat(String id, String model, boolean chat) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int EVENT_LENGTH = 192;
    static final String END = "data: [DONE]\n\n";

    /** One piece as an event; written by hand because it is written for every token. */
    String piece(long index, String text) {
        StringBuilder event = new StringBuilder(text.length() + EVENT_LENGTH);
        event.append("id: ")
                .append(index)
                .append("\ndata: {\"id\":\"")
                .append(id)
                .append("\",\"object\":\"");
        if (chat) {
            event.append("chat.completion.chunk\",\"model\":");
            appendQuoted(event, model);
            event.append(",\"choices\":[{\"index\":0,\"delta\":{\"content\":");
            appendQuoted(event, text);
            event.append("},\"finish_reason\":null}]}\n\n");
        } else {
            event.append("text_completion\",\"model\":");
            appendQuoted(event, model);
            event.append(",\"choices\":[{\"index\":0,\"text\":");
            appendQuoted(event, text);
            event.append(",\"finish_reason\":null}]}\n\n");
        }
        return event.toString();
    }

    /** The last chunk with finish reason and usage, and the end mark. */
    String last(Usage usage) {
        ObjectNode chunk = JSON.createObjectNode();
        chunk.put("id", id);
        chunk.put("object", chat ? "chat.completion.chunk" : "text_completion");
        chunk.put("model", model);
        ObjectNode choice = chunk.putArray("choices").addObject();
        choice.put("index", 0);
        if (chat) {
            choice.putObject("delta");
        } else {
            choice.put("text", "");
        }
        choice.put("finish_reason", usage.finishReason());
        putUsage(chunk, usage);
        return "data: " + write(chunk) + "\n\n" + END;
    }

    /** The whole answer as one JSON object. */
    String whole(String text, Usage usage) {
        ObjectNode answer = JSON.createObjectNode();
        answer.put("id", id);
        answer.put("object", chat ? "chat.completion" : "text_completion");
        answer.put("model", model);
        ObjectNode choice = answer.putArray("choices").addObject();
        choice.put("index", 0);
        if (chat) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", usage.finishReason());
        putUsage(answer, usage);
        return write(answer);
    }

    /** A whole answer that was kept, as the stream that the repeated request asked for. */
    String asStream(byte[] kept) throws IOException {
        JsonNode answer = JSON.readTree(kept);
        JsonNode choice = answer.path("choices").path(0);
        String text = chat
                ? choice.path("message").path("content").asText()
                : choice.path("text").asText();
        JsonNode counts = answer.path("usage");
        Usage usage = new Usage(
                counts.path("prompt_tokens").asLong(),
                counts.path("completion_tokens").asLong(),
                counts.path("prompt_tokens_details").path("cached_tokens").asLong(),
                choice.path("finish_reason").asText());
        return piece(1, text) + last(usage);
    }

    private static void putUsage(ObjectNode node, Usage usage) {
        ObjectNode counts = node.putObject("usage");
        counts.put("prompt_tokens", usage.promptTokens());
        counts.put("completion_tokens", usage.answerTokens());
        counts.put("total_tokens", usage.promptTokens() + usage.answerTokens());
        counts.putObject("prompt_tokens_details").put("cached_tokens", usage.cachedTokens());
    }

    private static void appendQuoted(StringBuilder event, String text) {
        event.append('"');
        JsonStringEncoder.getInstance().quoteAsString(text, event);
        event.append('"');
    }

    private static String write(ObjectNode node) {
        try {
            return JSON.writeValueAsString(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of text and numbers can be written", e);
        }
    }
}
