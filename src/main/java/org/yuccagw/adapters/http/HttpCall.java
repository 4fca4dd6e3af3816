package org.yuccagw.adapters.http;

import com.google.common.collect.ImmutableSet;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;
import org.yuccagw.adapters.http.HttpStreamListener.Phase;

/**
 * One HTTP request in progress. All of it runs on one I/O thread, so it needs no lock.
 *
 * <p>The watch for silence: a timer runs while bytes are awaited; each byte starts it anew. When it ends first, the
 * connection is closed and the listener is told that it fell silent. This guards against connections that something
 * between the two ends forgot: they show no error at all, ever.
 */
public final class HttpCall {
    private static final ImmutableSet<String> BODILESS = ImmutableSet.of("GET", "HEAD", "DELETE");

    private final HttpClient caller;
    private final HttpQuery query;
    private final XnioIoThread thread;
    private final HttpStreamListener listener;

    private Phase phase = Phase.CONNECT;
    private boolean over;
    private boolean paused;
    private ClientConnection connection;
    private StreamSourceChannel source;
    private XnioExecutor.Key silenceTimer;
    private long lastByteNanos;
    private boolean bodySent;
    private Duration idleLimit = Duration.ZERO;

    HttpCall(HttpClient caller, HttpQuery query, XnioIoThread thread, HttpStreamListener listener) {
        this.caller = caller;
        this.query = query;
        this.thread = thread;
        this.listener = listener;
    }

    /** Gives the request up: closes its connection and tells the listener nothing more. Any thread may call it. */
    public void abandon() {
        if (Thread.currentThread() == thread) {
            finishQuietly();
        } else {
            thread.execute(this::finishQuietly);
        }
    }

    /** Stops reading, so that a slow reader on the other side holds the sender back; on the I/O thread only. */
    public void pause() {
        paused = true;
        if (source != null) {
            source.suspendReads();
        }
    }

    /** Reads again after {@link #pause}; on the I/O thread only. */
    public void resume() {
        if (!paused || over) {
            return;
        }
        paused = false;
        lastByteNanos = System.nanoTime();
        if (source != null) {
            source.resumeReads();
        }
    }

    void begin() {
        if (over) {
            return;
        }
        silenceTimer = thread.executeAfter(
                () -> fail(false, new IOException("no connection to " + query.address() + " within its timeout")),
                query.connectTimeout().toMillis(),
                TimeUnit.MILLISECONDS);
        caller.connect(query, thread, new ClientCallback<>() {
            @Override
            public void completed(ClientConnection connected) {
                onConnected(connected);
            }

            @Override
            public void failed(IOException cause) {
                fail(false, cause);
            }
        });
    }

    static void close(ClientConnection connection) {
        IoUtils.safeClose(connection);
    }

    private void onConnected(ClientConnection connected) {
        if (over) {
            close(connected);
            return;
        }
        connection = connected;
        phase = Phase.AWAIT;
        lastByteNanos = System.nanoTime();
        watchForSilence();
        connection.sendRequest(makeRequest(), new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                onExchange(exchange);
            }

            @Override
            public void failed(IOException cause) {
                fail(false, cause);
            }
        });
    }

    private ClientRequest makeRequest() {
        ClientRequest request = new ClientRequest()
                .setMethod(HttpString.tryFromString(query.method()))
                .setPath(query.path());
        request.getRequestHeaders().put(Headers.HOST, query.address().toString());
        for (io.undertow.util.HeaderValues values : query.headers()) {
            request.getRequestHeaders().putAll(values.getHeaderName(), values);
        }
        boolean bodiless = query.body().length == 0 && BODILESS.contains(query.method());
        if (!bodiless) {
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, query.body().length);
        }
        return request;
    }

    private void onExchange(ClientExchange exchange) {
        exchange.setResponseListener(new ClientCallback<>() {
            @Override
            public void completed(ClientExchange answered) {
                onHead(answered);
            }

            @Override
            public void failed(IOException cause) {
                fail(false, cause);
            }
        });
        sendBody(exchange.getRequestChannel(), ByteBuffer.wrap(query.body()));
    }

    private void sendBody(StreamSinkChannel sink, ByteBuffer body) {
        try {
            while (body.hasRemaining()) {
                if (sink.write(body) == 0) {
                    sink.getWriteSetter().set(channel -> sendBody(sink, body));
                    sink.resumeWrites();
                    return;
                }
            }
            sink.shutdownWrites();
            if (!sink.flush()) {
                sink.getWriteSetter().set(channel -> sendBody(sink, body));
                sink.resumeWrites();
            } else {
                sink.suspendWrites();
                bodySent = true;
            }
        } catch (IOException e) {
            fail(false, e);
        }
    }

    private void onHead(ClientExchange exchange) {
        if (over) {
            return;
        }
        phase = Phase.ANSWER;
        lastByteNanos = System.nanoTime();
        source = exchange.getResponseChannel();
        idleLimit = KeepAlive.limit(exchange.getResponse().getResponseHeaders());
        listener.onHead(
                exchange.getResponse().getResponseCode(), exchange.getResponse().getResponseHeaders());
        if (over) {
            return;
        }
        source.getReadSetter().set(channel -> readBody());
        if (paused) {
            source.suspendReads();
        } else {
            readBody();
        }
    }

    private void readBody() {
        try (PooledByteBuffer pooled = caller.buffers().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (!over && !paused) {
                buffer.clear();
                int count = source.read(buffer);
                if (count < 0) {
                    end();
                    return;
                }
                if (count == 0) {
                    source.resumeReads();
                    return;
                }
                lastByteNanos = System.nanoTime();
                buffer.flip();
                listener.onBytes(buffer);
            }
        } catch (IOException e) {
            fail(false, e);
        }
    }

    private void watchForSilence() {
        cancelTimer();
        long waited = System.nanoTime() - lastByteNanos;
        long left = query.silenceTimeout().toNanos() - waited;
        if (left <= 0 && !paused) {
            fail(true, new IOException(query.address() + " was silent for " + query.silenceTimeout()));
            return;
        }
        long millis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(left) + 1);
        silenceTimer = thread.executeAfter(this::watchForSilence, millis, TimeUnit.MILLISECONDS);
    }

    private void end() {
        if (over) {
            return;
        }
        over = true;
        cancelTimer();
        if (bodySent) {
            caller.giveBack(query.address(), thread, connection, idleLimit);
        } else {
            // Answered before the body was sent: the rest of it would be read as the beginning of the next request.
            close(connection);
        }
        listener.onEnd();
    }

    private void fail(boolean silent, IOException cause) {
        if (over) {
            return;
        }
        finishQuietly();
        if (silent) {
            caller.forgetKept(query.address(), thread);
        }
        listener.onFailure(phase, silent, cause);
    }

    private void finishQuietly() {
        over = true;
        cancelTimer();
        if (connection != null) {
            close(connection);
        }
    }

    private void cancelTimer() {
        if (silenceTimer != null) {
            silenceTimer.remove();
        }
    }
}
