package org.yuccagw.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.yuccagw.standins.http.ByteStream;

/**
 * One answer while the engine writes it and for as long as it keeps it. The words so far are kept, so that a reader may
 * begin at any of them. Guarded by the lock of its {@link EngineRuntime}.
 */
final class AnswerRun {
    private final long id;
    private final String stream;
    private final PromptRequest request;
    private final Caller caller;
    private final String version;
    private final CompletionFormat text;
    private final AnswerJson shape;
    private final List<String> words = new ArrayList<>();
    private final List<ByteStream> readers = new ArrayList<>();
    private Consumer<JsonNode> wholeAnswer = ignored -> {};
    private boolean awaitsWhole;
    private boolean finished;
    private long cachedTokens;
    private long unreadNanos;

    /** What the headers of the request said of its caller. */
    record Caller(String attempt, String idempotencyKey) {}

    AnswerRun(long id, String stream, PromptRequest request, Caller caller, String version, String model) {
        this.id = id;
        this.stream = stream;
        this.request = request;
        this.caller = caller;
        this.version = version;
        this.text = CompletionFormat.after(request.answerStart());
        this.shape = new AnswerJson(stream, model, request.chat());
        this.unreadNanos = System.nanoTime();
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

    boolean isRead() {
        return awaitsWhole || !readers.isEmpty();
    }

    /** Since when nobody reads it. */
    long unreadNanos() {
        return unreadNanos;
    }

    /** Sends what comes after token {@code from} now, and the rest as it comes. */
    void addReader(ByteStream reader, int from) {
        for (int number = from + 1; number <= words.size(); number++) {
            reader.write(token(number));
        }
        if (finished) {
            endReader(reader);
        } else {
            readers.add(reader);
        }
    }

    void removeReader(ByteStream reader, long now) {
        readers.remove(reader);
        unreadNanos = now;
    }

    void awaitWhole(Consumer<JsonNode> consumer) {
        if (finished) {
            consumer.accept(wholeText());
            return;
        }
        wholeAnswer = consumer;
        awaitsWhole = true;
    }

    void onToken() {
        words.add(text.nextWord());
        byte[] bytes = token(words.size());
        readers.forEach(reader -> reader.write(bytes));
    }

    void onFinished(long now, long cached) {
        finished = true;
        cachedTokens = cached;
        unreadNanos = now;
        readers.forEach(this::endReader);
        readers.clear();
        awaitsWhole = false;
        wholeAnswer.accept(wholeText());
    }

    /** Ends the connections of its readers in the middle of the answer. */
    void cutReaders() {
        List.copyOf(readers).forEach(ByteStream::cut);
    }

    private void endReader(ByteStream reader) {
        reader.write(event("", shape.lastChunk(usage())));
        reader.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
        reader.end();
    }

    private byte[] token(int number) {
        return event("id: " + number + "\n", shape.chunk(words.get(number - 1)));
    }

    private static byte[] event(String head, JsonNode data) {
        return (head + "data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    private JsonNode wholeText() {
        return shape.whole(String.join("", words), usage());
    }

    private AnswerJson.Usage usage() {
        return new AnswerJson.Usage(request.promptTokens(), words.size(), cachedTokens);
    }
}
