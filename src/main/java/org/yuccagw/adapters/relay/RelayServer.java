package org.yuccagw.adapters.relay;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Predicate;
import javax.net.ssl.SSLContext;
import org.xnio.Options;
import org.xnio.SslClientAuthMode;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.yuccagw.adapters.http.BodyReader;
import org.yuccagw.adapters.telemetry.DecisionLog;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.relay.DirectPaths;
import org.yuccagw.core.relay.RelayOutcome;

/**
 * Sends requests of other entries to endpoints that they can't reach. Every decision on a request stays with the entry
 * that received it from its caller; this one only passes bytes on, and never to a further entry.
 *
 * <p>The number of relayed requests and the bytes of their bodies are limited, and so is what is buffered of each
 * answer, so that an entry that relays for many others stays within its memory.
 */
public final class RelayServer {
    private static final int MAX_HEADER_BYTES = 128 * 1024;
    private static final Duration BODY_TIMEOUT = Duration.ofSeconds(5);
    private static final int IDLE_TIMEOUT_MILLIS = 75_000;

    private final EndpointClient endpoints;
    private final Predicate<EntryId> isKnown;
    private final Optional<DecisionLog> decisions;
    private final Undertow server;
    private final BodyReader bodies = BodyReader.of(RelayCapacity.MAX_BODY_BYTES, BODY_TIMEOUT.toMillis());
    private final RelayCapacity capacity = new RelayCapacity();
    private volatile boolean refusing;

    private RelayServer(
            NetworkAddress address,
            XnioWorker worker,
            Optional<SSLContext> tls,
            EndpointClient endpoints,
            Predicate<EntryId> isKnown,
            Optional<DecisionLog> decisions) {
        this.endpoints = endpoints;
        this.isKnown = isKnown;
        this.decisions = decisions;
        Undertow.Builder builder = Undertow.builder()
                .setWorker(worker)
                .setSocketOption(Options.TCP_NODELAY, true)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.DECODE_URL, false)
                .setServerOption(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .setHandler(this::handle);
        if (tls.isPresent()) {
            builder.setSocketOption(Options.SSL_CLIENT_AUTH_MODE, SslClientAuthMode.REQUIRED)
                    .addHttpsListener(address.port(), address.host(), tls.get());
        } else {
            builder.addHttpListener(address.port(), address.host());
        }
        this.server = builder.build();
    }

    /**
     * Starts to relay requests that arrive on the address.
     *
     * @param tls encryption between entries, for which both sides need a certificate; empty for plain text
     * @param endpoints the client of this entry, whose direct paths are used
     * @param isKnown returns whether an entry of this name belongs to the deployment
     */
    public static RelayServer start(
            NetworkAddress address,
            XnioWorker worker,
            Optional<SSLContext> tls,
            EndpointClient endpoints,
            Predicate<EntryId> isKnown,
            Optional<DecisionLog> decisions) {
        RelayServer relayServer = new RelayServer(address, worker, tls, endpoints, isKnown, decisions);
        relayServer.server.start();
        return relayServer;
    }

    /** Refuses new requests from now on. Those in progress continue. */
    public void refuseNewRequests() {
        refusing = true;
    }

    /** Returns the number of relayed requests in progress. */
    public int count() {
        return capacity.requests();
    }

    public void stop() {
        server.stop();
    }

    private void handle(HttpServerExchange exchange) {
        Optional<RelayProtocol.Order> order = RelayProtocol.readOrder(exchange.getRequestHeaders());
        if (order.isEmpty()) {
            exchange.setPersistent(false);
            exchange.setStatusCode(StatusCodes.FORBIDDEN);
            exchange.endExchange();
            return;
        }
        long bodyBytes = Math.max(0, exchange.getRequestContentLength());
        Optional<RelayOutcome> refusal = refusalOf(order.get(), bodyBytes, exchange.getIoThread());
        if (refusal.isPresent()) {
            RelayRun.sendFailure(exchange, refusal.get());
            return;
        }
        capacity.count(exchange, bodyBytes);
        bodies.read(exchange, body -> relay(exchange, order.get(), body));
    }

    private Optional<RelayOutcome> refusalOf(RelayProtocol.Order order, long bodyBytes, XnioIoThread exchangeThread) {
        if (refusing || !capacity.fits(bodyBytes) || !isKnown.test(order.sender())) {
            return Optional.of(RelayOutcome.REFUSED);
        }
        long now = System.nanoTime();
        DirectPaths paths = endpoints.paths();
        DirectPaths.Path path = paths.pathTo(order.endpoint(), now);
        if (path == DirectPaths.Path.DIRECT || path == DirectPaths.Path.DIRECT_UNCERTAIN) {
            return Optional.empty();
        }
        endpoints.probe(order.endpoint(), exchangeThread);
        return Optional.of(paths.isCutOff(now) ? RelayOutcome.CUT_OFF : RelayOutcome.UNREACHED);
    }

    private void relay(HttpServerExchange exchange, RelayProtocol.Order order, byte[] body) {
        decisions.ifPresent(log -> log.write(Decision.of("relaying")
                .with("request", order.label())
                .with("endpoint", order.endpoint())
                .with("sender", order.sender())));
        RelayRun.begin(endpoints.directClient(), endpoints.paths(), exchange, order, body);
    }
}
