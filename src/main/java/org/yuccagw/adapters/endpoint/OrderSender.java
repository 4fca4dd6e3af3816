package org.yuccagw.adapters.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;
import org.xnio.XnioIoThread;
import org.yuccagw.adapters.http.BoundedJson;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.http.HttpResponseListener.Phase;
import org.yuccagw.adapters.http.ResponseCollector;
import org.yuccagw.core.control.ActionHandler;
import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.control.ControlInput;
import org.yuccagw.core.swap.OrderEnded;
import org.yuccagw.core.swap.OrderEnded.Outcome;
import org.yuccagw.core.swap.OrderEndpoint;

/**
 * Sends orders to endpoints.
 *
 * <p>Guards against orders of an owner whose process was suspended past the end of its lease. Such an order would reach
 * an endpoint together with those of the next owner, and an endpoint that ignores fencing numbers would execute both.
 * The lease is therefore checked on the I/O thread immediately before the order is sent. A suspension between this
 * check and the network is still possible; for this case the next owner waits for the maximum lifetime of an order
 * before it sends its own.
 */
public final class OrderSender implements ActionHandler {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(2);
    private static final int CONFLICT_STATUS = 409;
    private static final int FIRST_SERVER_ERROR_STATUS = 500;
    private static final ObjectMapper JSON = BoundedJson.mapper();

    private final HttpClient httpClient;
    private final LongSupplier monotonicNanos;

    private OrderSender(HttpClient httpClient, LongSupplier monotonicNanos) {
        this.httpClient = httpClient;
        this.monotonicNanos = monotonicNanos;
    }

    /**
     * Returns a sender that uses the clock of the control core.
     *
     * @param monotonicNanos monotonic clock of the control core, in nanoseconds
     */
    public static OrderSender of(HttpClient httpClient, LongSupplier monotonicNanos) {
        return new OrderSender(httpClient, monotonicNanos);
    }

    @Override
    public boolean perform(ControlAction action, ControlInput input) {
        if (!(action instanceof OrderEndpoint order)) {
            return false;
        }
        XnioIoThread thread =
                httpClient.worker().getIoThread(ThreadLocalRandom.current().nextInt());
        thread.execute(() -> send(order, thread, input));
        return true;
    }

    private void send(OrderEndpoint order, XnioIoThread thread, ControlInput input) {
        HttpRequest httpRequest = HttpRequest.json("POST", order.address(), "/v1/orders", body(order))
                .withTimeouts(CONNECT_TIMEOUT, SILENCE_TIMEOUT);
        if (monotonicNanos.getAsLong() - order.authorityEndsNanos() >= 0) {
            input.offer(ended(order, Outcome.NOT_SENT));
            return;
        }
        httpClient.stream(
                httpRequest,
                thread,
                ResponseCollector.of(
                        response -> input.offer(ended(order, outcome(response))),
                        (phase, cause) ->
                                input.offer(ended(order, phase == Phase.CONNECT ? Outcome.NOT_SENT : Outcome.LOST))));
    }

    private static String body(OrderEndpoint order) {
        ObjectNode body = JSON.createObjectNode()
                .put("order", order.kind().name().toLowerCase(Locale.ROOT))
                .put("value", order.value())
                .put("fencing", order.fencing());
        order.weightStore().ifPresent(address -> body.put("weight_store", address.toString()));
        return body.toString();
    }

    private static Outcome outcome(HttpResponse response) {
        if (response.isSuccess()) {
            return Outcome.ACCEPTED;
        }
        if (response.status() >= FIRST_SERVER_ERROR_STATUS) {
            return Outcome.LOST;
        }
        if (response.status() != CONFLICT_STATUS) {
            return Outcome.REFUSED;
        }
        return switch (errorCode(response)) {
            case "stale_fencing" -> Outcome.STALE_FENCING;
            case "busy" -> Outcome.BUSY;
            default -> Outcome.REFUSED;
        };
    }

    private static String errorCode(HttpResponse response) {
        try {
            JsonNode answer = JSON.readTree(response.body());
            return answer.path("error").path("code").asText("");
        } catch (IOException e) {
            return "";
        }
    }

    private static OrderEnded ended(OrderEndpoint order, Outcome outcome) {
        return new OrderEnded(order.endpoint(), order.kind(), order.fencing(), outcome);
    }
}
