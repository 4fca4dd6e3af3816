package org.yuccagw.adapters.admin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.SameThreadExecutor;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import javax.net.ssl.SSLContext;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.yuccagw.adapters.http.BoundedJson;
import org.yuccagw.adapters.http.ErrorAnswers;
import org.yuccagw.adapters.settings.EntrySettings;
import org.yuccagw.adapters.telemetry.Metrics;
import org.yuccagw.adapters.telemetry.TracedHop;
import org.yuccagw.adapters.telemetry.Traces;
import org.yuccagw.core.cache.StoresRequested;
import org.yuccagw.core.control.ControlInput;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;

/**
 * Serves the HTTP API of the admin address: calls of operators under {@code /admin/}, which need a bearer key, and
 * {@code /healthz}, {@code /readyz} and {@code /metrics}, which need no authentication.
 *
 * <p>The server is stateless: queries are answered from the current snapshot, and changes are sent to the control core
 * as events.
 */
public final class AdminServer {
    private static final Logger log = LogManager.getLogger(AdminServer.class);
    private static final ObjectMapper MAPPER = BoundedJson.mapper();
    private static final String METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";
    private static final int MAX_BODY_BYTES = 2 * 1024 * 1024;
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int HEADER_TIMEOUT_MILLIS = 10_000;
    private static final int IDLE_TIMEOUT_MILLIS = 60_000;
    private static final int STATUS_UNAVAILABLE = 503;

    private final Supplier<ControlSnapshot> snapshots;
    private final ControlInput input;
    private final Metrics metrics;
    private final Traces traces;
    private final Runnable drain;
    private final SnapshotViews views;
    private final OperatorAuthenticator authenticator;
    private final Undertow server;

    private AdminServer(
            EntrySettings settings,
            Optional<SSLContext> tls,
            Supplier<ControlSnapshot> snapshots,
            ControlInput input,
            Metrics metrics,
            Traces traces,
            Runnable drain) {
        this.drain = drain;
        this.snapshots = snapshots;
        this.input = input;
        this.metrics = metrics;
        this.traces = traces;
        this.views = SnapshotViews.of(settings.entry());
        this.authenticator = OperatorAuthenticator.of(settings.bootstrapOperatorKeyHash());
        this.server = buildServer(settings, tls);
    }

    /**
     * Starts a server that listens on the admin address.
     *
     * @param tls TLS context of the address, empty for plain text
     * @param snapshots returns the current snapshot of the control core
     * @param drain starts a graceful stop of this entry and returns immediately
     */
    public static AdminServer start(
            EntrySettings settings,
            Optional<SSLContext> tls,
            Supplier<ControlSnapshot> snapshots,
            ControlInput input,
            Metrics metrics,
            Traces traces,
            Runnable drain) {
        AdminServer admin = new AdminServer(settings, tls, snapshots, input, metrics, traces, drain);
        admin.server.start();
        return admin;
    }

    public void stop() {
        server.stop();
    }

    private Undertow buildServer(EntrySettings settings, Optional<SSLContext> tls) {
        Undertow.Builder builder = Undertow.builder()
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) MAX_BODY_BYTES)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEADER_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .setSocketOption(org.xnio.Options.READ_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .setHandler(routes());
        String host = settings.admin().host();
        int port = settings.admin().port();
        if (tls.isPresent()) {
            builder.addHttpsListener(port, host, tls.get());
        } else {
            builder.addHttpListener(port, host);
        }
        return builder.build();
    }

    private HttpHandler routes() {
        CatalogueHandlers catalogue = CatalogueHandlers.of(snapshots, input);
        RoutingHandler routes = Handlers.routing();
        routes.get("/healthz", exchange -> exchange.getResponseSender().send("ok\n"));
        routes.get("/readyz", this::readiness);
        routes.get("/metrics", this::exposition);
        routes.get("/admin/catalogue", authenticated(catalogue::get));
        routes.put("/admin/catalogue", authenticated(catalogue::put));
        routes.get("/admin/history", authenticated(catalogue::history));
        routes.get("/admin/status", authenticated(view(views::status)));
        routes.get("/admin/endpoints", authenticated(view(views::endpoints)));
        routes.get("/admin/stores", authenticated(this::stores));
        routes.get("/admin/shards", authenticated(view(views::shards)));
        routes.post("/admin/drain", authenticated(this::drain));
        routes.get("/admin/trace/{request}", authenticated(this::trace));
        routes.setFallbackHandler(
                exchange -> ErrorAnswers.send(exchange, ErrorKind.UNKNOWN_PATH.raise(exchange.getRequestPath())));
        routes.setInvalidMethodHandler(exchange -> ErrorAnswers.send(
                exchange,
                ErrorKind.METHOD_NOT_ALLOWED.raise(exchange.getRequestPath(), "the method of its documentation")));
        return routes;
    }

    /** Handles a call of an authenticated operator. */
    @FunctionalInterface
    private interface OperatorHandler {
        void handle(AdminCall call) throws YuccagwException;
    }

    private OperatorHandler view(Function<ControlSnapshot, ObjectNode> view) {
        return call -> call.reply(view.apply(snapshots.get()));
    }

    private HttpHandler authenticated(OperatorHandler handler) {
        return exchange -> {
            try {
                String operator = authenticator.authenticate(
                        exchange.getRequestHeaders(), SnapshotViews.catalogue(snapshots.get()));
                exchange.getRequestReceiver()
                        .receiveFullBytes(
                                (received, body) -> handle(AdminCall.of(received, body, operator), received, handler),
                                (failed, cause) -> ErrorAnswers.send(
                                        failed, ErrorKind.BODY_TOO_LARGE.raise(Integer.toString(MAX_BODY_BYTES))));
            } catch (YuccagwException error) {
                ErrorAnswers.send(exchange, error);
            }
        };
    }

    /** Dispatches the call, so that the exchange stays open until the control core replies. */
    private static void handle(AdminCall call, HttpServerExchange exchange, OperatorHandler handler) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            try {
                handler.handle(call);
            } catch (YuccagwException error) {
                call.replyError(error);
            } catch (RuntimeException e) {
                // A bug in the handler of one call must not affect other calls, and the operator must receive an
                // answer.
                log.error("admin call {} failed", exchange.getRequestPath(), e);
                call.replyError(ErrorKind.INTERNAL.raise(e.getClass().getSimpleName()));
            }
        });
    }

    private void readiness(HttpServerExchange exchange) {
        ControlSnapshot snapshot = snapshots.get();
        if (!SnapshotViews.isReady(snapshot) || !input.isProgressing()) {
            exchange.setStatusCode(STATUS_UNAVAILABLE);
        }
        exchange.getResponseHeaders().put(io.undertow.util.Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(views.readiness(snapshot) + "\n");
    }

    private void exposition(HttpServerExchange exchange) {
        exchange.getResponseHeaders().put(io.undertow.util.Headers.CONTENT_TYPE, METRICS_CONTENT_TYPE);
        exchange.getResponseSender().send(java.nio.ByteBuffer.wrap(metrics.exposition()));
    }

    private void stores(AdminCall call) {
        input.offer(new StoresRequested(statuses -> call.reply(views.stores(statuses))));
    }

    private void drain(AdminCall call) {
        log.info("operator {} requested a graceful stop", call.operator());
        drain.run();
        call.reply(MAPPER.createObjectNode().put("draining", true));
    }

    private void trace(AdminCall call) throws YuccagwException {
        String request = call.parameter("request").orElse("");
        List<TracedHop> hops = traces.find(request);
        if (hops.isEmpty()) {
            throw ErrorKind.UNKNOWN_ITEM.raise("recent request", request);
        }
        ObjectNode root = MAPPER.createObjectNode().put("request", request);
        root.set("hops", MAPPER.valueToTree(hops));
        call.reply(root);
    }
}
