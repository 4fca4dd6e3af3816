package org.yuccagw.adapters.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import javax.net.ssl.SSLContext;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.yuccagw.core.id.NetworkAddress;

/**
 * Non-blocking HTTP/1.1 client. Every request is confined to one I/O thread.
 *
 * <p>Idle connections are pooled per address and I/O thread, so no two threads share one. A connection returns to the
 * pool only after a complete response was read. One that failed or was silent past its timeout is closed and never
 * reused: a device on the path may have dropped its state although new connections work.
 *
 * <p>If the server has closed a pooled connection in the meantime, the request fails in phase AWAIT before any byte of
 * a response is received. The client doesn't retry it, because only the code that sent it can decide whether a retry
 * is safe.
 */
public final class HttpClient {
    /**
     * Limits how long Undertow drains a half-closed connection, ten seconds by default, before it closes it. The time
     * isn't zero because a server connection that is closed after its response is drained for the same time.
     */
    private static final String DRAIN_TIME_PROPERTY = "io.undertow.max-drain-time";

    private static final String DRAIN_TIME_MILLIS = "150";

    static {
        if (System.getProperty(DRAIN_TIME_PROPERTY) == null) {
            System.setProperty(DRAIN_TIME_PROPERTY, DRAIN_TIME_MILLIS);
        }
    }

    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(2);
    private static final int BUFFER_BYTES = 16 * 1024;
    /** Kept low because an endpoint accepts only a few hundred connections from all entries together. */
    private static final int MAX_IDLE_PER_ADDRESS = 6;

    private final XnioWorker worker;
    private final boolean ownsWorker;
    private final ByteBufferPool buffers;
    private final HttpConnector connector;
    private final UnaryOperator<NetworkAddress> dialedAddress;
    private final Map<XnioIoThread, Map<NetworkAddress, ArrayDeque<IdleConnection>>> idleByThread =
            new ConcurrentHashMap<>();

    private volatile RefusalListener refusalListener = RefusalListener.NONE;

    private HttpClient(
            XnioWorker worker,
            boolean ownsWorker,
            HttpConnector connector,
            UnaryOperator<NetworkAddress> dialedAddress) {
        this.worker = worker;
        this.ownsWorker = ownsWorker;
        this.connector = connector;
        this.dialedAddress = dialedAddress;
        this.buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    }

    /** Returns a client with I/O threads of its own, which {@link #stop} ends. */
    public static HttpClient start(int ioThreads) throws IOException {
        return new HttpClient(createWorker(ioThreads), true, HttpConnector.plain(), UnaryOperator.identity());
    }

    /** Returns a client as {@link #start(int)} does that uses TLS for every connection. */
    public static HttpClient start(int ioThreads, SSLContext tls) throws IOException {
        return new HttpClient(createWorker(ioThreads), true, HttpConnector.withTls(tls), UnaryOperator.identity());
    }

    private static XnioWorker createWorker(int ioThreads) throws IOException {
        OptionMap options = OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, ioThreads)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.THREAD_DAEMON, true)
                .set(Options.TCP_NODELAY, true)
                .getMap();
        return Xnio.getInstance().createWorker(options);
    }

    /** Returns a client on the I/O threads of a server, so that a request and its answer share one thread. */
    public static HttpClient onWorker(XnioWorker worker) {
        return onWorker(worker, UnaryOperator.identity());
    }

    /**
     * Returns a client as {@link #onWorker(XnioWorker)} does.
     *
     * @param dialedAddress returns where the client connects for the address of a request; differs from that address
     *     where a deployment translates addresses, or where a test blocks the path
     */
    public static HttpClient onWorker(XnioWorker worker, UnaryOperator<NetworkAddress> dialedAddress) {
        return new HttpClient(worker, false, HttpConnector.plain(), dialedAddress);
    }

    /** Returns a client on the I/O threads of a server that uses TLS for every connection. */
    public static HttpClient onWorker(XnioWorker worker, SSLContext tls) {
        return new HttpClient(worker, false, HttpConnector.withTls(tls), UnaryOperator.identity());
    }

    /** Sets the listener for responses that this client refuses. */
    public void setRefusalListener(RefusalListener listener) {
        refusalListener = listener;
    }

    void reportRefusal(NetworkAddress server, ResponseDefect defect) {
        refusalListener.onRefused(server, defect);
    }

    /** Closes the idle connections, and ends the I/O threads if they are the client's own. */
    public void stop() {
        idleByThread.forEach((thread, byAddress) -> thread.execute(
                () -> byAddress.values().forEach(connections -> connections.forEach(IdleConnection::close))));
        if (ownsWorker) {
            worker.shutdown();
        }
    }

    public XnioWorker worker() {
        return worker;
    }

    ByteBufferPool buffers() {
        return buffers;
    }

    /** Sends the request and returns its complete response; the future fails with an IOException. */
    public CompletableFuture<HttpResponse> send(HttpRequest request) {
        CompletableFuture<HttpResponse> response = new CompletableFuture<>();
        ResponseCollector collector =
                ResponseCollector.of(response::complete, (phase, cause) -> response.completeExceptionally(cause));
        stream(request, worker.getIoThread(ThreadLocalRandom.current().nextInt()), collector);
        return response;
    }

    /** Sends the request on an I/O thread of this client's worker; the listener is called on that thread. */
    public HttpCall stream(HttpRequest request, XnioIoThread thread, HttpResponseListener listener) {
        HttpCall call = new HttpCall(this, request, thread, listener);
        if (Thread.currentThread() == thread) {
            call.start();
        } else {
            thread.execute(call::start);
        }
        return call;
    }

    /** Tests whether a new connection to the address is established within 2 s; sends nothing over it. */
    public CompletableFuture<Boolean> canConnect(NetworkAddress address, XnioIoThread thread) {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        thread.execute(() -> connect(
                address,
                thread,
                established -> {
                    established.close();
                    result.complete(true);
                },
                failure -> result.complete(false)));
        return result.completeOnTimeout(false, PROBE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Closes the idle connections of the thread to the address. Called when one connection was silent past its timeout,
     * because the others may have been dropped with it.
     */
    void closeIdleConnections(NetworkAddress address, XnioIoThread thread) {
        ArrayDeque<IdleConnection> connections = idleConnections(address, thread);
        connections.forEach(IdleConnection::close);
        connections.clear();
    }

    /** Opens a new connection. Called on the I/O thread; one of the two is called on it. */
    void connect(
            NetworkAddress address,
            XnioIoThread thread,
            Consumer<HttpConnection> onConnected,
            Consumer<IOException> onFailure) {
        connector.connect(dialedAddress.apply(address), thread, onConnected, onFailure);
    }

    /**
     * An idle connection.
     *
     * @param expiryNanos monotonic time until which it may be reused
     */
    private record IdleConnection(HttpConnection connection, long expiryNanos) {
        private void close() {
            connection.close();
        }

        private boolean isUsable() {
            return connection.isOpen() && System.nanoTime() - expiryNanos < 0 && !connection.isSpent();
        }
    }

    /** Returns a connection to the pool after a complete response, or closes it if it can't be reused. */
    void release(NetworkAddress address, XnioIoThread thread, HttpConnection connection, Duration idleLimit) {
        ArrayDeque<IdleConnection> connections = idleConnections(address, thread);
        boolean isReusable = connection.isOpen() && idleLimit.compareTo(Duration.ZERO) > 0;
        if (isReusable && connections.size() < MAX_IDLE_PER_ADDRESS) {
            connection.beginIdle();
            connections.addLast(new IdleConnection(connection, System.nanoTime() + idleLimit.toNanos()));
        } else {
            connection.close();
        }
    }

    /**
     * Removes the most recently used idle connection that is still usable from the pool; empty if there is none or the
     * request needs a new one.
     */
    Optional<HttpConnection> takeIdleConnection(HttpRequest request, XnioIoThread thread) {
        if (request.newConnection()) {
            return Optional.empty();
        }
        ArrayDeque<IdleConnection> connections = idleConnections(request.address(), thread);
        for (IdleConnection next = connections.pollLast(); next != null; next = connections.pollLast()) {
            if (next.isUsable()) {
                return Optional.of(next.connection());
            }
            next.close();
        }
        return Optional.empty();
    }

    private ArrayDeque<IdleConnection> idleConnections(NetworkAddress address, XnioIoThread thread) {
        return idleByThread
                .computeIfAbsent(thread, key -> new ConcurrentHashMap<>())
                .computeIfAbsent(address, key -> new ArrayDeque<>());
    }
}
