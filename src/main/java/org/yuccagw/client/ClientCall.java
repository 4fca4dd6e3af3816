package org.yuccagw.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.util.HeaderMap;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
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
import org.yuccagw.adapters.http.BoundedJson;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponseListener;
import org.yuccagw.adapters.http.SseParser;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.port.BodyEnd;
import org.yuccagw.core.retry.FailureClass;
import org.yuccagw.core.retry.RetryBudget;
import org.yuccagw.core.retry.RetryDecision;
import org.yuccagw.core.retry.RetryLayer;
import org.yuccagw.core.retry.RetryPolicy;
import org.yuccagw.core.retry.RetrySituation;

/**
 * Runs one completion on one I/O thread, with as many attempts at different entries as it needs.
 *
 * <p>The client handles only the failures that no entry can handle: an entry can't be reached, the connection to it is
 * lost during the answer, or it answers that another entry should be used. Failures behind an entry are retried by the
 * entry itself, so they are final here. The cases after a failure:
 *
 * <ol>
 *   <li>An error answer or error event is final, unless its kind directs the client to another entry or the answer
 *       gives a time after which to retry.
 *   <li>If the entry was lost before the answer started, the request is sent to another entry. A request with an
 *       idempotency key carries the same key, and the claim of that key prevents it from running twice.
 *   <li>If the entry was lost during the answer, the stream is resumed at another entry after the last received event,
 *       with the resume token from the first entry and the text received so far. No part of the text is passed to the
 *       listener twice.
 * </ol>
 */
final class ClientCall {
    private static final ObjectMapper JSON = BoundedJson.mapper();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final String END_MARKER = "[DONE]";
    private static final int STATUS_OK = 200;
    private static final int MAX_ERROR_BYTES = 64 * 1024;

    private final ClientSettings settings;
    private final HttpClient httpClient;
    private final Directory directory;
    private final RetryPolicy retryPolicy;
    private final CompletionRequest request;
    private final Consumer<String> textListener;
    private final XnioIoThread thread;
    private final CompletableFuture<CompletionResult> result = new CompletableFuture<>();
    private final long startNanos = System.nanoTime();

    private final StringBuilder text = new StringBuilder();
    private String resumeToken = "";
    private String requestId = "";
    private long lastEventId;
    private int attempts;
    private int resumes;
    private int entryIndex;
    private JsonNode usage = MissingNode.getInstance();

    private ClientCall(
            ClientSettings settings,
            HttpClient httpClient,
            Directory directory,
            RetryPolicy retryPolicy,
            CompletionRequest request,
            Consumer<String> textListener) {
        this.settings = settings;
        this.httpClient = httpClient;
        this.directory = directory;
        this.retryPolicy = retryPolicy;
        this.request = request;
        this.textListener = textListener;
        this.thread =
                httpClient.worker().getIoThread(ThreadLocalRandom.current().nextInt());
    }

    static ClientCall of(
            ClientSettings settings,
            HttpClient httpClient,
            Directory directory,
            RetryPolicy retryPolicy,
            CompletionRequest request,
            Consumer<String> textListener) {
        return new ClientCall(settings, httpClient, directory, retryPolicy, request, textListener);
    }

    CompletableFuture<CompletionResult> start() {
        startAttempt();
        return result;
    }

    private void startAttempt() {
        attempts++;
        directory.entries().thenAccept(entries -> thread.execute(() -> send(entries)));
    }

    private void send(List<NetworkAddress> entries) {
        NetworkAddress entry = entries.get(entryIndex % entries.size());
        HttpRequest httpRequest = resumeToken.isEmpty() ? completionRequest(entry) : resumeRequest(entry);
        HttpRequest authorized = httpRequest
                .withHeader("Authorization", "Bearer " + settings.workspaceKey())
                .withTimeouts(CONNECT_TIMEOUT, settings.readTimeout())
                .withStatedEndRequired();
        httpClient.stream(authorized, thread, new Attempt());
    }

    private HttpRequest completionRequest(NetworkAddress entry) {
        HttpRequest httpRequest = HttpRequest.json(
                "POST", entry, "/v1/completions", request.toJson().toString());
        return request.idempotencyKey().isPresent()
                ? httpRequest.withHeader(
                        "Idempotency-Key", request.idempotencyKey().get().value())
                : httpRequest;
    }

    private HttpRequest resumeRequest(NetworkAddress entry) {
        resumes++;
        ObjectNode body = JSON.createObjectNode();
        body.put("token", resumeToken);
        body.put("from", lastEventId);
        body.put("text", text.toString());
        body.set("request", request.toJson());
        return HttpRequest.json("POST", entry, "/v1/resume", body.toString());
    }

    private void retryOrFail(FailureClass failure, Optional<Duration> retryAfter, YuccagwException finalError) {
        directory.expire();
        entryIndex++;
        Duration elapsed = Duration.ofNanos(System.nanoTime() - startNanos);
        RetrySituation situation = new RetrySituation(
                RetryLayer.CLIENT,
                request.idempotencyKey().isEmpty(),
                false,
                attempts,
                settings.totalTimeout().minus(elapsed),
                retryAfter,
                RetryBudget.unlimited());
        RetryDecision decision = retryPolicy.decide(failure, situation, ThreadLocalRandom.current());
        if (decision instanceof RetryDecision.Retry retry) {
            thread.executeAfter(this::startAttempt, Math.max(1, retry.delay().toMillis()), TimeUnit.MILLISECONDS);
        } else {
            result.completeExceptionally(finalError);
        }
    }

    private void handleError(String body, String retryAfterHeader) {
        YuccagwException error = parseError(body);
        Optional<Duration> retryAfter = parseSeconds(retryAfterHeader);
        ErrorKind.Retry retry = error.kind().retry();
        if (retry == ErrorKind.Retry.OTHER_ENTRY) {
            retryOrFail(FailureClass.ENTRY_NOT_READY, retryAfter, error);
        } else if (retry == ErrorKind.Retry.CALLER && retryAfter.isPresent()) {
            retryOrFail(FailureClass.ENTRY_REFUSED, retryAfter, error.withRetryAfter(retryAfter.get()));
        } else {
            result.completeExceptionally(error);
        }
    }

    private static YuccagwException parseError(String body) {
        try {
            JsonNode error = JSON.readTree(body).path("error");
            ErrorKind kind = ErrorKind.valueOf(error.path("code").asText().toUpperCase(Locale.ROOT));
            return kind.fromAnswer(error.path("message").asText());
        } catch (IOException | IllegalArgumentException e) {
            return ErrorKind.INTERNAL.raiseFrom(e, "the error body of the entry can't be parsed");
        }
    }

    private static Optional<Duration> parseSeconds(String text) {
        try {
            return text == null ? Optional.empty() : Optional.of(Duration.ofSeconds(Long.parseLong(text)));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private void complete() {
        result.complete(new CompletionResult(
                requestId,
                text.toString(),
                lastEventId,
                usage.path("prompt_tokens").asLong(),
                usage.path("completion_tokens").asLong(),
                usage.path("prompt_tokens_details").path("cached_tokens").asLong(),
                resumes));
    }

    /** Handles the answer over one connection to one entry. */
    private final class Attempt implements HttpResponseListener {
        private final SseParser parser = SseParser.of(this::onEvent);
        private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
        private int status;
        private String retryAfterHeader;
        private boolean finished;

        @Override
        public void onHead(int answerStatus, HeaderMap headers) {
            status = answerStatus;
            retryAfterHeader = headers.getFirst("Retry-After");
            if (status == STATUS_OK) {
                resumeToken = orElse(headers.getFirst("X-Resume-Token"), resumeToken);
                requestId = requestId.isEmpty() ? orElse(headers.getFirst("X-Request-Id"), "") : requestId;
            }
        }

        @Override
        public void onBytes(ByteBuffer bytes) {
            if (status != STATUS_OK) {
                collectError(bytes);
                return;
            }
            try {
                parser.accept(bytes);
            } catch (IOException e) {
                throw new UncheckedIOException(new IOException("the answer can't be parsed: " + e.getMessage(), e));
            }
        }

        private void collectError(ByteBuffer bytes) {
            if (errorBody.size() + bytes.remaining() > MAX_ERROR_BYTES) {
                throw new UncheckedIOException(new IOException("an error of over " + MAX_ERROR_BYTES + " bytes"));
            }
            while (bytes.hasRemaining()) {
                errorBody.write(bytes.get());
            }
        }

        @Override
        public void onEnd(BodyEnd end) {
            if (status != STATUS_OK) {
                handleError(errorBody.toString(java.nio.charset.StandardCharsets.UTF_8), retryAfterHeader);
            } else {
                connectionLost("the answer ended without its end marker");
            }
        }

        @Override
        public void onFailure(Phase phase, boolean silent, IOException cause) {
            connectionLost(String.valueOf(cause.getMessage()));
        }

        private void onEvent(long id, String data) throws IOException {
            if (finished) {
                return;
            }
            if (data.equals(END_MARKER)) {
                finished = true;
                complete();
                return;
            }
            JsonNode chunk = JSON.readTree(data);
            if (chunk.has("error")) {
                finished = true;
                handleError(data, null);
            } else if (chunk.has("usage")) {
                usage = chunk.get("usage");
            } else if (id == lastEventId + 1) {
                addText(id, chunk.path("choices").path(0).path("text").asText());
            }
        }

        private void addText(long id, String addedText) {
            lastEventId = id;
            text.append(addedText);
            textListener.accept(addedText);
        }

        private void connectionLost(String detail) {
            if (!finished) {
                finished = true;
                retryOrFail(FailureClass.ENTRY_LOST, Optional.empty(), ErrorKind.STREAM_LOST.raise(detail));
            }
        }
    }

    private static String orElse(String value, String fallback) {
        return value == null ? fallback : value;
    }
}
