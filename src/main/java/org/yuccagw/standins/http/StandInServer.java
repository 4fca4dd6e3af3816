package org.yuccagw.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.RoutingHandler;
import io.undertow.server.ServerConnection;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.yuccagw.core.id.NetworkAddress;

/**
 * The HTTP server of a stand-in, on the loopback interface, with one I/O thread and one timer thread.
 *
 * <p>It listens at two addresses. The service address serves the protocol of the stand-in and is subject to the
 * injected faults; {@link #kill} closes it with all its connections, as a crash of the process would. The control
 * address stays open after that: tests read {@code GET /record} and inject faults by {@code POST /knobs} there. Both
 * paths work at the service address too, whatever faults are injected.
 */
public final class StandInServer {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int NOT_FOUND = 404;

    private final String name;
    private final RoutingHandler serviceRoutes = Handlers.routing();
    private final RoutingHandler controlRoutes = Handlers.routing();
    private final Map<String, LongAdder> callCounters = new ConcurrentHashMap<>();
    private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService timer;
    private final XnioWorker worker;
    private volatile ServiceFaults faults = ServiceFaults.none();
    private Supplier<ObjectNode> recordSupplier = StandInJson::object;
    private Consumer<JsonNode> knobsConsumer = ignored -> {};
    private Undertow serviceServer;
    private Undertow controlServer;

    private StandInServer(String name) throws IOException {
        this.name = name;
        this.timer = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, name + " timer");
            thread.setDaemon(true);
            return thread;
        });
        this.worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_NAME, name)
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
        controlRoutes.get("/record", receiveBody(call -> call.reply(fullRecord())));
        controlRoutes.post("/knobs", receiveBody(this::applyKnobs));
        controlRoutes.setFallbackHandler(receiveBody(call -> call.replyError(NOT_FOUND, "not_found", "unknown path")));
        serviceRoutes.get("/record", receiveBody(call -> call.reply(fullRecord())));
        serviceRoutes.post("/knobs", receiveBody(this::applyKnobs));
        serviceRoutes.setFallbackHandler(receiveBody(call -> call.replyError(NOT_FOUND, "not_found", "unknown path")));
    }

    /** Creates a server that doesn't listen yet. */
    public static StandInServer create(String name) {
        try {
            return new StandInServer(name);
        } catch (IOException e) {
            throw new UncheckedIOException("failed to create the I/O threads of " + name, e);
        }
    }

    /**
     * Registers a handler for a method and a path template such as {@code /v1/leases/{lease}}. The handler must not
     * block.
     */
    public StandInServer on(String method, String path, Consumer<StandInCall> handler) {
        serviceRoutes.add(method, path, receiveBody(withFaults(method + " " + path, handler)));
        return this;
    }

    /** Registers a handler for all methods and paths that have no handler of their own. */
    public StandInServer onOtherPaths(Consumer<StandInCall> handler) {
        HttpHandler fallback = receiveBody(withFaults("*", handler));
        serviceRoutes.setFallbackHandler(fallback);
        serviceRoutes.setInvalidMethodHandler(fallback);
        return this;
    }

    /** Sets the supplier of the fields of {@code GET /record}, to which the name and the call counts are added. */
    public StandInServer withRecord(Supplier<ObjectNode> supplier) {
        recordSupplier = supplier;
        return this;
    }

    /** Sets the consumer of {@code POST /knobs}, for the fields other than those of {@link ServiceFaults}. */
    public StandInServer withKnobs(Consumer<JsonNode> consumer) {
        knobsConsumer = consumer;
        return this;
    }

    /** Starts listening on the loopback interface; port 0 selects a free one. */
    public StandInServer listen(int port) {
        serviceServer = listen(port, trackConnections(serviceRoutes));
        controlServer = listen(0, controlRoutes);
        return this;
    }

    public NetworkAddress address() {
        return addressOf(serviceServer);
    }

    public NetworkAddress controlAddress() {
        return addressOf(controlServer);
    }

    public ScheduledExecutorService timer() {
        return timer;
    }

    public XnioWorker worker() {
        return worker;
    }

    /** Replaces the injected faults. */
    public void injectFaults(ServiceFaults newFaults) {
        faults = newFaults;
    }

    /** Returns the number of calls since the start by method and path template. */
    public Map<String, Long> callCounts() {
        Map<String, Long> counts = new TreeMap<>();
        callCounters.forEach((call, count) -> counts.put(call, count.sum()));
        return counts;
    }

    /**
     * Simulates a crash: closes the listener and all connections of the service address. The control address stays
     * open.
     */
    public void kill() {
        serviceServer.stop();
        connections.forEach(IoUtils::safeClose);
    }

    public void stop() {
        kill();
        controlServer.stop();
        timer.shutdownNow();
        worker.shutdownNow();
    }

    private Undertow listen(int port, HttpHandler handler) {
        Undertow server = Undertow.builder()
                .setWorker(worker)
                .addHttpListener(port, LOOPBACK)
                .setHandler(handler)
                .build();
        server.start();
        return server;
    }

    private static NetworkAddress addressOf(Undertow server) {
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return NetworkAddress.of(LOOPBACK, bound.getPort());
    }

    private HttpHandler trackConnections(HttpHandler handler) {
        return exchange -> {
            ServerConnection connection = exchange.getConnection();
            if (connections.add(connection)) {
                connection.addCloseListener(connections::remove);
            }
            handler.handleRequest(exchange);
        };
    }

    private HttpHandler receiveBody(Consumer<StandInCall> handler) {
        return exchange -> exchange.getRequestReceiver().receiveFullBytes((received, body) -> {
            StandInCall call = new StandInCall(received, body);
            // Dispatching keeps the exchange open after the handler returns, so that it can be answered later.
            received.dispatch(SameThreadExecutor.INSTANCE, () -> call.handle(handler));
        });
    }

    private Consumer<StandInCall> withFaults(String label, Consumer<StandInCall> handler) {
        return call -> {
            callCounters.computeIfAbsent(label, key -> new LongAdder()).increment();
            ServiceFaults current = faults;
            if (current.down()) {
                call.closeConnection();
            } else if (!current.silent()) {
                handleAfter(current.delayMillis(), call, handler);
            }
        };
    }

    private void handleAfter(long delayMillis, StandInCall call, Consumer<StandInCall> handler) {
        if (delayMillis <= 0) {
            handler.accept(call);
            return;
        }
        timer.schedule(() -> call.onIoThread(() -> call.handle(handler)), delayMillis, TimeUnit.MILLISECONDS);
    }

    private ObjectNode fullRecord() {
        ObjectNode full = recordSupplier.get();
        full.put("name", name);
        full.set("calls", StandInJson.tree(callCounts()));
        return full;
    }

    private void applyKnobs(StandInCall call) {
        JsonNode requested = call.json();
        faults = faults.with(requested);
        knobsConsumer.accept(requested);
        call.reply(StandInJson.object());
    }
}
