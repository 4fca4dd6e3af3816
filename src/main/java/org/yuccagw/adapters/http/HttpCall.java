package org.yuccagw.adapters.http;

import com.google.common.collect.ImmutableSet;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;
import org.yuccagw.adapters.http.HttpResponseListener.Phase;
import org.yuccagw.core.port.BodyEnd;

/**
 * One HTTP request in progress. All its state is confined to one I/O thread, so it needs no lock.
 *
 * <p>A silence timer runs while bytes are expected, and every byte restarts it. When it expires, the connection is
 * closed and the listener is notified of the silence. This guards against connections whose state a device on the path
 * has dropped: they never report an error.
 */
public final class HttpCall implements OngoingCall {
    private static final ImmutableSet<String> METHODS_WITHOUT_BODY = ImmutableSet.of("GET", "HEAD", "DELETE");

    /** After this much of a body, the other connections and timers of the I/O thread have their turn. */
    private static final int MAX_BYTES_PER_TURN = 256 * 1024;

    private final HttpClient client;
    private final HttpRequest request;
    private final XnioIoThread thread;
    private final HttpResponseListener listener;

    private Phase phase = Phase.CONNECT;
    private boolean finished;
    private boolean paused;
    private boolean reused;
    private HttpConnection connection;
    private StreamSourceChannel responseChannel;
    private XnioExecutor.Key silenceTimer;
    private long lastByteNanos;
    private boolean bodySent;
    private Duration idleLimit = Duration.ZERO;
    private BodyEnd bodyEnd = BodyEnd.CONNECTION;

    HttpCall(HttpClient client, HttpRequest request, XnioIoThread thread, HttpResponseListener listener) {
        this.client = client;
        this.request = request;
        this.thread = thread;
        this.listener = listener;
    }

    @Override
    public void cancel() {
        if (Thread.currentThread() == thread) {
            finishWithoutCallback();
        } else {
            thread.execute(this::finishWithoutCallback);
        }
    }

    @Override
    public void pause() {
        paused = true;
        if (responseChannel != null) {
            responseChannel.suspendReads();
        }
    }

    @Override
    public void resume() {
        if (!paused || finished) {
            return;
        }
        paused = false;
        lastByteNanos = System.nanoTime();
        if (responseChannel != null) {
            responseChannel.resumeReads();
        }
    }

    void start() {
        if (finished) {
            return;
        }
        silenceTimer = thread.executeAfter(
                () -> fail(false, new IOException("no connection to " + request.address() + " within its timeout")),
                request.connectTimeout().toMillis(),
                TimeUnit.MILLISECONDS);
        Optional<HttpConnection> idle = client.takeIdleConnection(request, thread);
        if (idle.isPresent()) {
            reused = true;
            onConnected(idle.get());
            return;
        }
        client.connect(request.address(), thread, new ClientCallback<>() {
            @Override
            public void completed(HttpConnection established) {
                onConnected(established);
            }

            @Override
            public void failed(IOException cause) {
                fail(false, cause);
            }
        });
    }

    private void onConnected(HttpConnection established) {
        if (finished) {
            established.close();
            return;
        }
        connection = established;
        connection.startRequest();
        phase = Phase.AWAIT;
        lastByteNanos = System.nanoTime();
        checkSilence();
        if (!reused) {
            listener.onNewConnection();
        }
        listener.onConnected();
        connection.channel().sendRequest(toClientRequest(), new ClientCallback<>() {
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

    private ClientRequest toClientRequest() {
        ClientRequest clientRequest = new ClientRequest()
                .setMethod(HttpString.tryFromString(request.method()))
                .setPath(request.path());
        clientRequest.getRequestHeaders().put(Headers.HOST, request.address().toString());
        for (io.undertow.util.HeaderValues values : request.headers()) {
            clientRequest.getRequestHeaders().putAll(values.getHeaderName(), values);
        }
        boolean withoutBody = request.body().length == 0 && METHODS_WITHOUT_BODY.contains(request.method());
        if (!withoutBody) {
            clientRequest.getRequestHeaders().put(Headers.CONTENT_LENGTH, request.body().length);
        }
        return clientRequest;
    }

    private void onExchange(ClientExchange exchange) {
        exchange.setResponseListener(new ClientCallback<>() {
            @Override
            public void completed(ClientExchange responded) {
                onHead(responded);
            }

            @Override
            public void failed(IOException cause) {
                fail(false, cause);
            }
        });
        sendBody(exchange.getRequestChannel(), ByteBuffer.wrap(request.body()));
    }

    private void sendBody(StreamSinkChannel requestChannel, ByteBuffer body) {
        try {
            while (body.hasRemaining()) {
                if (requestChannel.write(body) == 0) {
                    requestChannel.getWriteSetter().set(channel -> sendBody(requestChannel, body));
                    requestChannel.resumeWrites();
                    return;
                }
            }
            requestChannel.shutdownWrites();
            if (!requestChannel.flush()) {
                requestChannel.getWriteSetter().set(channel -> sendBody(requestChannel, body));
                requestChannel.resumeWrites();
            } else {
                requestChannel.suspendWrites();
                bodySent = true;
            }
        } catch (IOException e) {
            fail(false, e);
        }
    }

    private void onHead(ClientExchange exchange) {
        if (finished) {
            return;
        }
        phase = Phase.ANSWER;
        lastByteNanos = System.nanoTime();
        responseChannel = exchange.getResponseChannel();
        idleLimit = KeepAlive.idleLimit(exchange.getResponse().getResponseHeaders());
        bodyEnd = BodyEnds.ofResponse(
                request.method(),
                exchange.getResponse().getResponseCode(),
                exchange.getResponse().getResponseHeaders());
        if (request.statedEndRequired() && bodyEnd == BodyEnd.CONNECTION) {
            fail(false, new IOException(request.address() + " sent a response without a stated end"));
            return;
        }
        listener.onHead(
                exchange.getResponse().getResponseCode(), exchange.getResponse().getResponseHeaders());
        if (finished) {
            return;
        }
        responseChannel.getReadSetter().set(channel -> readBody());
        if (paused) {
            responseChannel.suspendReads();
        } else {
            readBody();
        }
    }

    private void readBody() {
        try (PooledByteBuffer pooled = client.buffers().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            int readInTurn = 0;
            while (!finished && !paused) {
                if (readInTurn >= MAX_BYTES_PER_TURN) {
                    responseChannel.wakeupReads();
                    return;
                }
                buffer.clear();
                int count = responseChannel.read(buffer);
                if (count < 0) {
                    complete();
                    return;
                }
                if (count == 0) {
                    responseChannel.resumeReads();
                    return;
                }
                lastByteNanos = System.nanoTime();
                buffer.flip();
                connection.addContent(count);
                readInTurn += count;
                listener.onBytes(buffer);
            }
        } catch (IOException e) {
            fail(false, e);
        } catch (UncheckedIOException e) {
            fail(false, e.getCause());
        } catch (RuntimeException | VirtualMachineError e) {
            fail(false, new IOException("the response of " + request.address() + " can't be handled: " + e, e));
        }
    }

    private void checkSilence() {
        cancelSilenceTimer();
        long silentNanos = System.nanoTime() - lastByteNanos;
        long remainingNanos = request.silenceTimeout().toNanos() - silentNanos;
        if (remainingNanos <= 0 && !paused) {
            fail(true, new IOException(request.address() + " was silent for " + request.silenceTimeout()));
            return;
        }
        long millis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(remainingNanos) + 1);
        silenceTimer = thread.executeAfter(this::checkSilence, millis, TimeUnit.MILLISECONDS);
    }

    private void complete() {
        if (finished) {
            return;
        }
        finished = true;
        cancelSilenceTimer();
        if (bodySent && bodyEnd != BodyEnd.CONNECTION) {
            client.release(request.address(), thread, connection, idleLimit);
        } else {
            // If the server responded before the whole body was sent and the connection were reused, the server would
            // read the rest of the body as the start of the next request.
            connection.close();
        }
        listener.onEnd(bodyEnd);
    }

    private void fail(boolean silent, IOException cause) {
        if (finished) {
            return;
        }
        finishWithoutCallback();
        if (silent) {
            client.closeIdleConnections(request.address(), thread);
        }
        listener.onFailure(phase, silent, withMessage(cause));
    }

    /** Returns a failure whose message can be logged. The end of a connection in the middle of a response has none. */
    private IOException withMessage(IOException cause) {
        return cause.getMessage() == null
                ? new IOException(request.address() + " ended the connection before the end of the response", cause)
                : cause;
    }

    private void finishWithoutCallback() {
        finished = true;
        cancelSilenceTimer();
        if (connection != null) {
            connection.close();
        }
    }

    private void cancelSilenceTimer() {
        if (silenceTimer != null) {
            silenceTimer.remove();
        }
    }
}
