package org.yuccagw.adapters.caller;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.opentelemetry.api.trace.Span;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.XnioIoThread;
import org.yuccagw.adapters.engine.CompletionBody;
import org.yuccagw.core.admission.AdmissionRequested;
import org.yuccagw.core.cache.BlockChain;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.core.catalogue.Workspace;
import org.yuccagw.core.claim.ClaimDecision;
import org.yuccagw.core.claim.ClaimLookupRequested;
import org.yuccagw.core.claim.ClaimRequested;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.SoftwareVersion;
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
 * Executes the effects of the request machine on the I/O thread of the caller's exchange: queries to the control core,
 * whose replies are passed back to this thread, HTTP requests to endpoints, and the answer to the caller.
 *
 * <p>A request that repeats the idempotency key subscribes to the answer: it receives all steps of the answer so far,
 * then each later one as it occurs.
 */
final class CallerRun implements RequestEffects, CallerResponse.FlowControl {
    private static final Duration KEEP_ALIVE_INTERVAL = Duration.ofSeconds(2);

    /** Size of an answer that is retained after its end. Larger ones aren't stored with the claim either. */
    private static final int MAX_RETAINED_BYTES = 64 * 1024;

    private final CallerServices services;
    private final XnioIoThread thread;
    private final RequestProfile profile;
    private final CallTarget target;
    private final RequestSpans spans;
    private final String authorization;
    private final RequestMachine machine;
    private final EndpointCalls calls;
    private final long startNanos = System.nanoTime();
    private final List<Consumer<CallerAnswer>> steps = new ArrayList<>();
    private final List<Consumer<Consumer<CallerAnswer>>> subscribers = new ArrayList<>();
    private CallerAnswer answer;
    private String outcome = "left";
    private long pieces;
    private long stepBytes;

    private CallerRun(
            CallerServices services,
            XnioIoThread thread,
            RequestProfile profile,
            CallTarget target,
            Span span,
            String authorization) {
        this.authorization = authorization;
        this.services = services;
        this.thread = thread;
        this.profile = profile;
        this.target = target;
        this.spans = RequestSpans.of(services.tracer(), span, profile.request().value());
        this.machine = RequestMachine.of(profile, this);
        this.calls = EndpointCalls.of(services.endpointClient(), thread, profile, target, spans, machine);
    }

    /**
     * Creates the run of one request.
     *
     * @param authorization the caller's authorization header, used to relay the answer of a run on another entry
     */
    static CallerRun of(
            CallerServices services,
            XnioIoThread thread,
            RequestProfile profile,
            CallTarget target,
            Span span,
            String authorization) {
        return new CallerRun(services, thread, profile, target, span, authorization);
    }

    /** Begins the request, whose answer is written to {@code callerAnswer}. */
    void begin(CallerAnswer callerAnswer) {
        answer = callerAnswer;
        services.runs().add(profile.request(), this);
        machine.begin();
    }

    /** Resumes the answer of an earlier request from the endpoint that ran it. */
    void beginResumed(CallerAnswer callerAnswer, EndpointStatus endpoint) {
        answer = callerAnswer;
        services.runs().add(profile.request(), this);
        machine.beginResumed(endpoint);
    }

    /** Passes all steps so far and each later one to the subscriber. May be called on any thread. */
    void subscribe(Consumer<Consumer<CallerAnswer>> subscriber) {
        thread.execute(() -> {
            steps.forEach(subscriber);
            subscribers.add(subscriber);
        });
    }

    /** Returns the format of a model's answer, for a subscriber to this request. */
    Optional<CompletionFormat> format() {
        return target.completionBody()
                .map(body -> new CompletionFormat("cmpl-" + profile.request(), body.model(), body.isChat()));
    }

    /** Returns whether the request was sent by the workspace. */
    boolean belongsTo(Workspace workspace) {
        return target.workspace().id().equals(workspace.id());
    }

    // Queries to the control core.

    @Override
    public long nowNanos() {
        return System.nanoTime();
    }

    @Override
    public void requestAdmission() {
        spans.begin("admission");
        long promptTokens =
                target.completionBody().map(CompletionBody::promptTokens).orElse(0L);
        long answerTokens =
                target.completionBody().map(body -> (long) body.maxTokens()).orElse(0L);
        services.control()
                .offer(new AdmissionRequested(
                        profile.request(),
                        profile.workspace(),
                        profile.service(),
                        target.requestClass().name(),
                        promptTokens,
                        answerTokens,
                        refusal -> runOnThread(() -> {
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
                        decision -> runOnThread(() -> {
                            spans.setAttribute(
                                    "claim", "decision", decision.getClass().getSimpleName());
                            spans.end("claim");
                            machine.onClaim(decision);
                        })));
    }

    @Override
    public void lookUpClaim() {
        services.control()
                .offer(new ClaimLookupRequested(
                        profile.claim().orElseThrow(), decision -> runOnThread(() -> machine.onClaimLookup(decision))));
    }

    @Override
    public void requestQuarantineDecision() {
        services.control()
                .offer(new QuarantineRequested(
                        profile.fingerprint(),
                        profile.parts(),
                        decision -> runOnThread(() -> machine.onQuarantineDecision(decision))));
    }

    @Override
    public void requestRoute(
            Optional<WeightVersion> version,
            Optional<SoftwareVersion> software,
            ImmutableSet<EndpointId> excluded,
            boolean isolated) {
        spans.begin("route");
        RouteRequested.Query query = new RouteRequested.Query(
                profile.request(),
                profile.workspace(),
                profile.service(),
                target.requestClass().name(),
                version,
                software,
                blockKeys(version.map(WeightVersion::value).orElse(target.catalogueVersion())),
                target.completionBody().map(CompletionBody::promptTokens).orElse(0L),
                target.completionBody().map(body -> (long) body.maxTokens()).orElse(0L),
                excluded,
                isolated);
        services.control().offer(new RouteRequested(query, routeAnswer -> runOnThread(() -> onRouted(routeAnswer))));
    }

    private void onRouted(RouteRequested.Answer routeAnswer) {
        if (routeAnswer instanceof RouteRequested.Answer.Chosen chosen) {
            spans.setAttribute("route", "endpoint", chosen.endpoint().id().value());
            spans.addRouteExplanation(chosen.explanation());
        }
        spans.end("route");
        machine.onRoute(routeAnswer);
    }

    private ImmutableList<BlockKey> blockKeys(String version) {
        if (target.completionBody().isEmpty() || target.service().model().isEmpty()) {
            return ImmutableList.of();
        }
        return BlockChain.keys(
                target.salt(version),
                target.completionBody().get().promptBytes(),
                target.service().model().get().blockTokens());
    }

    @Override
    public void report(ControlEvent event) {
        if (event instanceof AttemptReport.FirstToken first) {
            services.metrics()
                    .recordFirstToken(target.requestClass().name(), Duration.ofNanos(nowNanos() - startNanos));
            spans.setAttribute("attempt", "first_token_ms", Long.toString(first.millis()));
        } else if (event instanceof AttemptReport.Ended) {
            spans.end("attempt");
        }
        services.control().offer(event);
    }

    @Override
    public void ended() {
        if (stepBytes <= MAX_RETAINED_BYTES && profile.claim().isPresent()) {
            services.runs().removeEnded(profile.request());
        } else {
            services.runs().remove(profile.request());
        }
        services.metrics().recordEnd(profile.service(), target.requestClass().name(), outcome);
        spans.endAll(outcome);
    }

    // Requests to endpoints.

    @Override
    public void startImport(long attempt, EndpointStatus endpoint, ImportPlan plan) {
        spans.begin("import");
        spans.setAttribute("import", "store", plan.store().value());
        long startedNanos = nowNanos();
        services.importer()
                .importBlocks(
                        endpoint,
                        plan,
                        target.catalogueVersion(),
                        done -> runOnThread(() -> {
                            spans.setAttribute(
                                    "import",
                                    "blocks",
                                    done.blocks() + " of " + plan.blocks().size());
                            spans.end("import");
                            long durationMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos() - startedNanos);
                            services.control()
                                    .offer(new AttemptReport.Imported(
                                            attempt, done.blocks(), done.bytes(), durationMillis));
                            machine.onImported(attempt);
                        }));
    }

    @Override
    public void send(long leg, long attempt, EndpointStatus endpoint, String textSoFar, long piecesSoFar) {
        spans.begin("attempt");
        spans.setAttribute("attempt", "endpoint", endpoint.id().value());
        calls.send(leg, endpoint, textSoFar, piecesSoFar);
    }

    @Override
    public void resume(long leg, EndpointStatus endpoint, String stream, long from) {
        spans.addEvent("resume from " + from + " at " + endpoint.id());
        calls.resumeStream(leg, endpoint, stream, from);
    }

    @Override
    public void abandon(long leg) {
        calls.abandon(leg);
    }

    @Override
    public void probe(long leg, EndpointStatus endpoint) {
        calls.probe(endpoint).thenAccept(alive -> runOnThread(() -> machine.onProbed(leg, alive)));
    }

    @Override
    public void cancelStream(EndpointStatus endpoint, String stream, Duration delay) {
        calls.cancelStream(endpoint, stream, delay);
    }

    @Override
    public void schedule(RequestMachine.TimerKind kind, long leg, Duration delay) {
        thread.executeAfter(() -> machine.onTimer(kind, leg), Math.max(1, delay.toMillis()), TimeUnit.MILLISECONDS);
    }

    @Override
    public RetryDecision decideRetry(AttemptFailure failure, boolean mayHaveRunBefore, int attemptsMade) {
        services.metrics().recordAttemptFailure(profile.service(), failure);
        spans.addEvent("attempt failed: " + failure);
        Duration remaining = profile.answerDeadline().minusNanos(nowNanos() - startNanos);
        return services.retries()
                .decide(
                        profile.service(),
                        new RetryDecider.FailedAttempt(
                                failure, profile.idempotent(), mayHaveRunBefore, attemptsMade, remaining));
    }

    @Override
    public void creditRetryBudget() {
        services.retries().creditBudget(profile.service());
    }

    // Answer to the caller.

    @Override
    public void answerHead(AnswerHead head, EndpointStatus endpoint) {
        spans.begin("stream");
        String token = profile.model() ? resumeToken(head, endpoint) : "";
        publish(callerAnswer -> callerAnswer.start(head, token));
        scheduleKeepAlive();
    }

    /**
     * Sends a comment to the caller every 2 s in which no piece is sent, for example while the run is being resumed or
     * moves to another endpoint. Without it, a caller with a silence timeout, such as the project's own client, would
     * abandon an answer that is about to continue.
     */
    private void scheduleKeepAlive() {
        long piecesAtStart = pieces;
        thread.executeAfter(
                () -> {
                    if (machine.isOver()) {
                        return;
                    }
                    if (pieces == piecesAtStart) {
                        answer.writeKeepAlive();
                    }
                    scheduleKeepAlive();
                },
                KEEP_ALIVE_INTERVAL.toMillis(),
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
                target.completionBody().map(CompletionBody::isChat).orElse(false),
                Optional.of(head.software()));
        return token.sign(services.settings().tokenKeys().get(0));
    }

    @Override
    public void answerPiece(long index, String text) {
        pieces++;
        stepBytes += text.length();
        publish(callerAnswer -> callerAnswer.writePiece(index, text));
    }

    @Override
    public void answerBytes(ByteBuffer bytes) {
        if (subscribers.isEmpty() && profile.claim().isEmpty()) {
            answer.writeBytes(bytes);
            return;
        }
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        stepBytes += copy.length;
        publish(callerAnswer -> callerAnswer.writeBytes(ByteBuffer.wrap(copy)));
    }

    @Override
    public void answerEnd(Optional<Usage> usage) {
        outcome = "answered";
        spans.end("stream");
        usage.ifPresent(used -> services.metrics()
                .recordPromptTokens(
                        profile.service(),
                        used.cachedTokens(),
                        Math.max(0, used.promptTokens() - used.cachedTokens())));
        publish(callerAnswer -> callerAnswer.complete(usage));
    }

    @Override
    public void answerError(YuccagwException error) {
        outcome = error.kind().code();
        publish(callerAnswer -> callerAnswer.sendError(error));
    }

    @Override
    public void follow(EntryId entry, RequestId request) {
        outcome = "followed";
        AnswerRelay.of(services, target.workspace(), answer, thread).relay(entry, request, authorization);
    }

    @Override
    public void replay(ClaimDecision.KeptAnswer kept) {
        outcome = "replayed";
        publish(callerAnswer -> callerAnswer.replay(kept));
    }

    @Override
    public Optional<ClaimDecision.KeptAnswer> keptAnswer() {
        return answer.storedAnswer();
    }

    private void publish(Consumer<CallerAnswer> step) {
        step.accept(answer);
        if (profile.claim().isPresent()) {
            steps.add(step);
            subscribers.forEach(subscriber -> subscriber.accept(step));
        }
    }

    // Flow control of the caller's connection.

    @Override
    public void pause() {
        calls.pauseReading();
    }

    @Override
    public void resume() {
        calls.resumeReading();
    }

    @Override
    public void callerDisconnected() {
        runOnThread(() -> {
            calls.resumeReading();
            machine.onCallerDisconnected();
        });
    }

    private void runOnThread(Runnable work) {
        if (Thread.currentThread() == thread) {
            work.run();
        } else {
            thread.execute(work);
        }
    }
}
