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

/** A caller of yuccagw. One for each process is enough; all methods may be called from any thread. */
public final class YuccagwClient {
    private static final int IO_THREADS = 2;

    private final ClientSettings settings;
    private final HttpClient http;
    private final Directory directory;
    private final RetryPolicy policy = RetryPolicy.defaults();

    private YuccagwClient(ClientSettings settings, HttpClient http) {
        this.settings = settings;
        this.http = http;
        this.directory = new Directory(http, settings);
    }

    /** Makes a client with I/O threads of its own; {@link #stop} ends them. */
    public static YuccagwClient start(ClientSettings settings) throws IOException {
        return new YuccagwClient(settings, HttpClient.start(IO_THREADS));
    }

    public void stop() {
        http.stop();
    }

    /** A fresh idempotency key. Make one for each intended effect and keep it until the answer is known. */
    public static IdempotencyKey newKey() {
        return IdempotencyKey.of(java.util.UUID.randomUUID().toString());
    }

    /**
     * Completes a prompt and waits for the whole answer.
     *
     * @param pieces gets each piece of text once, in order, as it comes
     * @throws YuccagwException the final error; its kind tells whether the request ran and who may send it again
     */
    public CompletionAnswer complete(CompletionRequest completion, Consumer<String> pieces) throws YuccagwException {
        try {
            return begin(completion, pieces).get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof YuccagwException known) {
                throw known;
            }
            throw ErrorKind.INTERNAL.raiseFrom(e.getCause(), e.getCause().getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw ErrorKind.STREAM_LOST.raiseFrom(e, "the waiting thread was interrupted");
        }
    }

    /** Begins to complete a prompt; the future fails with a {@link YuccagwException}. */
    public CompletableFuture<CompletionAnswer> begin(CompletionRequest completion, Consumer<String> pieces) {
        ClientCall call = ClientCall.of(settings, http, directory, policy, completion, pieces);
        return call.begin();
    }
}
