package org.yuccagw.adapters.serving;

import com.google.common.collect.ImmutableSet;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.yuccagw.adapters.caller.CallerResponse;
import org.yuccagw.adapters.http.ErrorAnswers;
import org.yuccagw.adapters.http.HttpCall;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.adapters.http.HttpStreamListener;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.forward.EndpointAnswerHead;
import org.yuccagw.core.forward.ForwardEffects;
import org.yuccagw.core.forward.ForwardMachine;
import org.yuccagw.core.forward.ForwardMachine.TimerKind;
import org.yuccagw.core.forward.ForwardRequest;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.notice.NoticeReceived;
import org.yuccagw.core.placing.AttemptBegun;
import org.yuccagw.core.placing.AttemptEnded;
import org.yuccagw.core.placing.AttemptEnded.End;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.placing.PlacementRequest;

/** One request: carries out what its {@link ForwardMachine} asks, on the I/O thread of the caller's connection. */
final class ServingRun implements ForwardEffects, CallerResponse.Flow {
    /** A connection within a failure domain stands within a millisecond, between two within five. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

    private final ServingServices services;
    private final HttpServerExchange exchange;
    private final XnioIoThread thread;
    private final CallerHead head;
    private final ForwardRequest request;
    private final byte[] body;
    private final CallerResponse response;
    private final ForwardMachine machine;
    private final Runnable ended;
    private final DisconnectDetector watch;
    private final long arrivedNanos = System.nanoTime();
    private final Map<TimerKind, XnioExecutor.Key> timers = new EnumMap<>(TimerKind.class);
    private long firstByteNanos;
    private Leg present;
    private boolean held;

    private ServingRun(
            ServingServices services,
            HttpServerExchange exchange,
            CallerHead head,
            ForwardRequest request,
            byte[] body,
            Runnable ended) {
        this.services = services;
        this.exchange = exchange;
        this.thread = exchange.getIoThread();
        this.head = head;
        this.request = request;
        this.body = body;
        this.ended = ended;
        this.response = new CallerResponse(exchange, this);
        this.machine = ForwardMachine.of(request, this);
        this.watch = DisconnectDetector.begin(exchange);
    }

    /** Begins the run of a request that was read whole; {@code ended} runs once it is over. */
    static void begin(
            ServingServices services,
            HttpServerExchange exchange,
            CallerHead head,
            ForwardRequest request,
            byte[] body,
            Runnable ended) {
        ServingRun run = new ServingRun(services, exchange, head, request, body, ended);
        run.machine.begin();
    }

    // ---- Effects of the machine.

    @Override
    public long nowNanos() {
        return System.nanoTime();
    }

    @Override
    public void requestPlacement(
            ImmutableSet<EndpointId> excluded, PlacementRequest.Kind kind, OptionalLong pinned, Duration left) {
        services.control()
                .offer(new PlacementRequest(
                        request.id(),
                        request.route(),
                        request.service(),
                        request.workspace(),
                        request.prompt(),
                        request.fingerprint(),
                        excluded,
                        kind,
                        pinned,
                        left.toMillis(),
                        decision -> thread.execute(() -> onPlaced(decision))));
    }

    private void onPlaced(PlacementDecision decision) {
        watch.look();
        machine.onPlacementDecision(decision);
    }

    @Override
    public void send(long leg, PlacementDecision.Placed placed, Duration left, long afterEvent, boolean fresh) {
        HeaderMap headers = services.dialect().attemptHeaders(head, request.workspace(), placed, left, afterEvent);
        String query = exchange.getQueryString().isEmpty() ? "" : "?" + exchange.getQueryString();
        // Once past its end the machine itself gives the leg up; this only frees what it might forget.
        Duration silence = left.plusSeconds(1);
        HttpQuery sent = new HttpQuery(
                placed.endpoint().address(),
                exchange.getRequestMethod().toString(),
                exchange.getRequestURI() + query,
                headers,
                body,
                CONNECT_TIMEOUT,
                silence,
                fresh);
        present = new Leg(leg, placed.endpoint().id());
        present.call = services.traffic().stream(sent, thread, present);
    }

    @Override
    public void abandon(long leg) {
        if (present != null && present.number == leg && present.call != null) {
            present.call.abandon();
        }
    }

    @Override
    public void pauseReading(long leg) {
        present.call.pause();
        held = true;
    }

    @Override
    public void resumeReading(long leg) {
        held = false;
        present.call.resume();
    }

    @Override
    public void schedule(TimerKind kind, long leg, Duration delay) {
        cancel(kind);
        timers.put(
                kind,
                thread.executeAfter(
                        () -> machine.onTimer(kind, leg), Math.max(1, delay.toMillis()), TimeUnit.MILLISECONDS));
    }

    @Override
    public void answerHead(long leg) {
        HeaderMap headers = services.dialect().answerHeaders(present.headers);
        firstByteNanos = System.nanoTime();
        response.start(present.status, headers);
    }

    @Override
    public void answerBytes(ByteBuffer bytes) {
        response.writeCopy(bytes);
    }

    @Override
    public void answerEnd() {
        response.end();
    }

    @Override
    public void abortAnswer() {
        response.cut();
    }

    @Override
    public void answerError(YuccagwException error) {
        if (!response.isOver()) {
            refuse(exchange, services.dialect(), error);
        }
    }

    /** Answers with an error of ours. */
    static void refuse(HttpServerExchange exchange, WireProtocol dialect, YuccagwException error) {
        exchange.setStatusCode(error.kind().status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        error.retryAfter()
                .ifPresent(wait -> exchange.getResponseHeaders()
                        .put(HttpString.tryFromString("Retry-After"), dialect.retryAfter(wait)));
        exchange.getResponseSender().send(ErrorAnswers.body(error));
    }

    @Override
    public void report(AttemptBegun attempt) {
        services.control().offer(attempt);
    }

    @Override
    public void report(AttemptEnded attempt) {
        services.control().offer(attempt);
    }

    @Override
    public void report(NoticeReceived received) {
        services.control().offer(received);
    }

    @Override
    public void explain(String decision, String detail) {
        services.decisions()
                .write(Decision.of(decision).with("request", request.id()).with("detail", detail));
    }

    @Override
    public void ended(String outcome) {
        timers.keySet().stream().toList().forEach(this::cancel);
        long now = System.nanoTime();
        long firstByteMillis = firstByteNanos == 0 ? -1 : (firstByteNanos - arrivedNanos) / 1_000_000;
        services.decisions()
                .write(Decision.of("ended")
                        .with("request", request.id())
                        .with("route", request.route().name())
                        .with("outcome", outcome)
                        .with("first_byte_ms", firstByteMillis)
                        .with("total_ms", (now - arrivedNanos) / 1_000_000));
        services.metrics()
                .recordRequestEnd(request.service(), request.route().kind().name(), outcome);
        ended.run();
    }

    private void cancel(TimerKind kind) {
        XnioExecutor.Key key = timers.remove(kind);
        if (key != null) {
            key.remove();
        }
    }

    // ---- The caller.

    @Override
    public void pause() {
        if (present != null && present.call != null && !held) {
            present.call.pause();
        }
    }

    @Override
    public void goOn() {
        if (present != null && present.call != null && !held) {
            present.call.resume();
        }
    }

    @Override
    public void callerLeft() {
        machine.onCallerDisconnected();
    }

    /** One attempt on its connection. */
    private final class Leg implements HttpStreamListener {
        private final long number;
        private final EndpointId endpoint;
        private HttpCall call;
        private int status;
        private HeaderMap headers;

        private Leg(long number, EndpointId endpoint) {
            this.number = number;
            this.endpoint = endpoint;
        }

        @Override
        public void onHead(int answeredStatus, HeaderMap answeredHeaders) {
            status = answeredStatus;
            headers = answeredHeaders;
            EndpointAnswerHead start = services.dialect().readAnswer(status, headers, request.id(), endpoint);
            machine.onHead(number, start);
        }

        @Override
        public void onBytes(ByteBuffer bytes) {
            machine.onBytes(number, bytes);
        }

        @Override
        public void onEnd() {
            machine.onEnd(number);
        }

        @Override
        public void onFailure(Phase phase, boolean silent, IOException cause) {
            End end = phase == Phase.CONNECT ? End.UNREACHED : silent ? End.SILENT : End.BROKEN;
            machine.onFailure(number, end, String.valueOf(cause.getMessage()));
        }
    }
}
