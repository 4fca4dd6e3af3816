package org.yuccagw.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.http.JsonText;
import org.yuccagw.adapters.http.UntrustedInput;
import org.yuccagw.core.control.ActionHandler;
import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.control.ControlInput;
import org.yuccagw.core.duty.EngineAnswer;
import org.yuccagw.core.duty.EngineAnswer.Outcome;
import org.yuccagw.core.duty.EngineCall;
import org.yuccagw.core.duty.EngineState;
import org.yuccagw.core.id.EntryId;

/**
 * HTTP client of the engines: requests their state and orders them to load weights.
 *
 * <p>The end of the lease is checked on the I/O thread immediately before an order is sent. A process that was
 * suspended between the decision and the sending must not send orders concurrently with the next holder of the lease.
 */
public final class EngineClient implements ActionHandler {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration READ_TIMEOUT = Duration.ofMillis(900);
    /** Load mode in which running requests continue with the newer weights. */
    private static final String RETAIN_RUNNING_REQUESTS = "retain";

    private final HttpClient httpClient;
    private final EntryId self;
    private final LongSupplier nanoTime;

    private EngineClient(HttpClient httpClient, EntryId self, LongSupplier nanoTime) {
        this.httpClient = httpClient;
        this.self = self;
        this.nanoTime = nanoTime;
    }

    public static EngineClient of(HttpClient httpClient, EntryId self, LongSupplier nanoTime) {
        return new EngineClient(httpClient, self, nanoTime);
    }

    @Override
    public boolean perform(ControlAction action, ControlInput input) {
        if (action instanceof EngineCall.QueryState call) {
            requestState(call, input);
            return true;
        }
        if (action instanceof EngineCall.OrderWeights order) {
            orderWeights(order, input);
            return true;
        }
        return false;
    }

    private void requestState(EngineCall.QueryState call, ControlInput input) {
        HttpRequest request =
                prepareRequest(call, HttpRequest.get(call.endpoint().address(), PlatformNames.REPORT_PATH));
        httpClient.send(request).whenComplete((answer, failure) -> {
            offerNotice(call, answer, input);
            Optional<EngineState> state = failure == null ? readState(answer) : Optional.empty();
            input.offer(new EngineAnswer.StateReported(call.endpoint().incarnation(), state));
        });
    }

    private static Optional<EngineState> readState(HttpResponse answer) {
        if (!answer.isSuccess()) {
            return Optional.empty();
        }
        try {
            return Optional.of(UntrustedInput.read(() -> EndpointReader.readState(JsonText.read(answer.body()))));
        } catch (IOException ignored) {
            // The answer is not an engine's report. The state stays unknown, which is logged, and is requested again.
            return Optional.empty();
        }
    }

    private void orderWeights(EngineCall.OrderWeights order, ControlInput input) {
        httpClient.worker().getIoThread().execute(() -> {
            if (nanoTime.getAsLong() - order.leaseExpiryNanos() >= 0) {
                input.offer(new EngineAnswer.OrderAnswered(order.endpoint().incarnation(), Outcome.NOT_SENT));
                return;
            }
            httpClient.send(orderRequest(order)).whenComplete((answer, failure) -> {
                offerNotice(order, answer, input);
                input.offer(new EngineAnswer.OrderAnswered(
                        order.endpoint().incarnation(), failure == null ? outcome(answer.status()) : Outcome.UNKNOWN));
            });
        });
    }

    private static void offerNotice(EngineCall call, HttpResponse answer, ControlInput input) {
        if (answer != null) {
            EndpointNoticeReader.readCallAnswer(call.endpoint().incarnation(), answer)
                    .ifPresent(input::offer);
        }
    }

    private HttpRequest orderRequest(EngineCall.OrderWeights order) {
        ObjectNode body = JsonText.object()
                .put("op", "version")
                .put("model", order.weights().model())
                .put("version", order.weights().version())
                .put("mode", RETAIN_RUNNING_REQUESTS)
                .put("holder", self.value())
                .put("fence", order.fence())
                .put("expected", order.expectedOrders());
        HttpRequest request =
                HttpRequest.json("POST", order.endpoint().address(), PlatformNames.ORDER_PATH, JsonText.write(body));
        return prepareRequest(order, request);
    }

    private static HttpRequest prepareRequest(EngineCall call, HttpRequest request) {
        return request.withHeader(
                        PlatformNames.EXPECT_ENDPOINT, call.endpoint().id().value())
                .withTimeouts(CONNECT_TIMEOUT, READ_TIMEOUT)
                .withNewConnection();
    }

    private static Outcome outcome(int status) {
        return switch (status) {
            case 202 -> Outcome.ACCEPTED;
            case 200 -> Outcome.HOLDS_ALREADY;
            case 409 -> Outcome.CONFLICT;
            case 412 -> Outcome.FENCED;
            case 421 -> Outcome.GONE;
            default -> Outcome.UNKNOWN;
        };
    }
}
