package org.yuccagw.adapters.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.protocols.ssl.UndertowXnioSsl;
import io.undertow.server.DefaultByteBufferPool;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.ssl.XnioSsl;
import org.yuccagw.core.id.NetworkAddress;

/**
 * HTTP requests by Undertow's client, without blocking: every request lives on one I/O thread.
 *
 * <p>Connections are kept for each address and I/O thread, so that no two threads share one. A connection goes back to
 * the idle ones only after a whole answer was read. One that failed or fell silent is closed and never used again:
 * something between the two ends may have lost track of it while new connections work.
 *
 * <p>A kept connection that the other side has closed meanwhile shows as a failure in phase AWAIT before any byte of an
 * answer. Such a request is not sent again here: whether that is safe is the caller's decision.
 */
public final class HttpClient {
    /**
     * Guards against work for nobody: a connection that is given up is first half closed and drained by the library,
     * for ten seconds by default, and an endpoint that watches for a closed connection works on for as long. The time
     * is not zero, since a server's connection that closes after its answer is drained for the same time.
     */
    private static final String DRAIN_PROPERTY = "io.undertow.max-drain-time";

    private static final String DRAIN_MILLIS = "150";

    static {
        if (System.getProperty(DRAIN_PROPERTY) == null) {
            System.setProperty(DRAIN_PROPERTY, DRAIN_MILLIS);
        }
    }

    private static final int BUFFER_BYTES = 16 * 1024;
    /** An endpoint accepts a few hundred connections from all entries together. */
    private static final int MOST_IDLE_PER_ADDRESS = 6;

    private final XnioWorker worker;
    private final boolean ownsWorker;
    private final ByteBufferPool buffers;
    private final Optional<XnioSsl> tls;
    private final Map<XnioIoThread, Map<NetworkAddress, ArrayDeque<Idle>>> idle = new ConcurrentHashMap<>();

    private HttpClient(XnioWorker worker, boolean ownsWorker, Optional<XnioSsl> tls) {
        this.worker = worker;
        this.ownsWorker = ownsWorker;
        this.tls = tls;
        this.buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    }

    /** A caller with I/O threads of its own; {@link #stop} ends them. */
    public static HttpClient start(int ioThreads) throws IOException {
        return new HttpClient(makeWorker(ioThreads), true, Optional.empty());
    }

    /** A caller as by {@link #start(int)} that speaks TLS to every address. */
    public static HttpClient start(int ioThreads, SSLContext tls) throws IOException {
        XnioSsl ssl = new UndertowXnioSsl(Xnio.getInstance(), OptionMap.EMPTY, tls);
        return new HttpClient(makeWorker(ioThreads), true, Optional.of(ssl));
    }

    private static XnioWorker makeWorker(int ioThreads) throws IOException {
        OptionMap options = OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, ioThreads)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.THREAD_DAEMON, true)
                .set(Options.TCP_NODELAY, true)
                .getMap();
        return Xnio.getInstance().createWorker(options);
    }

    /** A caller on the I/O threads of a server, so that a request and its answer share one thread. */
    public static HttpClient on(XnioWorker worker) {
        return new HttpClient(worker, false, Optional.empty());
    }

    /** A caller on the I/O threads of a server, for other servers that speak TLS. */
    public static HttpClient on(XnioWorker worker, SSLContext tls) {
        XnioSsl ssl = new UndertowXnioSsl(Xnio.getInstance(), OptionMap.EMPTY, tls);
        return new HttpClient(worker, false, Optional.of(ssl));
    }

    /** Closes idle connections and ends own threads. */
    public void stop() {
        idle.forEach((thread, byAddress) ->
                thread.execute(() -> byAddress.values().forEach(connections -> connections.forEach(Idle::close))));
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

    /** Sends the request and gives the whole answer; the future fails with an IOException. */
    public CompletableFuture<HttpResponse> send(HttpQuery query) {
        CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
        stream(query, worker.getIoThread(ThreadLocalRandom.current().nextInt()), new WholeAnswer(answer));
        return answer;
    }

    /** Sends the request from an I/O thread of this caller's worker; the listener is called on that thread. */
    public HttpCall stream(HttpQuery query, XnioIoThread thread, HttpStreamListener listener) {
        HttpCall call = new HttpCall(this, query, thread, listener);
        if (Thread.currentThread() == thread) {
            call.begin();
        } else {
            thread.execute(call::begin);
        }
        return call;
    }

    /** Whether a new connection to the address comes about within its timeout; nothing is sent over it. */
    public CompletableFuture<Boolean> connects(NetworkAddress address, XnioIoThread thread) {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        HttpQuery query = HttpQuery.get(address, "/").overFreshConnection();
        thread.execute(() -> connect(query, thread, new ClientCallback<>() {
            @Override
            public void completed(ClientConnection connected) {
                HttpCall.close(connected);
                result.complete(true);
            }

            @Override
            public void failed(IOException cause) {
                result.complete(false);
            }
        }));
        return result.completeOnTimeout(false, query.connectTimeout().toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Closes the kept connections to an address: one of them fell silent, so the others are not to be trusted. */
    void forgetKept(NetworkAddress address, XnioIoThread thread) {
        ArrayDeque<Idle> connections = connectionsOf(address, thread);
        connections.forEach(Idle::close);
        connections.clear();
    }

    void connect(HttpQuery query, XnioIoThread thread, ClientCallback<ClientConnection> callback) {
        ClientConnection kept = query.freshConnection() ? null : takeIdle(query.address(), thread);
        if (kept != null) {
            callback.completed(kept);
            return;
        }
        OptionMap options = OptionMap.create(Options.TCP_NODELAY, true);
        if (tls.isPresent()) {
            URI uri = URI.create("https://" + query.address());
            UndertowClient.getInstance().connect(callback, uri, thread, tls.get(), buffers, options);
        } else {
            URI uri = URI.create("http://" + query.address());
            UndertowClient.getInstance().connect(callback, uri, thread, buffers, options);
        }
    }

    /** A kept connection and until when it may be used again, monotonic. */
    private record Idle(ClientConnection connection, long untilNanos) {
        private void close() {
            HttpCall.close(connection);
        }

        private boolean isUsable() {
            return connection.isOpen() && System.nanoTime() - untilNanos < 0;
        }
    }

    void giveBack(NetworkAddress address, XnioIoThread thread, ClientConnection connection, Duration idleLimit) {
        ArrayDeque<Idle> connections = connectionsOf(address, thread);
        boolean keeps = connection.isOpen() && idleLimit.compareTo(Duration.ZERO) > 0;
        if (keeps && connections.size() < MOST_IDLE_PER_ADDRESS) {
            connections.addLast(new Idle(connection, System.nanoTime() + idleLimit.toNanos()));
        } else {
            HttpCall.close(connection);
        }
    }

    private ClientConnection takeIdle(NetworkAddress address, XnioIoThread thread) {
        ArrayDeque<Idle> connections = connectionsOf(address, thread);
        for (Idle next = connections.pollLast(); next != null; next = connections.pollLast()) {
            if (next.isUsable()) {
                return next.connection();
            }
            next.close();
        }
        return null;
    }

    private ArrayDeque<Idle> connectionsOf(NetworkAddress address, XnioIoThread thread) {
        return idle.computeIfAbsent(thread, key -> new ConcurrentHashMap<>())
                .computeIfAbsent(address, key -> new ArrayDeque<>());
    }

    private static final class WholeAnswer implements HttpStreamListener {
        private final CompletableFuture<HttpResponse> answer;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private io.undertow.util.HeaderMap headers;

        private WholeAnswer(CompletableFuture<HttpResponse> answer) {
            this.answer = answer;
        }

        @Override
        public void onHead(int answeredStatus, io.undertow.util.HeaderMap answeredHeaders) {
            status = answeredStatus;
            headers = answeredHeaders;
        }

        @Override
        public void onBytes(ByteBuffer bytes) {
            while (bytes.hasRemaining()) {
                body.write(bytes.get());
            }
        }

        @Override
        public void onEnd() {
            answer.complete(new HttpResponse(status, headers, body.toByteArray()));
        }

        @Override
        public void onFailure(Phase phase, boolean silent, IOException cause) {
            answer.completeExceptionally(cause);
        }
    }
}
