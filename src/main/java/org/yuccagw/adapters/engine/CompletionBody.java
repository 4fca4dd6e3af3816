package org.yuccagw.adapters.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.yuccagw.adapters.http.BoundedJson;
import org.yuccagw.core.cache.BlockChain;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.suspect.SuspectPart;

/**
 * The validated body of a completions or chat-completions request, from which the bodies for engines are built. Fields
 * that yuccagw doesn't interpret are forwarded unchanged.
 */
public final class CompletionBody {
    private static final ObjectMapper JSON = BoundedJson.mapper();
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int MAX_TOKENS_LIMIT = 1_000_000;
    private static final String MAX_TOKENS_FIELD = "max_tokens";
    private static final int MAX_PARTS = 256;
    private static final int PART_ID_DIGITS = 32;
    private static final Splitter SECTIONS = Splitter.on(Pattern.compile("\\R[ \\t]*\\R"));

    private final ObjectNode body;
    private final boolean chat;

    private CompletionBody(ObjectNode body, boolean chat) {
        this.body = body;
        this.chat = chat;
    }

    /**
     * Parses and validates a caller's body.
     *
     * @param chat whether it was sent to the path of chat completions
     * @throws YuccagwException of kind MALFORMED_UTF8, MALFORMED_BODY or WRONG_FIELD
     */
    public static CompletionBody read(byte[] bytes, boolean chat) throws YuccagwException {
        JsonNode node = parse(decode(bytes));
        if (!(node instanceof ObjectNode object)) {
            throw ErrorKind.MALFORMED_BODY.raise("expected an object");
        }
        CompletionBody completion = new CompletionBody(object, chat);
        completion.validate();
        return completion;
    }

    public String model() {
        return body.get("model").textValue();
    }

    public boolean isStreamed() {
        return body.path("stream").asBoolean(false);
    }

    public boolean isChat() {
        return chat;
    }

    /** Returns the maximum number of tokens of the answer. */
    public int maxTokens() {
        return body.path(MAX_TOKENS_FIELD).asInt(DEFAULT_MAX_TOKENS);
    }

    /** Returns the bytes of the prompt from which the engine computes its cache keys. */
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

    /**
     * Returns the parts of the prompt that other prompts may share: its sections, which blank lines or the ends of
     * messages separate, but for the last one, which belongs to the request alone. Of a long prompt, only the first
     * {@link #MAX_PARTS} count.
     */
    public ImmutableSet<SuspectPart> sharedParts() {
        List<String> sections = sections();
        return sections.subList(0, sections.size() - 1).stream()
                .limit(MAX_PARTS)
                .map(section -> new SuspectPart(model(), hash(section)))
                .collect(ImmutableSet.toImmutableSet());
    }

    private List<String> sections() {
        if (!chat) {
            return SECTIONS.splitToList(body.get("prompt").textValue());
        }
        List<String> sections = new ArrayList<>();
        for (JsonNode message : body.get("messages")) {
            sections.addAll(SECTIONS.splitToList(message.get("content").textValue()));
        }
        return sections;
    }

    private static String hash(String section) {
        return Hashing.sha256()
                .hashString(section, StandardCharsets.UTF_8)
                .toString()
                .substring(0, PART_ID_DIGITS);
    }

    /** Returns an estimate of the prompt's length in tokens. */
    public long promptTokens() {
        return promptBytes().length / BlockChain.BYTES_PER_TOKEN + 1L;
    }

    /**
     * Returns the body for one attempt.
     *
     * @param textSoFar text that the caller has already received and that the engine continues
     * @param piecesSoFar number of tokens of that text
     */
    public byte[] bodyForEngine(String salt, String version, int priority, String textSoFar, long piecesSoFar) {
        ObjectNode copy = body.deepCopy();
        copy.put("stream", true);
        copy.put("priority", priority);
        copy.put("cache_salt", salt);
        copy.put("weight_version", version);
        copy.put(MAX_TOKENS_FIELD, Math.max(1, maxTokens() - piecesSoFar));
        if (!textSoFar.isEmpty()) {
            appendText(copy, textSoFar);
        }
        return write(copy);
    }

    private void appendText(ObjectNode copy, String textSoFar) {
        if (chat) {
            ArrayNode messages = (ArrayNode) copy.get("messages");
            messages.addObject().put("role", "assistant").put("content", textSoFar);
            copy.put("continue_final_message", true);
        } else {
            copy.put("prompt", body.get("prompt").textValue() + textSoFar);
        }
    }

    private void validate() throws YuccagwException {
        requireText("model");
        if (chat) {
            validateMessages();
        } else {
            requireText("prompt");
        }
        validateMaxTokens();
        JsonNode stream = body.path("stream");
        if (!stream.isMissingNode() && !stream.isBoolean()) {
            throw ErrorKind.WRONG_FIELD.raise("stream", "expected true or false, found " + describe(stream));
        }
    }

    private void validateMaxTokens() throws YuccagwException {
        JsonNode tokens = body.path(MAX_TOKENS_FIELD);
        if (tokens.isMissingNode()) {
            return;
        }
        if (!tokens.isInt() || tokens.intValue() < 1 || tokens.intValue() > MAX_TOKENS_LIMIT) {
            throw ErrorKind.WRONG_FIELD.raise(
                    MAX_TOKENS_FIELD, "expected a whole number from 1 to " + MAX_TOKENS_LIMIT + ", found " + tokens);
        }
    }

    private void validateMessages() throws YuccagwException {
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
            String location = e.getLocation() == null
                    ? ""
                    : " at line " + e.getLocation().getLineNr() + ", column "
                            + e.getLocation().getColumnNr();
            throw ErrorKind.MALFORMED_BODY.raise("not readable" + location);
        }
    }

    private static byte[] write(ObjectNode node) {
        try {
            return JSON.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree that was parsed could not be written", e);
        }
    }
}
