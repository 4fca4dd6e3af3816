package org.yuccagw.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.util.HeaderMap;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.XnioIoThread;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.adapters.http.HttpStreamListener;
import org.yuccagw.adapters.http.SseParser;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.retry.FailureClass;
import org.yuccagw.core.retry.RetryBudget;
import org.yuccagw.core.retry.RetryDecision;
import org.yuccagw.core.retry.RetryLayer;
import org.yuccagw.core.retry.RetryPolicy;
import org.yuccagw.core.retry.RetrySituation;

/**
 * One completion over whatever entries it takes, on one I/O thread.
 *
 * <p>The client owns exactly the failures that only it can see: an entry that can't be reached, is lost in
 * mid-answer, or says that another entry should be asked. What fails behind an entry is the entry's to retry, so it is
 * final here. Cases after a failure:
 *
 * <ol>
 *   <li>An error answer or error event: final, unless it names another entry, or a time to come back.
 *   <li>The entry was lost before the answer began: send the request to another entry. A keyed request carries the same
 *       key, and the claim of that key keeps it from running twice.
 *   <li>The entry was lost in mid-answer: resume at another entry after the last piece, with the token that the first
 *       entry gave and the text so far. No piece is passed on twice.
 * </ol>
 */
final class ClientCall {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final String END_MARK = "[DONE]";
    private static final int OK = 200;

    private final ClientSettings settings;
    private final HttpClient http;
    private final Directory directory;
    private final RetryPolicy policy;
    private final CompletionRequest completion;
    private final Consumer<String> pieces;
    private final XnioIoThread thread;
    private final CompletableFuture<CompletionAnswer> result = new CompletableFuture<>();
    private final long startNanos = System.nanoTime();

    private final StringBuilder text = new StringBuilder();
    private String token = "";
    private String requestId = "";
    private long lastPiece;
    private int attempts;
    private int resumes;
    private int entryOffset;
    private JsonNode usage;

    private ClientCall(
            ClientSettings settings,
            HttpClient http,
            Directory directory,
            RetryPolicy policy,
            CompletionRequest completion,
            Consumer<String> pieces) {
        this.settings = settings;
        this.http = http;
        this.directory = directory;
        this.policy = policy;
        this.completion = completion;
        this.pieces = pieces;
        this.thread = http.worker().getIoThread(ThreadLocalRandom.current().nextInt());
    }

    static ClientCall of(
            ClientSettings settings,
            HttpClient http,
            Directory directory,
            RetryPolicy policy,
            CompletionRequest completion,
            Consumer<String> pieces) {
        return new ClientCall(settings, http, directory, policy, completion, pieces);
    }

    CompletableFuture<CompletionAnswer> begin() {
        attempt();
        return result;
    }

    private void attempt() {
        attempts++;
        directory.entries().thenAccept(entries -> thread.execute(() -> send(entries)));
    }

    private void send(List<NetworkAddress> entries) {
        NetworkAddress entry = entries.get(entryOffset % entries.size());
        HttpQuery query = token.isEmpty() ? firstQuery(entry) : resumeQuery(entry);
        HttpQuery withKey = query.withHeader("Authorization", "Bearer " + settings.key())
                .withTimeouts(CONNECT_TIMEOUT, settings.silenceTimeout());
        http.stream(withKey, thread, new Attempt());
    }

    private HttpQuery firstQuery(NetworkAddress entry) {
        HttpQuery query = HttpQuery.json(
                "POST", entry, "/v1/completions", completion.toJson().toString());
        return completion.key().isPresent()
                ? query.withHeader("Idempotency-Key", completion.key().get().value())
                : query;
    }

    private HttpQuery resumeQuery(NetworkAddress entry) {
        resumes++;
        ObjectNode body = JSON.createObjectNode();
        body.put("token", token);
        body.put("from", lastPiece);
        body.put("text", text.toString());
        body.set("request", completion.toJson());
        return HttpQuery.json("POST", entry, "/v1/resume", body.toString());
    }

    private void failed(FailureClass failure, Optional<Duration> comeBack, YuccagwException finalError) {
        directory.doubt();
        entryOffset++;
        Duration spent = Duration.ofNanos(System.nanoTime() - startNanos);
        RetrySituation situation = new RetrySituation(
                RetryLayer.CLIENT,
                completion.key().isEmpty(),
                false,
                attempts,
                settings.deadline().minus(spent),
                comeBack,
                RetryBudget.unlimited());
        RetryDecision decision = policy.decide(failure, situation, ThreadLocalRandom.current());
        if (decision instanceof RetryDecision.Retry retry) {
            thread.executeAfter(this::attempt, Math.max(1, retry.delay().toMillis()), TimeUnit.MILLISECONDS);
        } else {
            result.completeExceptionally(finalError);
        }
    }

    private void errorAnswer(String body, String retryAfter) {
        YuccagwException error = readError(body);
        Optional<Duration> comeBack = parseSeconds(retryAfter);
        ErrorKind.Retry retry = error.kind().retry();
        if (retry == ErrorKind.Retry.OTHER_ENTRY) {
            failed(FailureClass.ENTRY_NOT_READY, comeBack, error);
        } else if (retry == ErrorKind.Retry.CALLER && comeBack.isPresent()) {
            failed(FailureClass.ENTRY_REFUSED, comeBack, error.comeBackAfter(comeBack.get()));
        } else {
            result.completeExceptionally(error);
        }
    }

    private static YuccagwException readError(String body) {
        try {
            JsonNode error = JSON.readTree(body).path("error");
            ErrorKind kind = ErrorKind.valueOf(error.path("code").asText().toUpperCase(Locale.ROOT));
            return kind.received(error.path("message").asText());
        } catch (IOException | IllegalArgumentException e) {
            return ErrorKind.INTERNAL.raiseFrom(e, "the entry's error can't be read");
        }
    }

    private static Optional<Duration> parseSeconds(String retryAfter) {
        try {
            return retryAfter == null ? Optional.empty() : Optional.of(Duration.ofSeconds(Long.parseLong(retryAfter)));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private void finish() {
        result.complete(new CompletionAnswer(
                requestId,
                text.toString(),
                lastPiece,
                usage.path("prompt_tokens").asLong(),
                usage.path("completion_tokens").asLong(),
                usage.path("prompt_tokens_details").path("cached_tokens").asLong(),
                resumes));
    }

    /** One connection to one entry. */
    private final class Attempt implements HttpStreamListener {
        private final SseParser parser = SseParser.of(this::onEvent);
        private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
        private int status;
        private String retryAfter;
        private boolean over;

        @Override
        public void onHead(int answeredStatus, HeaderMap headers) {
            status = answeredStatus;
            retryAfter = headers.getFirst("Retry-After");
            if (status == OK) {
                token = orElse(headers.getFirst("X-Resume-Token"), token);
                requestId = requestId.isEmpty() ? orElse(headers.getFirst("X-Request-Id"), "") : requestId;
            }
        }

        @Override
        public void onBytes(ByteBuffer bytes) {
            if (status != OK) {
                while (bytes.hasRemaining()) {
                    errorBody.write(bytes.get());
                }
                return;
            }
            try {
                parser.accept(bytes);
            } catch (IOException e) {
                lost("the answer can't be read: " + e.getMessage());
            }
        }

        @Override
        public void onEnd() {
            if (status != OK) {
                errorAnswer(errorBody.toString(java.nio.charset.StandardCharsets.UTF_8), retryAfter);
            } else {
                lost("the answer ended without its end mark");
            }
        }

        @Override
        public void onFailure(Phase phase, boolean silent, IOException cause) {
            lost(String.valueOf(cause.getMessage()));
        }

        private void onEvent(long id, String data) throws IOException {
            if (over) {
                return;
            }
            if (data.equals(END_MARK)) {
                over = true;
                finish();
                return;
            }
            JsonNode chunk = JSON.readTree(data);
            if (chunk.has("error")) {
                over = true;
                errorAnswer(data, null);
            } else if (chunk.has("usage")) {
                usage = chunk.get("usage");
            } else if (id == lastPiece + 1) {
                take(id, chunk.path("choices").path(0).path("text").asText());
            }
        }

        private void take(long id, String piece) {
            lastPiece = id;
            text.append(piece);
            pieces.accept(piece);
        }

        private void lost(String detail) {
            if (!over) {
                over = true;
                failed(FailureClass.ENTRY_LOST, Optional.empty(), ErrorKind.STREAM_LOST.raise(detail));
            }
        }
    }

    private static String orElse(String value, String otherwise) {
        return value == null ? otherwise : value;
    }
}
