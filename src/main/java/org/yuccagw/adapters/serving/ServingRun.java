package org.yuccagw.adapters.serving;

import com.google.common.collect.ImmutableSet;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.yuccagw.adapters.caller.CallerResponse;
import org.yuccagw.adapters.http.DisconnectDetector;
import org.yuccagw.adapters.http.ErrorAnswers;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponseListener;
import org.yuccagw.adapters.http.OngoingCall;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.forward.EndpointAnswerHead;
import org.yuccagw.core.forward.ForwardEffects;
import org.yuccagw.core.forward.ForwardMachine;
import org.yuccagw.core.forward.ForwardMachine.TimerKind;
import org.yuccagw.core.forward.ForwardRequest;
import org.yuccagw.core.forward.SilenceOutcome;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.notice.NoticeReceived;
import org.yuccagw.core.origin.StreamBegun;
import org.yuccagw.core.placing.AnswerPace;
import org.yuccagw.core.placing.AttemptBegun;
import org.yuccagw.core.placing.AttemptEnded;
import org.yuccagw.core.placing.AttemptEnded.End;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.placing.PlacementRequest;
import org.yuccagw.core.placing.StreamContinuation;
import org.yuccagw.core.port.BodyEnd;

/** Executes the effects of one request's {@link ForwardMachine} on the I/O thread of the caller's connection. */
final class ServingRun implements ForwardEffects, CallerResponse.FlowControl {
    /** A connection is established within 1 ms in a failure domain and within 5 ms between two of them. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

    /** Endpoints send an error message at most. */
    private static final int MAX_REJECTION_BYTES = 64 * 1024;

    private final ServingServices services;
    private final HttpServerExchange exchange;
    private final XnioIoThread thread;
    private final CallerHead head;
    private final ForwardRequest request;
    private final byte[] body;
    private final CallerResponse response;
    private final ForwardMachine machine;
    private final ActiveRequests activeRequests;
    private final DisconnectDetector disconnectDetector;
    private final long arrivedNanos = System.nanoTime();
    private final Map<TimerKind, XnioExecutor.Key> timers = new EnumMap<>(TimerKind.class);
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private long firstByteNanos;
    private boolean readingPaused;
    private boolean ended;
    private boolean answerWritten;

    private ServingRun(
            ServingServices services,
            HttpServerExchange exchange,
            CallerHead head,
            ForwardRequest request,
            byte[] body,
            ActiveRequests activeRequests) {
        this.services = services;
        this.exchange = exchange;
        this.thread = exchange.getIoThread();
        this.head = head;
        this.request = request;
        this.body = body;
        this.activeRequests = activeRequests;
        this.response = new CallerResponse(exchange, this);
        this.machine = ForwardMachine.of(request, this);
        this.disconnectDetector = DisconnectDetector.begin(exchange);
    }

    /**
     * Starts the run of a request whose body was read. It is active until the request has ended and its caller has
     * taken the answer or has left, so that a graceful stop waits for callers that read slowly.
     */
    static void begin(
            ServingServices services,
            HttpServerExchange exchange,
            CallerHead head,
            ForwardRequest request,
            byte[] body,
            ActiveRequests activeRequests) {
        ServingRun run = new ServingRun(services, exchange, head, request, body, activeRequests);
        activeRequests.begin(run);
        exchange.addExchangeCompleteListener((completed, next) -> {
            run.onAnswerWritten();
            next.proceed();
        });
        run.machine.begin();
    }

    /** Ends the request, since the entry stops. May be called on any thread. */
    void stop() {
        thread.execute(machine::onStop);
    }

    // Effects of the machine.

    @Override
    public long nowNanos() {
        return System.nanoTime();
    }

    @Override
    public void requestPlacement(
            ImmutableSet<EndpointId> excluded,
            PlacementRequest.Kind kind,
            StreamContinuation continuation,
            Duration remaining) {
        requestPlacement(excluded, ImmutableSet.of(), kind, continuation, remaining);
    }

    @Override
    public void requestReturn(ImmutableSet<EndpointId> permitted, StreamContinuation continuation, Duration remaining) {
        requestPlacement(ImmutableSet.of(), permitted, PlacementRequest.Kind.REPEAT, continuation, remaining);
    }

    private void requestPlacement(
            ImmutableSet<EndpointId> excluded,
            ImmutableSet<EndpointId> permitted,
            PlacementRequest.Kind kind,
            StreamContinuation continuation,
            Duration remaining) {
        services.control()
                .offer(new PlacementRequest(
                        request.id(),
                        request.route(),
                        request.service(),
                        request.workspace(),
                        request.prompt(),
                        request.fingerprint(),
                        excluded,
                        permitted,
                        kind,
                        continuation,
                        remaining.toMillis(),
                        decision -> thread.execute(() -> onPlaced(decision))));
    }

    private void onPlaced(PlacementDecision decision) {
        disconnectDetector.checkNow();
        machine.onPlacementDecision(decision);
    }

    @Override
    public void send(
            long leg, PlacementDecision.Placed placed, Duration remaining, long afterEvent, boolean newConnection) {
        HeaderMap headers =
                services.protocol().attemptHeaders(head, request.workspace(), placed, remaining, afterEvent);
        String query = exchange.getQueryString().isEmpty() ? "" : "?" + exchange.getQueryString();
        // The machine abandons the leg at the deadline. This timeout only releases a connection that it failed to
        // close.
        Duration silenceTimeout = remaining.plusSeconds(1);
        HttpRequest httpRequest = new HttpRequest(
                placed.endpoint().address(),
                exchange.getRequestMethod().toString(),
                exchange.getRequestURI() + query,
                headers,
                body,
                CONNECT_TIMEOUT,
                silenceTimeout,
                newConnection,
                false);
        Attempt attempt = new Attempt(leg, placed.endpoint().id());
        attempts.put(leg, attempt);
        attempt.call =
                services.endpointClient().stream(httpRequest, request.id().value(), thread, attempt);
        if (readingPaused) {
            attempt.call.pause();
        }
    }

    @Override
    public void abandon(long leg) {
        Attempt attempt = attempts.remove(leg);
        if (attempt != null && attempt.call != null) {
            attempt.call.cancel();
        }
    }

    @Override
    public void pauseReading(long leg) {
        Attempt attempt = attempts.get(leg);
        attempt.pausedByMachine = true;
        attempt.call.pause();
    }

    @Override
    public void resumeReading(long leg) {
        Attempt attempt = attempts.get(leg);
        attempt.pausedByMachine = false;
        attempt.call.resume();
    }

    @Override
    public void schedule(TimerKind kind, long leg, Duration delay) {
        cancel(kind);
        long millis = Math.max(1, roundedUpMillis(delay));
        timers.put(kind, thread.executeAfter(() -> machine.onTimer(kind, leg), millis, TimeUnit.MILLISECONDS));
    }

    /** Rounds up, since a timer that expires early would end an answer before its deadline. */
    private static long roundedUpMillis(Duration delay) {
        return delay.plusMillis(1).minusNanos(1).toMillis();
    }

    @Override
    public void answerHead(long leg) {
        Attempt attempt = attempts.get(leg);
        HeaderMap headers = services.protocol().answerHeaders(attempt.headers);
        firstByteNanos = System.nanoTime();
        response.start(attempt.status, headers);
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
        response.abort();
    }

    @Override
    public void answerError(YuccagwException error) {
        if (!response.isFinished()) {
            sendError(exchange, services.protocol(), error);
        }
    }

    /** Sends an error of this entry as the whole answer. */
    static void sendError(HttpServerExchange exchange, WireProtocol protocol, YuccagwException error) {
        exchange.setStatusCode(error.kind().status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        error.retryAfter()
                .ifPresent(delay -> exchange.getResponseHeaders()
                        .put(HttpString.tryFromString("Retry-After"), protocol.formatRetryAfter(delay)));
        exchange.getResponseSender().send(ErrorAnswers.body(error));
    }

    @Override
    public void report(AttemptBegun attempt) {
        services.control().offer(attempt);
    }

    @Override
    public void report(StreamBegun begun) {
        services.control().offer(begun);
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
    public void reportSilence(SilenceOutcome outcome) {
        services.metrics().recordSilence(request.service(), outcome.code());
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
        Decision line = Decision.of("ended")
                .with("request", request.id())
                .with("route", request.route().name())
                .with("outcome", outcome)
                .with("first_byte_ms", firstByteMillis)
                .with("silent_ms", machine.statistics().silence().toMillis())
                .with("total_ms", (now - arrivedNanos) / 1_000_000);
        Decision withBodyEnd = machine.statistics()
                .bodyEnd()
                .map(bodyEnd -> withBodyEnd(line, bodyEnd))
                .orElse(line);
        services.decisions()
                .write(machine.statistics()
                        .pace()
                        .map(pace -> withPace(withBodyEnd, pace))
                        .orElse(withBodyEnd));
        services.metrics()
                .recordRequestEnd(request.service(), request.route().kind().name(), outcome);
        request.takenUp().ifPresent(began -> recordResumption(outcome));
        ended = true;
        answerWritten |= response.isFinished();
        endIfDone();
    }

    private void onAnswerWritten() {
        answerWritten = true;
        endIfDone();
    }

    private void endIfDone() {
        if (ended && answerWritten) {
            activeRequests.end(this);
        }
    }

    private void recordResumption(String outcome) {
        services.metrics().recordResumption(request.service(), firstByteNanos == 0 ? outcome : "went_on");
    }

    private Decision withBodyEnd(Decision line, BodyEnd bodyEnd) {
        String lastEvent = machine.statistics().lastEvent().code();
        services.metrics().recordAnswerEnd(request.service(), bodyEnd.code(), lastEvent);
        return line.with("body_end", bodyEnd.code()).with("last_event", lastEvent);
    }

    private Decision withPace(Decision line, AnswerPace pace) {
        services.metrics().recordLongestGap(request.service(), Duration.ofMillis(pace.longestGapMillis()));
        Optional<ListedEndpoint> endpoint = machine.statistics().endpoint();
        return line.with("endpoint", endpoint.map(each -> each.id().value()).orElse(""))
                .with("software", endpoint.map(each -> each.software().value()).orElse(""))
                .with("events", pace.events())
                .with("first_event_ms", pace.firstEventMillis())
                .with("mean_gap_ms", pace.meanGapMillis())
                .with("longest_gap_ms", pace.longestGapMillis());
    }

    private void cancel(TimerKind kind) {
        XnioExecutor.Key key = timers.remove(kind);
        if (key != null) {
            key.remove();
        }
    }

    // Flow control of the caller's connection.

    @Override
    public void pause() {
        readingPaused = true;
        machine.onReadingPaused();
        forwardedCalls().forEach(OngoingCall::pause);
    }

    @Override
    public void resume() {
        readingPaused = false;
        machine.onReadingResumed();
        forwardedCalls().forEach(OngoingCall::resume);
    }

    /** Returns the calls whose reading depends on the caller only. */
    private List<OngoingCall> forwardedCalls() {
        return attempts.values().stream()
                .filter(attempt -> attempt.call != null && !attempt.pausedByMachine)
                .map(attempt -> attempt.call)
                .toList();
    }

    @Override
    public void callerDisconnected() {
        machine.onCallerDisconnected();
        onAnswerWritten();
    }

    /** The connection of one attempt. */
    private final class Attempt implements HttpResponseListener {
        private final long leg;
        private final EndpointId endpoint;
        private OngoingCall call;
        private boolean pausedByMachine;
        private int status;
        private HeaderMap headers;
        private Optional<EndpointAnswerHead> rejection = Optional.empty();
        private int rejectionBytes;

        private Attempt(long leg, EndpointId endpoint) {
            this.leg = leg;
            this.endpoint = endpoint;
        }

        @Override
        public void onConnected() {
            machine.onDelivery(leg);
        }

        @Override
        public void onRelayed(EntryId relay) {
            explain("relayed", endpoint + " by " + relay);
        }

        @Override
        public void onHead(int receivedStatus, HeaderMap receivedHeaders) {
            status = receivedStatus;
            headers = receivedHeaders;
            EndpointAnswerHead start = services.protocol().readAnswerStart(status, headers, request.id(), endpoint);
            if (start.statesNotRun()) {
                rejection = Optional.of(start);
            } else {
                machine.onHead(leg, start);
            }
        }

        @Override
        public void onBytes(ByteBuffer bytes) {
            if (rejection.isEmpty()) {
                machine.onBytes(leg, bytes);
                return;
            }
            rejectionBytes += bytes.remaining();
            if (rejectionBytes > MAX_REJECTION_BYTES) {
                throw new UncheckedIOException(
                        new IOException("a rejection of over " + MAX_REJECTION_BYTES + " bytes"));
            }
        }

        /** A rejection counts only once the whole answer was read: a defect in it refutes what its head states. */
        @Override
        public void onEnd(BodyEnd end) {
            rejection.ifPresentOrElse(head -> machine.onHead(leg, head), () -> machine.onEnd(leg, end));
        }

        @Override
        public void onFailure(Phase phase, boolean silent, IOException cause) {
            End end = phase == Phase.CONNECT ? End.UNREACHED : silent ? End.SILENT : End.BROKEN;
            machine.onFailure(leg, end, String.valueOf(cause.getMessage()));
        }
    }
}
