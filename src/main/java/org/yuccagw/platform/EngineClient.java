package org.yuccagw.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.adapters.http.JsonText;
import org.yuccagw.core.control.ActionHandler;
import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.control.ControlInput;
import org.yuccagw.core.duty.EngineAnswer;
import org.yuccagw.core.duty.EngineAnswer.Outcome;
import org.yuccagw.core.duty.EngineCall;
import org.yuccagw.core.duty.EngineState;
import org.yuccagw.core.id.EntryId;

/**
 * Asks engines for their state and orders them to load weights.
 *
 * <p>The time of the lease is looked at on the I/O thread as the last thing before an order leaves: a process that
 * stood still between the decision and the sending must not order beside the next holder.
 */
public final class EngineClient implements ActionHandler {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(900);
    /** Running requests go on with the newer weights. */
    private static final String UNDER_RUNNING_REQUESTS = "retain";

    private final HttpClient caller;
    private final EntryId self;
    private final LongSupplier nanoTime;

    private EngineClient(HttpClient caller, EntryId self, LongSupplier nanoTime) {
        this.caller = caller;
        this.self = self;
        this.nanoTime = nanoTime;
    }

    public static EngineClient of(HttpClient caller, EntryId self, LongSupplier nanoTime) {
        return new EngineClient(caller, self, nanoTime);
    }

    @Override
    public boolean perform(ControlAction action, ControlInput input) {
        if (action instanceof EngineCall.AskState ask) {
            askState(ask, input);
            return true;
        }
        if (action instanceof EngineCall.OrderWeights order) {
            order(order, input);
            return true;
        }
        return false;
    }

    private void askState(EngineCall.AskState ask, ControlInput input) {
        HttpQuery query = to(ask, HttpQuery.get(ask.endpoint().address(), PlatformNames.REPORT_PATH));
        caller.send(query).whenComplete((answer, failure) -> {
            hearNotice(ask, answer, input);
            Optional<EngineState> state = failure == null ? readState(answer) : Optional.empty();
            input.offer(new EngineAnswer.Told(ask.endpoint().incarnation(), state));
        });
    }

    private static Optional<EngineState> readState(HttpResponse answer) {
        if (!answer.isSuccess()) {
            return Optional.empty();
        }
        try {
            return Optional.of(EndpointReader.readState(JsonText.read(answer.body())));
        } catch (IOException | IllegalArgumentException ignored) {
            // Whatever answered there is no engine; the state stays unknown, which is logged, and is asked again.
            return Optional.empty();
        }
    }

    private void order(EngineCall.OrderWeights order, ControlInput input) {
        caller.worker().getIoThread().execute(() -> {
            if (nanoTime.getAsLong() - order.heldUntilNanos() >= 0) {
                input.offer(new EngineAnswer.Ordered(order.endpoint().incarnation(), Outcome.NOT_SENT));
                return;
            }
            caller.send(orderQuery(order)).whenComplete((answer, failure) -> {
                hearNotice(order, answer, input);
                input.offer(new EngineAnswer.Ordered(
                        order.endpoint().incarnation(), failure == null ? outcome(answer.status()) : Outcome.UNKNOWN));
            });
        });
    }

    private static void hearNotice(EngineCall call, HttpResponse answer, ControlInput input) {
        if (answer != null) {
            EndpointNoticeReader.heard(call.endpoint().incarnation(), answer).ifPresent(input::offer);
        }
    }

    private HttpQuery orderQuery(EngineCall.OrderWeights order) {
        ObjectNode body = JsonText.object()
                .put("op", "version")
                .put("model", order.weights().model())
                .put("version", order.weights().version())
                .put("mode", UNDER_RUNNING_REQUESTS)
                .put("holder", self.value())
                .put("fence", order.fence())
                .put("expected", order.expectedOrders());
        HttpQuery query =
                HttpQuery.json("POST", order.endpoint().address(), PlatformNames.ORDER_PATH, JsonText.write(body));
        return to(order, query);
    }

    private static HttpQuery to(EngineCall call, HttpQuery query) {
        return query.withHeader(
                        PlatformNames.EXPECT_ENDPOINT, call.endpoint().id().value())
                .withTimeouts(CONNECT_TIMEOUT, SILENCE_TIMEOUT)
                .overFreshConnection();
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
