package org.yuccagw.adapters.http;

import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.port.BodyEnd;

/**
 * Receives the response to one HTTP request, on the I/O thread of the request. No method is called after
 * {@link #onEnd} or {@link #onFailure}.
 */
public interface HttpResponseListener {
    /** The progress of a request when it failed, which shows whether the server may have received it. */
    enum Phase {
        /** No connection was established; no byte was sent. */
        CONNECT,
        /** Some or all of the request may have been sent; no response was received. */
        AWAIT,
        /** The head of the response had been received. */
        ANSWER
    }

    /** Called before {@link #onConnected} if the connection was opened for this request. */
    default void onNewConnection() {}

    /** Called before {@link #onHead} if another entry passes the response on. */
    default void onRelayed(EntryId relay) {}

    /** Called when the connection is established, so that the server may receive the request from now on. */
    default void onConnected() {}

    /** Called before {@link #onHead} with what will show the end of the body. */
    default void onFraming(BodyEnd bodyEnd) {}

    /**
     * Called when the status line and the headers have been received.
     *
     * @throws java.io.UncheckedIOException if they are unacceptable; the request then fails with its cause
     */
    void onHead(int status, HeaderMap headers);

    /**
     * Called with the next bytes of the body. The buffer is valid during the call only.
     *
     * @throws java.io.UncheckedIOException if the body is unacceptable; the request then fails with its cause
     */
    void onBytes(ByteBuffer bytes);

    /**
     * Called when the response has ended.
     *
     * @param end what showed its end. After {@link BodyEnd#CONNECTION} the response may be incomplete, so the content
     *     must show whether it is complete
     */
    void onEnd(BodyEnd end);

    /**
     * Called when the request failed. Its connection is closed and isn't reused.
     *
     * @param silent whether no byte was received within the silence timeout
     */
    void onFailure(Phase phase, boolean silent, IOException cause);
}
