package org.yuccagw.adapters.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;

/**
 * The answer to one caller, written without blocking on the exchange's I/O thread.
 *
 * <p>What the caller doesn't take at once waits in a queue. Over the high mark the {@link Flow} is asked to pause,
 * under
 * the low mark to go on, so that a slow caller holds back its own stream and nothing else. A caller that takes nothing
 * for {@value #LONGEST_STALL_SECONDS} s is cut off: it would hold memory for good.
 */
public final class CallerResponse {
    private static final int HIGH_MARK = 256 * 1024;
    private static final int LOW_MARK = 64 * 1024;
    private static final long LONGEST_STALL_SECONDS = 30;

    private final HttpServerExchange exchange;
    private final Flow flow;
    private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
    private StreamSinkChannel sink;
    private long queuedBytes;
    private boolean paused;
    private boolean ending;
    private boolean over;
    private XnioExecutor.Key stallTimer;

    /** For answers whose sender has nothing to do for a slow or absent caller. */
    static final Flow IGNORED = new Flow() {
        @Override
        public void pause() {}

        @Override
        public void goOn() {}

        @Override
        public void callerLeft() {}
    };

    /** What the sender of the answer does for a slow or absent caller. */
    public interface Flow {
        void pause();

        void goOn();

        /** The caller is gone, or was cut off; called once at most, and not after the whole answer was written. */
        void callerLeft();
    }

    public CallerResponse(HttpServerExchange exchange, Flow flow) {
        this.exchange = exchange;
        this.flow = flow;
        exchange.getConnection().addCloseListener(connection -> left());
    }

    /** Whether the head was given to the connection. */
    public boolean isStarted() {
        return sink != null;
    }

    /** Whether nothing more can be written. */
    public boolean isOver() {
        return over;
    }

    /** Begins the answer with the headers of another one. */
    public void start(int status, HeaderMap headers) {
        exchange.setStatusCode(status);
        headers.forEach(values -> exchange.getResponseHeaders().putAll(values.getHeaderName(), values));
        openSink();
    }

    /** Begins the answer; a header with an empty value is left out. */
    void start(int status, Map<String, String> headers) {
        exchange.setStatusCode(status);
        headers.forEach((name, value) -> {
            if (!value.isEmpty()) {
                exchange.getResponseHeaders().put(HttpString.tryFromString(name), value);
            }
        });
        openSink();
    }

    private void openSink() {
        sink = exchange.getResponseChannel();
        if (sink == null) {
            left();
            return;
        }
        sink.getWriteSetter().set(channel -> drain());
    }

    void write(String text) {
        write(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Writes or queues the bytes; the buffer is not kept. */
    public void writeCopy(ByteBuffer bytes) {
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        write(ByteBuffer.wrap(copy));
    }

    private void write(ByteBuffer bytes) {
        if (over || ending) {
            return;
        }
        queue.add(bytes);
        queuedBytes += bytes.remaining();
        drain();
        if (queuedBytes > HIGH_MARK && !paused) {
            paused = true;
            flow.pause();
        }
    }

    /** The answer is whole. */
    public void end() {
        ending = true;
        drain();
    }

    /** The answer can't be made whole and its head is out: close the connection, so that the caller sees the cut. */
    public void cut() {
        over = true;
        cancelStallTimer();
        IoUtils.safeClose(exchange.getConnection());
    }

    private void drain() {
        if (over || sink == null) {
            return;
        }
        try {
            while (!queue.isEmpty()) {
                ByteBuffer first = queue.peek();
                int written = sink.write(first);
                queuedBytes -= written;
                if (first.hasRemaining()) {
                    waitForCaller();
                    return;
                }
                queue.poll();
            }
            finishOrFlush();
        } catch (IOException e) {
            left();
        }
    }

    private void finishOrFlush() throws IOException {
        if (ending) {
            sink.shutdownWrites();
        }
        if (!sink.flush()) {
            waitForCaller();
            return;
        }
        cancelStallTimer();
        sink.suspendWrites();
        if (ending) {
            over = true;
            exchange.endExchange();
        } else if (paused && queuedBytes < LOW_MARK) {
            paused = false;
            flow.goOn();
        }
    }

    private void waitForCaller() {
        sink.resumeWrites();
        cancelStallTimer();
        stallTimer = exchange.getIoThread()
                .executeAfter(
                        () -> {
                            cut();
                            flow.callerLeft();
                        },
                        LONGEST_STALL_SECONDS,
                        TimeUnit.SECONDS);
    }

    private void left() {
        if (over) {
            return;
        }
        over = true;
        cancelStallTimer();
        IoUtils.safeClose(exchange.getConnection());
        flow.callerLeft();
    }

    private void cancelStallTimer() {
        if (stallTimer != null) {
            stallTimer.remove();
            stallTimer = null;
        }
    }
}
