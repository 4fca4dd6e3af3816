package org.yuccagw.client;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.IdempotencyKey;
import org.yuccagw.core.retry.RetryPolicy;

/** A client of yuccagw. One client per process is sufficient. All methods may be called from any thread. */
public final class YuccagwClient {
    private static final int IO_THREADS = 2;

    private final ClientSettings settings;
    private final HttpClient httpClient;
    private final Directory directory;
    private final RetryPolicy retryPolicy = RetryPolicy.defaults();

    private YuccagwClient(ClientSettings settings, HttpClient httpClient) {
        this.settings = settings;
        this.httpClient = httpClient;
        this.directory = new Directory(httpClient, settings);
    }

    /** Creates a client with its own I/O threads, which {@link #stop} ends. */
    public static YuccagwClient start(ClientSettings settings) throws IOException {
        return new YuccagwClient(settings, HttpClient.start(IO_THREADS));
    }

    public void stop() {
        httpClient.stop();
    }

    /** Returns a new random idempotency key. Use one key per intended effect, and keep it until the answer is known. */
    public static IdempotencyKey newIdempotencyKey() {
        return IdempotencyKey.of(java.util.UUID.randomUUID().toString());
    }

    /**
     * Completes a prompt and waits for the whole answer.
     *
     * @param textListener receives each part of the text exactly once and in order, as soon as it arrives
     * @throws YuccagwException the final error; its kind says whether the request ran and whether it may be retried
     */
    public CompletionResult complete(CompletionRequest request, Consumer<String> textListener) throws YuccagwException {
        try {
            return startCompletion(request, textListener).get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof YuccagwException finalError) {
                throw finalError;
            }
            throw ErrorKind.INTERNAL.raiseFrom(e.getCause(), e.getCause().getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw ErrorKind.STREAM_LOST.raiseFrom(e, "the waiting thread was interrupted");
        }
    }

    /** Starts to complete a prompt. On an error, the future fails with a {@link YuccagwException}. */
    public CompletableFuture<CompletionResult> startCompletion(
            CompletionRequest request, Consumer<String> textListener) {
        ClientCall call = ClientCall.of(settings, httpClient, directory, retryPolicy, request, textListener);
        return call.start();
    }
}
