package org.yuccagw.adapters.http;

import io.undertow.util.HeaderMap;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.yuccagw.core.port.BodyEnd;

/** Collects a response in memory, up to {@link #MAX_BODY_BYTES}, and passes it on when it has ended. */
public final class ResponseCollector implements HttpResponseListener {
    /** The largest lists of the platform take a few megabytes. */
    static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

    private final Consumer<HttpResponse> onResponse;
    private final FailureHandler onFailure;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private HeaderMap headers;

    /** Receives the failure of a request. */
    @FunctionalInterface
    public interface FailureHandler {
        void handle(Phase phase, IOException cause);
    }

    private ResponseCollector(Consumer<HttpResponse> onResponse, FailureHandler onFailure) {
        this.onResponse = onResponse;
        this.onFailure = onFailure;
    }

    /** Returns a collector for one request. Exactly one of the two is called, once, on the I/O thread. */
    public static ResponseCollector of(Consumer<HttpResponse> onResponse, FailureHandler onFailure) {
        return new ResponseCollector(onResponse, onFailure);
    }

    @Override
    public void onHead(int receivedStatus, HeaderMap receivedHeaders) {
        status = receivedStatus;
        headers = receivedHeaders;
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        if (body.size() + bytes.remaining() > MAX_BODY_BYTES) {
            throw new UncheckedIOException(
                    new IOException("a response body of more than " + MAX_BODY_BYTES + " bytes"));
        }
        byte[] chunk = new byte[bytes.remaining()];
        bytes.get(chunk);
        body.writeBytes(chunk);
    }

    @Override
    public void onEnd(BodyEnd end) {
        onResponse.accept(new HttpResponse(status, headers, body.toByteArray(), end));
    }

    @Override
    public void onFailure(Phase phase, boolean silent, IOException cause) {
        onFailure.handle(phase, cause);
    }
}
