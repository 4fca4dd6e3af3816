package org.yuccagw.adapters.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.CharMatcher;
import io.opentelemetry.api.trace.Span;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.util.Deque;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import org.xnio.XnioWorker;
import org.yuccagw.adapters.engine.CompletionBody;
import org.yuccagw.adapters.engine.PlainRequest;
import org.yuccagw.adapters.http.BodyReader;
import org.yuccagw.adapters.http.BoundedJson;
import org.yuccagw.adapters.http.ErrorAnswers;
import org.yuccagw.adapters.telemetry.TraceParent;
import org.yuccagw.adapters.telemetry.Traces;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.RequestClass;
import org.yuccagw.core.catalogue.Service;
import org.yuccagw.core.catalogue.Workspace;
import org.yuccagw.core.claim.Claim;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.endpoint.EndpointsSnapshot;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.IdempotencyKey;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.id.VmId;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.membership.DirectorySnapshot;
import org.yuccagw.core.quarantine.PromptFingerprint;
import org.yuccagw.core.request.RequestProfile;
import org.yuccagw.core.request.ResumeToken;

/**
 * HTTP server on the caller address.
 *
 * <p>Paths: {@code /v1/directory}, {@code /v1/models}, {@code /v1/completions}, {@code /v1/chat/completions},
 * {@code /v1/resume}, {@code /v1/prefetch}, {@code /v1/follow/REQUEST} between entries, and {@code /SERVICE/...} for
 * plain services.
 *
 * <p>All mistakes of a caller are detected before the request is admitted anywhere. They are answered with an error
 * that names the correction, and the request is certain not to have run.
 */
public final class CallerServer {
    private static final ObjectMapper JSON = BoundedJson.mapper();
    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final int PARSE_TIMEOUT_MILLIS = 10_000;
    private static final int IDLE_TIMEOUT_MILLIS = 120_000;
    private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 255;
    private static final String COMPLETIONS = "/v1/completions";
    private static final String CHAT = "/v1/chat/completions";
    private static final String FOLLOW = "/v1/follow/";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private final CallerServices services;
    private final Undertow server;
    private final BodyReader bodies;
    private final Prefetcher prefetcher;
    private volatile WorkspaceKeys workspaceKeys = WorkspaceKeys.of(Catalogue.empty());
    private volatile boolean refusingNewRequests;

    /** Creates the event for a hint that a prompt will be sent again soon. */
    @FunctionalInterface
    public interface Prefetcher {
        ControlEvent prefetch(Workspace workspace, Service service, CompletionBody body);
    }

    private CallerServer(CallerServices services, XnioWorker worker, Optional<SSLContext> tls, Prefetcher prefetcher) {
        this.services = services;
        this.prefetcher = prefetcher;
        this.bodies = BodyReader.of(
                services.settings().bodyLimitBytes(), services.settings().bodyTimeoutMillis());
        Undertow.Builder builder = Undertow.builder()
                .setWorker(worker)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .setHandler(this::handle);
        String host = services.settings().caller().host();
        int port = services.settings().caller().port();
        if (tls.isPresent()) {
            builder.addHttpsListener(port, host, tls.get());
        } else {
            builder.addHttpListener(port, host);
        }
        this.server = builder.build();
    }

    /** Starts a server on the caller address, on the I/O threads of the worker. */
    public static CallerServer start(
            CallerServices services, XnioWorker worker, Optional<SSLContext> tls, Prefetcher prefetcher) {
        CallerServer callerServer = new CallerServer(services, worker, tls, prefetcher);
        callerServer.server.start();
        return callerServer;
    }

    /** Refuses every new request from now on as not run. Requests in progress continue. */
    public void refuseNewRequests() {
        refusingNewRequests = true;
    }

    public void stop() {
        server.stop();
    }

    private void handle(HttpServerExchange exchange) {
        try {
            dispatch(exchange);
        } catch (YuccagwException e) {
            ErrorAnswers.send(exchange, e);
        }
    }

    private void dispatch(HttpServerExchange exchange) throws YuccagwException {
        String path = exchange.getRequestPath();
        if (path.equals("/v1/directory")) {
            answerDirectory(exchange);
            return;
        }
        if (path.startsWith(FOLLOW)) {
            dispatchFollow(exchange, RequestId.of(path.substring(FOLLOW.length())));
            return;
        }
        Catalogue catalogue = requireReadyCatalogue();
        Workspace workspace =
                keysFor(catalogue).require(exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION));
        if (refusingNewRequests) {
            throw ErrorKind.STOPPING.raise();
        } else if (path.equals(COMPLETIONS) || path.equals(CHAT)) {
            requirePost(exchange, path);
            withBody(exchange, body -> handleCompletion(exchange, catalogue, workspace, body));
        } else if (path.equals("/v1/resume")) {
            resume(exchange, catalogue, workspace);
        } else if (path.equals("/v1/prefetch")) {
            requirePost(exchange, path);
            withBody(exchange, body -> prefetch(exchange, catalogue, workspace, body));
        } else if (path.equals("/v1/models")) {
            answerModels(exchange, catalogue);
        } else {
            handlePlainService(exchange, catalogue, workspace);
        }
    }

    /** Relays a run to another entry. It has a claim, so no error here may say that it did not run. */
    private void dispatchFollow(HttpServerExchange exchange, RequestId request) throws YuccagwException {
        try {
            Workspace workspace = keysFor(requireReadyCatalogue())
                    .require(exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION));
            relayRun(exchange, workspace, request);
        } catch (YuccagwException e) {
            throw AnswerRelay.alreadyRunning();
        }
    }

    /** Handles a request body, which may be invalid. */
    private interface BodyHandler {
        void accept(byte[] body) throws YuccagwException;
    }

    private void withBody(HttpServerExchange exchange, BodyHandler handler) {
        bodies.read(exchange, body -> {
            try {
                handler.accept(body);
            } catch (YuccagwException e) {
                ErrorAnswers.send(exchange, e);
            }
        });
    }

    private Catalogue requireReadyCatalogue() throws YuccagwException {
        DirectorySnapshot directory = services.snapshot()
                .get()
                .find(DirectorySnapshot.class)
                .orElseThrow(() -> ErrorKind.NOT_READY.raise("has not started yet"));
        if (!directory.ready()) {
            throw ErrorKind.NOT_READY.raise(directory.reason());
        }
        return services.snapshot()
                .get()
                .find(Catalogue.class)
                .orElseThrow(() -> ErrorKind.NOT_READY.raise("has no catalogue yet"));
    }

    private WorkspaceKeys keysFor(Catalogue catalogue) {
        WorkspaceKeys current = workspaceKeys;
        if (!current.isForRevisionOf(catalogue)) {
            current = WorkspaceKeys.of(catalogue);
            workspaceKeys = current;
        }
        return current;
    }

    private static void requirePost(HttpServerExchange exchange, String path) throws YuccagwException {
        if (!exchange.getRequestMethod().toString().equals("POST")) {
            throw ErrorKind.METHOD_NOT_ALLOWED.raise(path, "POST");
        }
    }

    // Directory and models.

    private void answerDirectory(HttpServerExchange exchange) throws YuccagwException {
        Span span = services.tracer()
                .spanBuilder("directory")
                .setParent(TraceParent.read(exchange.getRequestHeaders().getFirst(TraceParent.HEADER)))
                .startSpan();
        try {
            DirectorySnapshot directory = services.snapshot()
                    .get()
                    .find(DirectorySnapshot.class)
                    .orElseThrow(() -> ErrorKind.NOT_READY.raise("has not started yet"));
            Deque<String> domain = exchange.getQueryParameters().get("domain");
            sendJson(exchange, DirectoryAnswer.of(directory, domain == null ? "" : domain.getFirst()));
        } finally {
            span.end();
        }
    }

    private static void answerModels(HttpServerExchange exchange, Catalogue catalogue) {
        com.fasterxml.jackson.databind.node.ObjectNode answer = JSON.createObjectNode();
        answer.put("object", "list");
        com.fasterxml.jackson.databind.node.ArrayNode data = answer.putArray("data");
        for (Service service : catalogue.services().values()) {
            if (service.model().isPresent()) {
                data.addObject()
                        .put("id", service.name().value())
                        .put("object", "model")
                        .put("owned_by", service.owner());
            }
        }
        sendJson(exchange, answer.toString());
    }

    private static void sendJson(HttpServerExchange exchange, String body) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(body);
    }

    // Requests.

    private void handleCompletion(HttpServerExchange exchange, Catalogue catalogue, Workspace workspace, byte[] bytes)
            throws YuccagwException {
        String path = exchange.getRequestPath();
        CompletionBody body = CompletionBody.read(bytes, path.equals(CHAT));
        Service service = modelService(catalogue, body.model());
        CallTarget target = new CallTarget(
                workspace, service, classOf(catalogue, workspace, service), Optional.of(body), Optional.empty());
        RequestId request = RequestIds.next();
        RequestProfile profile = profile(exchange, catalogue, target, request, path, bytes, body.isStreamed());
        CompletionFormat format = new CompletionFormat("cmpl-" + request, body.model(), body.isChat());
        CallerAnswer.Form form = body.isStreamed() ? CallerAnswer.Form.STREAM : CallerAnswer.Form.WHOLE;
        start(exchange, profile, target, form, Optional.of(format), CallerRun::begin);
    }

    private void handlePlainService(HttpServerExchange exchange, Catalogue catalogue, Workspace workspace)
            throws YuccagwException {
        String path = exchange.getRequestPath();
        int slashIndex = path.indexOf('/', 1);
        String name = path.substring(1, slashIndex < 0 ? path.length() : slashIndex);
        String servicePath = slashIndex < 0 ? "/" : path.substring(slashIndex);
        Service service = name.isBlank()
                ? null
                : catalogue
                        .service(ServiceName.of(name))
                        .filter(found -> found.model().isEmpty())
                        .orElse(null);
        if (service == null) {
            throw ErrorKind.UNKNOWN_PATH.raise(path);
        }
        String query = exchange.getQueryString().isEmpty() ? "" : "?" + exchange.getQueryString();
        withBody(exchange, bytes -> {
            PlainRequest plainRequest = new PlainRequest(
                    exchange.getRequestMethod().toString(), servicePath + query, exchange.getRequestHeaders(), bytes);
            CallTarget target = new CallTarget(
                    workspace,
                    service,
                    classOf(catalogue, workspace, service),
                    Optional.empty(),
                    Optional.of(plainRequest));
            RequestProfile profile = profile(exchange, catalogue, target, RequestIds.next(), servicePath, bytes, true);
            start(exchange, profile, target, CallerAnswer.Form.PLAIN, Optional.empty(), CallerRun::begin);
        });
    }

    /** Starts a run whose answer is ready to be written. */
    private interface RunStarter {
        void begin(CallerRun run, CallerAnswer answer);
    }

    private void start(
            HttpServerExchange exchange,
            RequestProfile profile,
            CallTarget target,
            CallerAnswer.Form form,
            Optional<CompletionFormat> format,
            RunStarter starter) {
        Span span = services.tracer()
                .spanBuilder("request")
                .setParent(TraceParent.read(exchange.getRequestHeaders().getFirst(TraceParent.HEADER)))
                .setAttribute(Traces.REQUEST, profile.request().value())
                .setAttribute(Traces.WORKSPACE, profile.workspace().value())
                .startSpan();
        String authorization = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        CallerRun run = CallerRun.of(services, exchange.getIoThread(), profile, target, span, authorization);
        CallerResponse response = new CallerResponse(exchange, run);
        starter.begin(
                run, new CallerAnswer(response, form, format, profile.request().value()));
    }

    private RequestProfile profile(
            HttpServerExchange exchange,
            Catalogue catalogue,
            CallTarget target,
            RequestId request,
            String path,
            byte[] body,
            boolean streamed)
            throws YuccagwException {
        String method = exchange.getRequestMethod().toString();
        Service service = target.service();
        boolean idempotent = !service.isNonIdempotent(method, path);
        Optional<IdempotencyKey> key = idempotencyKey(exchange);
        if (!idempotent && key.isEmpty()) {
            throw ErrorKind.MISSING_IDEMPOTENCY_KEY.raise(method + " " + exchange.getRequestPath());
        }
        Workspace workspace = target.workspace();
        Optional<Claim> claim = key.map(idempotencyKey -> new Claim(
                workspace.id(),
                idempotencyKey,
                BodyHash.of(service.name(), method, path, body),
                request,
                services.self().entry()));
        return new RequestProfile(
                request,
                workspace.id(),
                service.name(),
                service.model().isPresent(),
                idempotent,
                streamed,
                claim,
                PromptFingerprint.of(workspace.id(), body),
                target.sharedParts(),
                target.requestClass().answerDeadline(),
                catalogue.system().resumeGrace(),
                Optional.empty());
    }

    private static Optional<IdempotencyKey> idempotencyKey(HttpServerExchange exchange) throws YuccagwException {
        String text = exchange.getRequestHeaders().getFirst(IDEMPOTENCY_KEY);
        if (text == null) {
            return Optional.empty();
        }
        if (text.isEmpty() || text.length() > MAX_IDEMPOTENCY_KEY_LENGTH) {
            throw ErrorKind.WRONG_IDEMPOTENCY_KEY.raise("has " + text.length() + " characters, expected 1 to 255");
        }
        if (!CharMatcher.inRange('!', '~').matchesAllOf(text)) {
            throw ErrorKind.WRONG_IDEMPOTENCY_KEY.raise("has characters other than visible ASCII");
        }
        return Optional.of(IdempotencyKey.of(text));
    }

    private static Service modelService(Catalogue catalogue, String model) throws YuccagwException {
        return catalogue
                .service(ServiceName.of(model))
                .filter(service -> service.model().isPresent())
                .orElseThrow(() -> ErrorKind.UNKNOWN_MODEL.raise(model));
    }

    private static RequestClass classOf(Catalogue catalogue, Workspace workspace, Service service)
            throws YuccagwException {
        String name = service.className().isBlank() ? workspace.className() : service.className();
        return catalogue.requestClass(name).orElseThrow(() -> ErrorKind.INTERNAL.raise("no class '" + name + "'"));
    }

    // Resume, relay of running requests, prefetch.

    private void resume(HttpServerExchange exchange, Catalogue catalogue, Workspace workspace) throws YuccagwException {
        if (exchange.getRequestMethod().toString().equals("POST")) {
            withBody(exchange, body -> {
                JsonNode resumeBody = parseResumeBody(body);
                startResumed(
                        exchange,
                        catalogue,
                        workspace,
                        ResumeRequest.of(resumeBody, services.settings().tokenKeys()));
            });
            return;
        }
        ResumeRequest resumeRequest = ResumeRequest.of(
                exchange.getQueryParameters(), services.settings().tokenKeys());
        exchange.dispatch(io.undertow.util.SameThreadExecutor.INSTANCE, () -> {
            try {
                startResumed(exchange, catalogue, workspace, resumeRequest);
            } catch (YuccagwException e) {
                ErrorAnswers.send(exchange, e);
            }
        });
    }

    private static JsonNode parseResumeBody(byte[] body) throws YuccagwException {
        try {
            return JSON.readTree(body);
        } catch (IOException e) {
            throw ErrorKind.MALFORMED_BODY.raiseFrom(e, "not readable");
        }
    }

    private void startResumed(
            HttpServerExchange exchange, Catalogue catalogue, Workspace workspace, ResumeRequest resumeRequest)
            throws YuccagwException {
        ResumeToken token = resumeRequest.token();
        if (!token.workspace().equals(workspace.id())) {
            throw ErrorKind.WRONG_RESUME_TOKEN.raise("belongs to another workspace");
        }
        Service service = modelService(catalogue, token.service().value());
        CallTarget target = new CallTarget(
                workspace, service, classOf(catalogue, workspace, service), resumeRequest.body(), Optional.empty());
        RequestProfile.ResumePoint resumePoint = new RequestProfile.ResumePoint(
                token.endpoint(),
                token.stream(),
                WeightVersion.of(token.version()),
                token.software(),
                resumeRequest.from(),
                resumeRequest.text());
        RequestProfile profile = new RequestProfile(
                RequestIds.next(),
                workspace.id(),
                service.name(),
                true,
                !service.isNonIdempotent("POST", token.chat() ? CHAT : COMPLETIONS),
                true,
                Optional.empty(),
                resumeRequest.fingerprint(workspace.id()),
                target.sharedParts(),
                target.requestClass().answerDeadline(),
                catalogue.system().resumeGrace(),
                Optional.of(resumePoint));
        CompletionFormat format =
                new CompletionFormat("cmpl-" + token.request(), service.name().value(), token.chat());
        EndpointStatus endpoint = endpointOf(token, service);
        start(
                exchange,
                profile,
                target,
                CallerAnswer.Form.STREAM,
                Optional.of(format),
                (run, answer) -> run.beginResumed(answer, endpoint));
    }

    private EndpointStatus endpointOf(ResumeToken token, Service service) {
        Optional<EndpointStatus> known = services.snapshot()
                .get()
                .find(EndpointsSnapshot.class)
                .flatMap(endpoints -> endpoints.find(token.endpoint()))
                .filter(endpoint -> endpoint.incarnation() == token.incarnation());
        return known.orElseGet(() -> new EndpointStatus(
                token.endpoint(),
                VmId.of(token.endpoint().value()),
                token.incarnation(),
                service.pool(),
                token.address(),
                FailureDomain.of("unknown"),
                false,
                Optional.of(WeightVersion.of(token.version())),
                token.software().orElse(SoftwareVersion.UNSTATED)));
    }

    private void relayRun(HttpServerExchange exchange, Workspace workspace, RequestId request) {
        Deque<String> formParameter = exchange.getQueryParameters().get("form");
        CallerAnswer.Form form =
                formParameter == null ? CallerAnswer.Form.STREAM : CallerAnswer.Form.valueOf(formParameter.getFirst());
        exchange.dispatch(io.undertow.util.SameThreadExecutor.INSTANCE, () -> {
            CallerResponse response = new CallerResponse(exchange, CallerResponse.NO_FLOW_CONTROL);
            Optional<CompletionFormat> format = services.runs().find(request).flatMap(CallerRun::format);
            CallerAnswer answer = new CallerAnswer(response, form, format, request.value());
            AnswerRelay.of(services, workspace, answer, exchange.getIoThread()).relayLocalRun(request);
        });
    }

    private void prefetch(HttpServerExchange exchange, Catalogue catalogue, Workspace workspace, byte[] bytes)
            throws YuccagwException {
        boolean chat;
        try {
            chat = JSON.readTree(bytes).has("messages");
        } catch (IOException e) {
            throw ErrorKind.MALFORMED_BODY.raiseFrom(e, "not readable");
        }
        CompletionBody body = CompletionBody.read(bytes, chat);
        Service service = modelService(catalogue, body.model());
        services.control().offer(prefetcher.prefetch(workspace, service, body));
        exchange.setStatusCode(202);
        sendJson(exchange, "{\"accepted\":true}");
    }
}
