package org.yuccagw.adapters.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.yuccagw.adapters.http.BoundedJson;
import org.yuccagw.core.request.Usage;

/**
 * Formats answers as completions APIs do: as one JSON object, or as server-sent events.
 *
 * @param id id of the completion
 * @param model name of the model
 * @param chat whether answers have the format of a chat completion
 */
record CompletionFormat(String id, String model, boolean chat) {
    private static final ObjectMapper JSON = BoundedJson.mapper();
    private static final int EVENT_OVERHEAD_CHARS = 192;
    static final String END_EVENT = "data: [DONE]\n\n";

    /** Returns one piece of the answer as an event. It is built by hand because this is called for every token. */
    String chunkEvent(long index, String text) {
        StringBuilder event = new StringBuilder(text.length() + EVENT_OVERHEAD_CHARS);
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

    /** Returns the last chunk, with finish reason and usage, followed by the end mark {@code [DONE]}. */
    String finalEvents(Usage usage) {
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
        addUsage(chunk, usage);
        return "data: " + toJson(chunk) + "\n\n" + END_EVENT;
    }

    /** Returns the complete answer as one JSON object. */
    String completion(String text, Usage usage) {
        ObjectNode completion = JSON.createObjectNode();
        completion.put("id", id);
        completion.put("object", chat ? "chat.completion" : "text_completion");
        completion.put("model", model);
        ObjectNode choice = completion.putArray("choices").addObject();
        choice.put("index", 0);
        if (chat) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", usage.finishReason());
        addUsage(completion, usage);
        return toJson(completion);
    }

    /**
     * Converts a stored answer to the event stream that a repeated request asks for.
     *
     * @throws IOException if the stored answer isn't valid JSON
     */
    String toEventStream(byte[] storedAnswer) throws IOException {
        JsonNode completion = JSON.readTree(storedAnswer);
        JsonNode choice = completion.path("choices").path(0);
        String text = chat
                ? choice.path("message").path("content").asText()
                : choice.path("text").asText();
        JsonNode usageNode = completion.path("usage");
        Usage usage = new Usage(
                usageNode.path("prompt_tokens").asLong(),
                usageNode.path("completion_tokens").asLong(),
                usageNode.path("prompt_tokens_details").path("cached_tokens").asLong(),
                choice.path("finish_reason").asText());
        return chunkEvent(1, text) + finalEvents(usage);
    }

    private static void addUsage(ObjectNode node, Usage usage) {
        ObjectNode usageNode = node.putObject("usage");
        usageNode.put("prompt_tokens", usage.promptTokens());
        usageNode.put("completion_tokens", usage.answerTokens());
        usageNode.put("total_tokens", usage.promptTokens() + usage.answerTokens());
        usageNode.putObject("prompt_tokens_details").put("cached_tokens", usage.cachedTokens());
    }

    private static void appendQuoted(StringBuilder event, String text) {
        event.append('"');
        JsonStringEncoder.getInstance().quoteAsString(text, event);
        event.append('"');
    }

    private static String toJson(ObjectNode node) {
        try {
            return JSON.writeValueAsString(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of text and numbers could not be written", e);
        }
    }
}
