package org.yuccagw.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.yuccagw.standins.http.ByteStream;

/**
 * The generation of one answer, retained for some time after its end. All words so far are retained, so that a reader
 * can start after any of them. Guarded by the lock of its {@link EngineRuntime}.
 */
final class AnswerRun {
    private final long id;
    private final String stream;
    private final PromptRequest request;
    private final Caller caller;
    private final String version;
    private final CompletionFormat text;
    private final AnswerJson json;
    private final List<String> words = new ArrayList<>();
    private final List<ByteStream> readers = new ArrayList<>();
    private Consumer<JsonNode> fullAnswerConsumer = ignored -> {};
    private boolean awaitsFullAnswer;
    private boolean finished;
    private long cachedTokens;
    private long unreadSinceNanos;

    /** The headers of a request that identify its attempt. */
    record Caller(String attempt, String idempotencyKey) {}

    AnswerRun(long id, String stream, PromptRequest request, Caller caller, String version, String model) {
        this.id = id;
        this.stream = stream;
        this.request = request;
        this.caller = caller;
        this.version = version;
        this.text = CompletionFormat.after(request.answerPrefix());
        this.json = new AnswerJson(stream, model, request.chat());
        this.unreadSinceNanos = System.nanoTime();
    }

    long id() {
        return id;
    }

    String stream() {
        return stream;
    }

    PromptRequest request() {
        return request;
    }

    Caller caller() {
        return caller;
    }

    String version() {
        return version;
    }

    boolean finished() {
        return finished;
    }

    /** Returns whether a stream reader or a caller of the full answer waits for the end. */
    boolean hasReader() {
        return awaitsFullAnswer || !readers.isEmpty();
    }

    /** Returns the time since which the answer has had no reader; only meaningful while it has none. */
    long unreadSinceNanos() {
        return unreadSinceNanos;
    }

    /** Sends the tokens after token {@code from}: the existing ones at once, the others when they are generated. */
    void addReader(ByteStream reader, int from) {
        for (int number = from + 1; number <= words.size(); number++) {
            reader.write(tokenEvent(number));
        }
        if (finished) {
            endReader(reader);
        } else {
            readers.add(reader);
        }
    }

    void removeReader(ByteStream reader, long nowNanos) {
        readers.remove(reader);
        unreadSinceNanos = nowNanos;
    }

    /** Passes the full answer to the consumer once it is complete. */
    void awaitFullAnswer(Consumer<JsonNode> consumer) {
        if (finished) {
            consumer.accept(fullAnswer());
            return;
        }
        fullAnswerConsumer = consumer;
        awaitsFullAnswer = true;
    }

    void onToken() {
        words.add(text.nextWord());
        byte[] bytes = tokenEvent(words.size());
        readers.forEach(reader -> reader.write(bytes));
    }

    void onFinished(long nowNanos, long finalCachedTokens) {
        finished = true;
        cachedTokens = finalCachedTokens;
        unreadSinceNanos = nowNanos;
        readers.forEach(this::endReader);
        readers.clear();
        awaitsFullAnswer = false;
        fullAnswerConsumer.accept(fullAnswer());
    }

    /** Closes the connections of all readers before the end of the answer. */
    void abortReaders() {
        List.copyOf(readers).forEach(ByteStream::abort);
    }

    private void endReader(ByteStream reader) {
        reader.write(sseEvent("", json.lastChunk(usage())));
        reader.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
        reader.end();
    }

    private byte[] tokenEvent(int number) {
        return sseEvent("id: " + number + "\n", json.chunk(words.get(number - 1)));
    }

    private static byte[] sseEvent(String prefix, JsonNode data) {
        return (prefix + "data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    private JsonNode fullAnswer() {
        return json.fullAnswer(String.join("", words), usage());
    }

    private AnswerJson.Usage usage() {
        return new AnswerJson.Usage(request.promptTokens(), words.size(), cachedTokens);
    }
}
