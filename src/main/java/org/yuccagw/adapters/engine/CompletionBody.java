package org.yuccagw.adapters.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import org.yuccagw.core.cache.BlockChain;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;

/**
 * The body of a completions or chat-completions request: checked, and made anew for an engine. Fields that yuccagw
 * doesn't know go to the engine as they came.
 */
public final class CompletionBody {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int USUAL_MAX_TOKENS = 256;
    private static final int MOST_MAX_TOKENS = 1_000_000;
    private static final String MAX_TOKENS = "max_tokens";

    private final ObjectNode body;
    private final boolean chat;

    private CompletionBody(ObjectNode body, boolean chat) {
        this.body = body;
        this.chat = chat;
    }

    /**
     * Reads and checks the caller's body.
     *
     * @param chat whether it came to the chat path
     * @throws YuccagwException of kind MALFORMED_UTF8, MALFORMED_BODY or WRONG_FIELD
     */
    public static CompletionBody read(byte[] bytes, boolean chat) throws YuccagwException {
        JsonNode node = parse(decode(bytes));
        if (!(node instanceof ObjectNode object)) {
            throw ErrorKind.MALFORMED_BODY.raise("expected an object");
        }
        CompletionBody read = new CompletionBody(object, chat);
        read.check();
        return read;
    }

    public String model() {
        return body.get("model").textValue();
    }

    public boolean streamed() {
        return body.path("stream").asBoolean(false);
    }

    public boolean isChat() {
        return chat;
    }

    /** Most tokens that the answer may have. */
    public int maxTokens() {
        return body.path(MAX_TOKENS).asInt(USUAL_MAX_TOKENS);
    }

    /** The prompt's bytes as the engine's cache sees them. */
    public byte[] promptBytes() {
        if (!chat) {
            return body.get("prompt").textValue().getBytes(StandardCharsets.UTF_8);
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode message : body.get("messages")) {
            text.append(message.get("role").textValue()).append('\n');
            text.append(message.get("content").textValue()).append('\n');
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    public long promptTokens() {
        return promptBytes().length / BlockChain.BYTES_PER_TOKEN + 1L;
    }

    /**
     * The body for one attempt.
     *
     * @param textSoFar what the caller has already, to be continued
     * @param piecesSoFar how many tokens that is
     */
    public byte[] forEngine(String salt, String version, int priority, String textSoFar, long piecesSoFar) {
        ObjectNode copy = body.deepCopy();
        copy.put("stream", true);
        copy.put("priority", priority);
        copy.put("cache_salt", salt);
        copy.put("weight_version", version);
        copy.put(MAX_TOKENS, Math.max(1, maxTokens() - piecesSoFar));
        if (!textSoFar.isEmpty()) {
            continueFrom(copy, textSoFar);
        }
        return write(copy);
    }

    private void continueFrom(ObjectNode copy, String textSoFar) {
        if (chat) {
            ArrayNode messages = (ArrayNode) copy.get("messages");
            messages.addObject().put("role", "assistant").put("content", textSoFar);
            copy.put("continue_final_message", true);
        } else {
            copy.put("prompt", body.get("prompt").textValue() + textSoFar);
        }
    }

    private void check() throws YuccagwException {
        requireText("model");
        if (chat) {
            checkMessages();
        } else {
            requireText("prompt");
        }
        checkMaxTokens();
        JsonNode stream = body.path("stream");
        if (!stream.isMissingNode() && !stream.isBoolean()) {
            throw ErrorKind.WRONG_FIELD.raise("stream", "expected true or false, found " + describe(stream));
        }
    }

    private void checkMaxTokens() throws YuccagwException {
        JsonNode tokens = body.path(MAX_TOKENS);
        if (tokens.isMissingNode()) {
            return;
        }
        if (!tokens.isInt() || tokens.intValue() < 1 || tokens.intValue() > MOST_MAX_TOKENS) {
            throw ErrorKind.WRONG_FIELD.raise(
                    MAX_TOKENS, "expected a whole number from 1 to " + MOST_MAX_TOKENS + ", found " + tokens);
        }
    }

    private void checkMessages() throws YuccagwException {
        JsonNode messages = body.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw ErrorKind.WRONG_FIELD.raise("messages", "expected a list with at least one message");
        }
        for (int i = 0; i < messages.size(); i++) {
            for (String field : new String[] {"role", "content"}) {
                if (!messages.get(i).path(field).isTextual()) {
                    throw ErrorKind.WRONG_FIELD.raise(
                            "messages[" + i + "]." + field,
                            "expected text, found " + describe(messages.get(i).path(field)));
                }
            }
        }
    }

    private void requireText(String field) throws YuccagwException {
        JsonNode value = body.path(field);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            throw ErrorKind.WRONG_FIELD.raise(field, "expected text, found " + describe(value));
        }
    }

    private static String describe(JsonNode node) {
        return node.isMissingNode() ? "nothing" : node.getNodeType().name().toLowerCase(java.util.Locale.ROOT);
    }

    private static String decode(byte[] bytes) throws YuccagwException {
        CharsetDecoder decoder = StandardCharsets.UTF_8
                .newDecoder()
                .onMalformedInput(CodingErrorAction.REPORT)
                .onUnmappableCharacter(CodingErrorAction.REPORT);
        ByteBuffer input = ByteBuffer.wrap(bytes);
        CharBuffer output = CharBuffer.allocate(bytes.length + 1);
        try {
            java.nio.charset.CoderResult result = decoder.decode(input, output, true);
            if (result.isError()) {
                result.throwException();
            }
        } catch (CharacterCodingException e) {
            throw ErrorKind.MALFORMED_UTF8.raiseFrom(e, input.position());
        }
        return output.flip().toString();
    }

    private static JsonNode parse(String text) throws YuccagwException {
        try {
            return JSON.readTree(text);
        } catch (JsonProcessingException e) {
            String place = e.getLocation() == null
                    ? ""
                    : " at line " + e.getLocation().getLineNr() + ", column "
                            + e.getLocation().getColumnNr();
            throw ErrorKind.MALFORMED_BODY.raise("not readable" + place);
        }
    }

    private static byte[] write(ObjectNode node) {
        try {
            return JSON.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree that was read can be written", e);
        }
    }
}
