package org.yuccagw.adapters.caller;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.opentelemetry.api.trace.Span;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.XnioIoThread;
import org.yuccagw.adapters.engine.CompletionBody;
import org.yuccagw.adapters.engine.EngineResponseListener;
import org.yuccagw.adapters.engine.PlainRequest;
import org.yuccagw.adapters.engine.PlainResponseListener;
import org.yuccagw.adapters.http.HttpCall;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.adapters.http.HttpStreamListener;
import org.yuccagw.core.admission.AdmissionRequested;
import org.yuccagw.core.cache.BlockChain;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.core.catalogue.RequestClass;
import org.yuccagw.core.catalogue.Service;
import org.yuccagw.core.catalogue.Workspace;
import org.yuccagw.core.claim.ClaimDecision;
import org.yuccagw.core.claim.ClaimRequested;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.quarantine.QuarantineRequested;
import org.yuccagw.core.request.AnswerHead;
import org.yuccagw.core.request.AttemptFailure;
import org.yuccagw.core.request.RequestEffects;
import org.yuccagw.core.request.RequestMachine;
import org.yuccagw.core.request.RequestProfile;
import org.yuccagw.core.request.ResumeToken;
import org.yuccagw.core.request.Usage;
import org.yuccagw.core.retry.RetryDecision;
import org.yuccagw.core.routing.AttemptReport;
import org.yuccagw.core.routing.ImportPlan;
import org.yuccagw.core.routing.RouteRequested;

/**
 * Carries out what the request machine asks, on the I/O thread of the caller's exchange: questions to the control core
 * with replies brought back to this thread, HTTP to endpoints, and the answer to the caller and to its followers.
 *
 * <p>A follower is a repeat of the same idempotency key: it gets every step of the answer from the start, then live.
 */
final class CallerRun implements RequestEffects, CallerResponse.Flow {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(2);

    private final CallerServices services;
    private final XnioIoThread thread;
    private final RequestProfile profile;
    private final Target target;
    private final RequestSpans spans;
    private final String authorization;
    private final RequestMachine machine;
    private final long startNanos = System.nanoTime();
    private final Map<Long, HttpCall> calls = new HashMap<>();
    private final List<Consumer<CallerAnswer>> history = new ArrayList<>();
    private final List<Consumer<Consumer<CallerAnswer>>> followers = new ArrayList<>();
    private CallerAnswer answer;
    private HttpCall current;
    private String outcome = "left";
    private long pieces;

    /**
     * What the request is for.
     *
     * @param engineBody present for a model service
     * @param plainCall present for a plain service
     */
    record Target(
            Workspace workspace,
            Service service,
            RequestClass requestClass,
            Optional<CompletionBody> engineBody,
            Optional<PlainRequest> plainCall) {
        private String salt(String version) {
            String adapter = service.model().map(Service.ModelSettings::adapter).orElse("");
            return BlockChain.salt(workspace.cacheSecret(), service.name().value(), version, adapter);
        }

        private String currentVersion() {
            return service.model().map(settings -> settings.version().value()).orElse("");
        }
    }

    private CallerRun(
            CallerServices services,
            XnioIoThread thread,
            RequestProfile profile,
            Target target,
            Span span,
            String authorization) {
        this.authorization = authorization;
        this.services = services;
        this.thread = thread;
        this.profile = profile;
        this.target = target;
        this.spans = RequestSpans.of(services.tracer(), span, profile.request().value());
        this.machine = RequestMachine.of(profile, this);
    }

    /**
     * Makes the run of one request.
     *
     * @param authorization the caller's header, for following the run of another entry
     */
    static CallerRun of(
            CallerServices services,
            XnioIoThread thread,
            RequestProfile profile,
            Target target,
            Span span,
            String authorization) {
        return new CallerRun(services, thread, profile, target, span, authorization);
    }

    /** Begins the request; the answer goes to {@code to}. */
    void begin(CallerAnswer to) {
        answer = to;
        services.runs().add(profile.request(), this);
        machine.begin();
    }

    /** Goes on with an answer that another request began at this endpoint. */
    void beginResumed(CallerAnswer to, EndpointStatus at) {
        answer = to;
        services.runs().add(profile.request(), this);
        machine.beginResumed(at);
    }

    /** Gives the follower every step so far and each later one; from any thread. */
    void follow(Consumer<Consumer<CallerAnswer>> follower) {
        thread.execute(() -> {
            history.forEach(follower);
            followers.add(follower);
        });
    }

    /** The shape of a model's answer, for a follower of the same request. */
    Optional<CompletionFormat> shape() {
        return target.engineBody()
                .map(body -> new CompletionFormat("cmpl-" + profile.request(), body.model(), body.isChat()));
    }

    boolean belongsTo(Workspace workspace) {
        return target.workspace().id().equals(workspace.id());
    }

    // ---- Questions to the control core.

    @Override
    public long nowNanos() {
        return System.nanoTime();
    }

    @Override
    public void requestAdmission() {
        spans.begin("admission");
        long promptTokens = target.engineBody().map(CompletionBody::promptTokens).orElse(0L);
        long answerTokens =
                target.engineBody().map(body -> (long) body.maxTokens()).orElse(0L);
        services.control()
                .offer(new AdmissionRequested(
                        profile.request(),
                        profile.workspace(),
                        profile.service(),
                        target.requestClass().name(),
                        promptTokens,
                        answerTokens,
                        refusal -> onThread(() -> {
                            spans.end("admission");
                            machine.onAdmitted(refusal);
                        })));
    }

    @Override
    public void requestClaim() {
        spans.begin("claim");
        services.control()
                .offer(new ClaimRequested(
                        profile.claim().orElseThrow(),
                        decision -> onThread(() -> {
                            spans.note("claim", "decision", decision.getClass().getSimpleName());
                            spans.end("claim");
                            machine.onClaim(decision);
                        })));
    }

    @Override
    public void requestQuarantineDecision() {
        services.control()
                .offer(new QuarantineRequested(
                        profile.fingerprint(), verdict -> onThread(() -> machine.onQuarantineDecision(verdict))));
    }

    @Override
    public void requestRoute(Optional<WeightVersion> version, ImmutableSet<EndpointId> excluded, boolean alone) {
        spans.begin("route");
        RouteRequested.Query question = new RouteRequested.Query(
                profile.request(),
                profile.workspace(),
                profile.service(),
                target.requestClass().name(),
                version,
                blocks(version.map(WeightVersion::value).orElse(target.currentVersion())),
                target.engineBody().map(CompletionBody::promptTokens).orElse(0L),
                target.engineBody().map(body -> (long) body.maxTokens()).orElse(0L),
                excluded,
                alone);
        services.control().offer(new RouteRequested(question, routed -> onThread(() -> onRouted(routed))));
    }

    private void onRouted(RouteRequested.Answer routed) {
        if (routed instanceof RouteRequested.Answer.Chosen chosen) {
            spans.note("route", "endpoint", chosen.endpoint().id().value());
            spans.explain(chosen.explanation());
        }
        spans.end("route");
        machine.onRoute(routed);
    }

    private ImmutableList<BlockKey> blocks(String version) {
        if (target.engineBody().isEmpty() || target.service().model().isEmpty()) {
            return ImmutableList.of();
        }
        return BlockChain.keys(
                target.salt(version),
                target.engineBody().get().promptBytes(),
                target.service().model().get().blockTokens());
    }

    @Override
    public void report(ControlEvent event) {
        if (event instanceof AttemptReport.FirstToken first) {
            services.metrics().firstToken(target.requestClass().name(), Duration.ofNanos(nowNanos() - startNanos));
            spans.note("attempt", "first_token_ms", Long.toString(first.millis()));
        } else if (event instanceof AttemptReport.Ended) {
            spans.end("attempt");
        }
        services.control().offer(event);
    }

    @Override
    public void ended() {
        services.runs().remove(profile.request());
        services.metrics().ended(profile.service(), target.requestClass().name(), outcome);
        spans.endAll(outcome);
    }

    // ---- Endpoints.

    @Override
    public void startImport(long attempt, EndpointStatus endpoint, ImportPlan plan) {
        spans.begin("import");
        spans.note("import", "store", plan.store().value());
        long began = nowNanos();
        services.importer()
                .importBlocks(
                        endpoint,
                        plan,
                        target.currentVersion(),
                        done -> onThread(() -> {
                            spans.note(
                                    "import",
                                    "blocks",
                                    done.blocks() + " of " + plan.blocks().size());
                            spans.end("import");
                            long millis = TimeUnit.NANOSECONDS.toMillis(nowNanos() - began);
                            services.control()
                                    .offer(new AttemptReport.Imported(attempt, done.blocks(), done.bytes(), millis));
                            machine.onImported(attempt);
                        }));
    }

    @Override
    public void send(long leg, long attempt, EndpointStatus endpoint, String textSoFar, long piecesSoFar) {
        spans.begin("attempt");
        spans.note("attempt", "endpoint", endpoint.id().value());
        if (target.engineBody().isPresent()) {
            String version = endpoint.version().map(WeightVersion::value).orElse(target.currentVersion());
            byte[] body = target.engineBody()
                    .get()
                    .forEngine(
                            target.salt(version), version, target.requestClass().priority(), textSoFar, piecesSoFar);
            String path = target.engineBody().get().isChat() ? "/v1/chat/completions" : "/v1/completions";
            HttpQuery query = HttpQuery.of("POST", endpoint.address(), path, body)
                    .withHeader("Content-Type", "application/json")
                    .withHeader("X-Request-Id", profile.request().value())
                    .withHeader("traceparent", spans.traceParent());
            open(leg, query, EngineResponseListener.sending(machine, leg));
        } else {
            HttpQuery query = target.plainCall()
                    .orElseThrow()
                    .toward(endpoint.address(), profile.request().value(), spans.traceParent());
            open(leg, query, PlainResponseListener.of(machine, leg, profile.idempotent()));
        }
    }

    @Override
    public void resume(long leg, EndpointStatus endpoint, String stream, long from) {
        spans.event("resume from " + from + " at " + endpoint.id());
        HttpQuery query = HttpQuery.get(endpoint.address(), "/v1/streams/" + stream + "?from=" + from)
                .overFreshConnection();
        open(leg, query, EngineResponseListener.resuming(machine, leg));
    }

    private void open(long leg, HttpQuery query, HttpStreamListener listener) {
        HttpQuery timed =
                query.withTimeouts(CONNECT_TIMEOUT, target.requestClass().progressTimeout());
        HttpQuery sent = profile.idempotent() ? timed : timed.overFreshConnection();
        current = services.http().stream(sent, thread, listener);
        calls.put(leg, current);
    }

    @Override
    public void abandon(long leg) {
        HttpCall call = calls.remove(leg);
        if (call != null) {
            call.abandon();
        }
    }

    /** A plain service is asked only for a connection: any request might have an effect there. */
    @Override
    public void probe(long leg, EndpointStatus endpoint) {
        if (target.engineBody().isEmpty() && !profile.model()) {
            services.http()
                    .connects(endpoint.address(), thread)
                    .thenAccept(alive -> onThread(() -> machine.onProbed(leg, alive)));
            return;
        }
        HttpQuery query = HttpQuery.get(endpoint.address(), "/v1/state")
                .withTimeouts(CONNECT_TIMEOUT, PROBE_TIMEOUT)
                .overFreshConnection();
        services.http()
                .send(query)
                .whenComplete((reply, failure) -> onThread(() -> machine.onProbed(leg, failure == null)));
    }

    @Override
    public void cancelStream(EndpointStatus endpoint, String stream, Duration wait) {
        String condition = wait.isZero() ? "" : "?if=unread";
        HttpQuery query = HttpQuery.of("DELETE", endpoint.address(), "/v1/streams/" + stream + condition);
        thread.executeAfter(() -> services.http().send(query), wait.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void schedule(RequestMachine.TimerKind kind, long leg, Duration delay) {
        thread.executeAfter(() -> machine.onTimer(kind, leg), Math.max(1, delay.toMillis()), TimeUnit.MILLISECONDS);
    }

    @Override
    public RetryDecision decideRetry(AttemptFailure failure, boolean mayHaveRunBefore, int attemptsMade) {
        services.metrics().attemptFailed(profile.service(), failure);
        spans.event("attempt failed: " + failure);
        Duration remaining = profile.answerDeadline().minusNanos(nowNanos() - startNanos);
        return services.retries()
                .decide(
                        profile.service(),
                        new RetryDecider.RequestSoFar(
                                failure, profile.idempotent(), mayHaveRunBefore, attemptsMade, remaining));
    }

    @Override
    public void creditRetryBudget() {
        services.retries().succeeded(profile.service());
    }

    // ---- Towards the caller.

    @Override
    public void answerHead(AnswerHead head, EndpointStatus endpoint) {
        spans.begin("stream");
        String token = profile.model() ? resumeToken(head, endpoint) : "";
        emit(to -> to.head(head, token));
        keepAliveLater();
    }

    /**
     * While an answer stands still because its run is being resumed or goes on elsewhere, the caller gets a comment now
     * and then. Without it a caller that watches for silence, as ours does, gives up an answer that is about to go on.
     */
    private void keepAliveLater() {
        long piecesBefore = pieces;
        thread.executeAfter(
                () -> {
                    if (machine.isOver()) {
                        return;
                    }
                    if (pieces == piecesBefore) {
                        answer.keepAlive();
                    }
                    keepAliveLater();
                },
                KEEP_ALIVE.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    private String resumeToken(AnswerHead head, EndpointStatus endpoint) {
        ResumeToken token = new ResumeToken(
                profile.request(),
                profile.workspace(),
                profile.service(),
                endpoint.id(),
                endpoint.address(),
                endpoint.incarnation(),
                head.stream(),
                head.version(),
                target.engineBody().map(CompletionBody::isChat).orElse(false));
        return token.sign(services.settings().tokenKeys().get(0));
    }

    @Override
    public void answerPiece(long index, String text) {
        pieces++;
        emit(to -> to.piece(index, text));
    }

    @Override
    public void answerBytes(ByteBuffer bytes) {
        if (followers.isEmpty() && profile.claim().isEmpty()) {
            answer.bytes(bytes);
            return;
        }
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        emit(to -> to.bytes(ByteBuffer.wrap(copy)));
    }

    @Override
    public void answerEnd(Optional<Usage> usage) {
        outcome = "answered";
        spans.end("stream");
        usage.ifPresent(used -> services.metrics()
                .promptTokens(
                        profile.service(),
                        used.cachedTokens(),
                        Math.max(0, used.promptTokens() - used.cachedTokens())));
        emit(to -> to.end(usage));
    }

    @Override
    public void answerError(YuccagwException error) {
        outcome = error.kind().code();
        emit(to -> to.error(error));
    }

    @Override
    public void follow(EntryId entry, RequestId request) {
        outcome = "followed";
        AnswerRelay.of(services, target.workspace(), answer, thread).follow(entry, request, authorization);
    }

    @Override
    public void replay(ClaimDecision.KeptAnswer kept) {
        outcome = "replayed";
        emit(to -> to.replay(kept));
    }

    @Override
    public Optional<ClaimDecision.KeptAnswer> keptAnswer() {
        return answer.kept();
    }

    private void emit(Consumer<CallerAnswer> step) {
        step.accept(answer);
        if (profile.claim().isPresent()) {
            history.add(step);
            followers.forEach(follower -> follower.accept(step));
        }
    }

    // ---- The caller's side of flow control.

    @Override
    public void pause() {
        if (current != null) {
            current.pause();
        }
    }

    @Override
    public void goOn() {
        if (current != null) {
            current.resume();
        }
    }

    @Override
    public void callerLeft() {
        onThread(() -> {
            if (current != null) {
                current.resume();
            }
            machine.onCallerDisconnected();
        });
    }

    private void onThread(Runnable work) {
        if (Thread.currentThread() == thread) {
            work.run();
        } else {
            thread.execute(work);
        }
    }
}
