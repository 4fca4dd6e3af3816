package org.yuccagw.standins.http;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Queue;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * An answer that is sent incrementally. Any thread may write. The bytes are queued without bound and sent in order on
 * the connection's I/O thread, as fast as the reader accepts them.
 */
public final class ByteStream {
    private final HttpServerExchange exchange;
    private final StreamSinkChannel channel;
    private final Queue<ByteBuffer> queue = new ArrayDeque<>();
    private boolean endRequested;
    private boolean closed;

    private ByteStream(HttpServerExchange exchange) {
        this.exchange = exchange;
        this.channel = exchange.getResponseChannel();
        this.channel.getWriteSetter().set(sink -> writeQueued());
    }

    static ByteStream start(HttpServerExchange exchange) {
        ByteStream stream = new ByteStream(exchange);
        stream.writeQueued();
        return stream;
    }

    /** Queues bytes to be sent. */
    public void write(byte[] bytes) {
        exchange.getIoThread().execute(() -> {
            queue.add(ByteBuffer.wrap(bytes));
            writeQueued();
        });
    }

    /** Ends the answer after all queued bytes have been sent. */
    public void end() {
        exchange.getIoThread().execute(() -> {
            endRequested = true;
            writeQueued();
        });
    }

    /** Closes the connection at once, without sending the rest of the answer. */
    public void abort() {
        IoUtils.safeClose(exchange.getConnection());
    }

    /** Registers a callback that runs on an I/O thread once the answer is complete or the connection is closed. */
    public void onClose(Runnable callback) {
        exchange.addExchangeCompleteListener((completed, next) -> {
            callback.run();
            next.proceed();
        });
    }

    private void writeQueued() {
        if (closed) {
            return;
        }
        try {
            while (!queue.isEmpty()) {
                ByteBuffer buffer = queue.peek();
                if (channel.write(buffer) == 0) {
                    channel.resumeWrites();
                    return;
                }
                if (!buffer.hasRemaining()) {
                    queue.remove();
                }
            }
            if (endRequested) {
                channel.shutdownWrites();
            }
            if (!channel.flush()) {
                channel.resumeWrites();
                return;
            }
            channel.suspendWrites();
            if (endRequested) {
                closed = true;
                exchange.endExchange();
            }
        } catch (IOException e) {
            // The reader has closed the connection, so the error can't be reported to it.
            closed = true;
            IoUtils.safeClose(exchange.getConnection());
            exchange.endExchange();
        }
    }
}
