package org.yuccagw.adapters.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.Protocols;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;

/**
 * The answer to one caller, written without blocking on the I/O thread of the exchange.
 *
 * <p>Bytes that the connection doesn't accept at once are queued. Above 256 KiB of queued bytes the {@link FlowControl}
 * is paused, below 64 KiB it is resumed, so a slow caller delays only its own stream. The connection of a caller that
 * reads nothing for {@value #MAX_STALL_SECONDS} s is closed, because its queue would occupy memory indefinitely.
 */
public final class CallerResponse {
    private static final int HIGH_WATERMARK_BYTES = 256 * 1024;
    private static final int LOW_WATERMARK_BYTES = 64 * 1024;
    private static final long MAX_STALL_SECONDS = 30;

    private final HttpServerExchange exchange;
    private final FlowControl flowControl;
    private final ArrayDeque<ByteBuffer> pending = new ArrayDeque<>();
    private StreamSinkChannel channel;
    private long pendingBytes;
    private boolean paused;
    private boolean endRequested;
    private boolean finished;
    private XnioExecutor.Key stallTimer;

    /** Flow control for answers whose source needs no reaction to a slow or disconnected caller. */
    static final FlowControl NO_FLOW_CONTROL = new FlowControl() {
        @Override
        public void pause() {}

        @Override
        public void resume() {}

        @Override
        public void callerDisconnected() {}
    };

    /** Reactions of the source of an answer to a slow or disconnected caller. */
    public interface FlowControl {
        /** Called when the queue exceeds its high watermark. */
        void pause();

        /** Called when the queue has drained below its low watermark. */
        void resume();

        /**
         * Called when the caller has disconnected, or was disconnected because it stalled. Called at most once, and not
         * after the complete answer was written.
         */
        void callerDisconnected();
    }

    /** Creates the response to an exchange and watches its connection for a close. */
    public CallerResponse(HttpServerExchange exchange, FlowControl flowControl) {
        this.exchange = exchange;
        this.flowControl = flowControl;
        exchange.getConnection().addCloseListener(connection -> onConnectionLost());
    }

    /** Returns whether the head of the answer was passed to the connection. */
    public boolean isStarted() {
        return channel != null;
    }

    /** Returns whether no more bytes can be written. */
    public boolean isFinished() {
        return finished;
    }

    /** Starts the answer with a copy of the given headers. */
    public void start(int status, HeaderMap headers) {
        exchange.setStatusCode(status);
        headers.forEach(values -> exchange.getResponseHeaders().putAll(values.getHeaderName(), values));
        openChannel();
    }

    /** Starts the answer. Headers with an empty value are omitted. */
    void start(int status, Map<String, String> headers) {
        exchange.setStatusCode(status);
        headers.forEach((name, value) -> {
            if (!value.isEmpty()) {
                exchange.getResponseHeaders().put(HttpString.tryFromString(name), value);
            }
        });
        openChannel();
    }

    private void openChannel() {
        if (needsChunks()) {
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        }
        channel = exchange.getResponseChannel();
        if (channel == null) {
            onConnectionLost();
            return;
        }
        channel.getWriteSetter().set(ignored -> drain());
    }

    /**
     * Returns whether the body has no length, so that only chunks show its end. Without them, the end of a body on a
     * connection that isn't kept would be that of the connection, and an aborted answer would look complete. Callers
     * that don't know chunks get a reset in place of that end.
     */
    private boolean needsChunks() {
        boolean withoutBody = exchange.getRequestMethod().equals(Methods.HEAD)
                || exchange.getStatusCode() == StatusCodes.NO_CONTENT
                || exchange.getStatusCode() == StatusCodes.NOT_MODIFIED;
        return !withoutBody
                && exchange.getProtocol().equals(Protocols.HTTP_1_1)
                && !exchange.getResponseHeaders().contains(Headers.CONTENT_LENGTH);
    }

    void write(String text) {
        write(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Writes or queues a copy of the bytes. */
    public void writeCopy(ByteBuffer bytes) {
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        write(ByteBuffer.wrap(copy));
    }

    private void write(ByteBuffer bytes) {
        if (finished || endRequested) {
            return;
        }
        pending.add(bytes);
        pendingBytes += bytes.remaining();
        drain();
        if (pendingBytes > HIGH_WATERMARK_BYTES && !paused) {
            paused = true;
            flowControl.pause();
        }
    }

    /** Completes the answer after the queued bytes. */
    public void end() {
        endRequested = true;
        drain();
    }

    /** Closes the connection of an answer that was started and can't be completed, so that the caller detects it. */
    public void abort() {
        finished = true;
        cancelStallTimer();
        if (endsWithItsConnection()) {
            resetOnClose();
        }
        IoUtils.safeClose(exchange.getConnection());
    }

    /** Returns whether nothing but the end of the connection shows the caller the end of the body. */
    private boolean endsWithItsConnection() {
        HeaderMap headers = exchange.getResponseHeaders();
        return !headers.contains(Headers.CONTENT_LENGTH) && !headers.contains(Headers.TRANSFER_ENCODING);
    }

    private void resetOnClose() {
        try {
            exchange.getConnection().setOption(Options.CLOSE_ABORT, true);
        } catch (IOException ignored) {
            // The connection is closed already, so that the caller has received what it could.
        }
    }

    private void drain() {
        if (finished || channel == null) {
            return;
        }
        try {
            while (!pending.isEmpty()) {
                ByteBuffer buffer = pending.peek();
                int written = channel.write(buffer);
                pendingBytes -= written;
                if (buffer.hasRemaining()) {
                    awaitWritable();
                    return;
                }
                pending.poll();
            }
            finishOrFlush();
        } catch (IOException e) {
            onConnectionLost();
        }
    }

    private void finishOrFlush() throws IOException {
        if (endRequested) {
            channel.shutdownWrites();
        }
        if (!channel.flush()) {
            awaitWritable();
            return;
        }
        cancelStallTimer();
        channel.suspendWrites();
        if (endRequested) {
            finished = true;
            exchange.endExchange();
        } else if (paused && pendingBytes < LOW_WATERMARK_BYTES) {
            paused = false;
            flowControl.resume();
        }
    }

    private void awaitWritable() {
        channel.resumeWrites();
        cancelStallTimer();
        stallTimer = exchange.getIoThread()
                .executeAfter(
                        () -> {
                            abort();
                            flowControl.callerDisconnected();
                        },
                        MAX_STALL_SECONDS,
                        TimeUnit.SECONDS);
    }

    private void onConnectionLost() {
        if (finished) {
            return;
        }
        finished = true;
        cancelStallTimer();
        IoUtils.safeClose(exchange.getConnection());
        flowControl.callerDisconnected();
    }

    private void cancelStallTimer() {
        if (stallTimer != null) {
            stallTimer.remove();
            stallTimer = null;
        }
    }
}
