package org.yuccagw.adapters.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.yuccagw.adapters.caller.CallerResponse;
import org.yuccagw.adapters.http.DisconnectDetector;
import org.yuccagw.adapters.http.HttpCall;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponseListener;
import org.yuccagw.core.port.BodyEnd;
import org.yuccagw.core.relay.DirectPaths;
import org.yuccagw.core.relay.RelayOutcome;

/**
 * One request that this entry relays. If the other entry closes its connection, the request is cancelled at the
 * endpoint.
 */
final class RelayRun implements HttpResponseListener, CallerResponse.FlowControl {
    static final Duration CONNECT_TIMEOUT = Duration.ofMillis(150);

    private final DirectPaths paths;
    private final HttpServerExchange exchange;
    private final RelayProtocol.Order order;
    private final CallerResponse response;
    private HttpCall call;
    private BodyEnd bodyEnd;

    private RelayRun(DirectPaths paths, HttpServerExchange exchange, RelayProtocol.Order order) {
        this.paths = paths;
        this.exchange = exchange;
        this.order = order;
        this.response = new CallerResponse(exchange, this);
    }

    /** Sends the request to its endpoint, on the I/O thread of the exchange. */
    static void begin(
            HttpClient endpointClient,
            DirectPaths paths,
            HttpServerExchange exchange,
            RelayProtocol.Order order,
            byte[] body) {
        RelayRun run = new RelayRun(paths, exchange, order);
        DisconnectDetector.begin(exchange);
        run.call = endpointClient.stream(run.request(body), exchange.getIoThread(), run);
    }

    /** Opens a new connection, since the other entry relies on the outcome of the connection. */
    private HttpRequest request(byte[] body) {
        String query = exchange.getQueryString().isEmpty() ? "" : "?" + exchange.getQueryString();
        return new HttpRequest(
                order.endpoint(),
                exchange.getRequestMethod().toString(),
                exchange.getRequestURI() + query,
                RelayProtocol.endpointHeaders(exchange.getRequestHeaders()),
                body,
                CONNECT_TIMEOUT,
                order.silenceTimeout(),
                true,
                false);
    }

    /** Answers that the request was not answered by its endpoint, and why. */
    static void sendFailure(HttpServerExchange exchange, RelayOutcome outcome) {
        exchange.setStatusCode(StatusCodes.BAD_GATEWAY);
        RelayProtocol.failureHeaders(outcome)
                .forEach(values -> exchange.getResponseHeaders().putAll(values.getHeaderName(), values));
        exchange.endExchange();
    }

    @Override
    public void onNewConnection() {
        paths.recordReached(order.endpoint());
    }

    @Override
    public void onFraming(BodyEnd shownBy) {
        bodyEnd = shownBy;
    }

    @Override
    public void onHead(int status, HeaderMap headers) {
        response.start(status, RelayProtocol.answerHeaders(headers, bodyEnd));
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        response.writeCopy(bytes);
    }

    @Override
    public void onEnd(BodyEnd end) {
        response.end();
    }

    @Override
    public void onFailure(Phase phase, boolean silent, IOException cause) {
        if (phase == Phase.CONNECT) {
            paths.recordUnreached(order.endpoint(), System.nanoTime());
        }
        if (response.isStarted()) {
            response.abort();
        } else if (!response.isFinished()) {
            sendFailure(exchange, outcomeOf(phase, silent));
        }
    }

    private RelayOutcome outcomeOf(Phase phase, boolean silent) {
        if (phase != Phase.CONNECT) {
            return silent ? RelayOutcome.SILENT : RelayOutcome.BROKEN;
        }
        return paths.isCutOff(System.nanoTime()) ? RelayOutcome.CUT_OFF : RelayOutcome.UNREACHED;
    }

    @Override
    public void pause() {
        call.pause();
    }

    @Override
    public void resume() {
        call.resume();
    }

    @Override
    public void callerDisconnected() {
        call.cancel();
    }
}
