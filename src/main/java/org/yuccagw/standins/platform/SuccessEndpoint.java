package org.yuccagw.standins.platform;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.net.InetSocketAddress;
import org.yuccagw.core.id.NetworkAddress;

/**
 * An endpoint on loopback that answers every request at once with success: below {@link SmallDeployment#PROMPTS} with a
 * stream of two events, elsewhere with a short body.
 */
public final class SuccessEndpoint {
    private static final HttpString REQUEST_ID = new HttpString("Yuccagw-Request-Id");
    private static final HttpString SEAL = new HttpString("Yuccagw-Response-Seal");
    private static final String EVENTS = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

    private final Undertow server;

    private SuccessEndpoint() {
        server = Undertow.builder()
                .addHttpListener(0, "127.0.0.1")
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setHandler(SuccessEndpoint::answer)
                .build();
        server.start();
    }

    public static SuccessEndpoint start() {
        return new SuccessEndpoint();
    }

    public NetworkAddress address() {
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return NetworkAddress.of("127.0.0.1", bound.getPort());
    }

    public void stop() {
        server.stop();
    }

    private static void answer(HttpServerExchange exchange) {
        String request = exchange.getRequestHeaders().getFirst(REQUEST_ID);
        exchange.getResponseHeaders().put(REQUEST_ID, request == null ? "" : request);
        exchange.getResponseHeaders().put(SEAL, "seal");
        if (exchange.getRequestPath().startsWith(SmallDeployment.PROMPTS)) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
            exchange.getResponseSender().send(EVENTS);
        } else {
            exchange.getResponseSender().send("body");
        }
    }
}
