package org.yuccagw.adapters.serving;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpContinue;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.xnio.Options;
import org.xnio.XnioWorker;
import org.yuccagw.adapters.http.BodyReader;
import org.yuccagw.adapters.settings.GatewaySettings;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.deployment.Deployment;
import org.yuccagw.core.deployment.DomainRegions;
import org.yuccagw.core.deployment.Route;
import org.yuccagw.core.deployment.WorkspaceAccess;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.follow.FollowSnapshot;
import org.yuccagw.core.forward.ForwardRequest;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.peers.DirectoryChoice;
import org.yuccagw.core.peers.PeersSnapshot;

/**
 * HTTP server on the three addresses of an entry: callers, readiness and directory.
 *
 * <p>A request is read completely before it is placed. A request whose body never arrives therefore uses no capacity of
 * an endpoint, and a second attempt can send the same bytes.
 */
public final class ServingServer {
    /** Larger than any limit that operators configure. The configured limit is checked for each request. */
    private static final int MAX_HEADER_BYTES = 64 * 1024;

    private static final int HEADER_TIMEOUT_MILLIS = 5_000;

    /** Callers reuse connections that were idle for up to four fifths of the configured idle timeout. */
    private static final int IDLE_TIMEOUT_MILLIS = 75_000;

    /** The strictest limit on the delay of a change: an older copy may lack a route or key that is in force. */
    private static final Duration MAX_DENIAL_AGE = Duration.ofSeconds(2);

    /** Errors that state what the configuration doesn't contain. */
    private static final ImmutableSet<ErrorKind> DENIALS =
            Sets.immutableEnumSet(ErrorKind.UNKNOWN_ROUTE, ErrorKind.MISSING_KEY, ErrorKind.WRONG_KEY);

    private static final Duration NOT_READY_RETRY_DELAY = Duration.ofMillis(300);
    private static final String METRICS_PATH = "/metrics";

    private final ServingServices services;
    private final ActiveRequests activeRequests;
    private final Undertow server;
    private final DomainRegions regions;
    private volatile boolean closingConnections;
    private volatile boolean refusingNewStreams;
    private volatile boolean refusingNewRequests;
    private volatile Optional<Long> endNanos = Optional.empty();

    private ServingServer(
            ServingServices services, GatewaySettings settings, XnioWorker worker, ActiveRequests activeRequests) {
        this.services = services;
        this.activeRequests = activeRequests;
        this.regions = settings.regions();
        this.server = Undertow.builder()
                .setWorker(worker)
                .setSocketOption(Options.TCP_NODELAY, true)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEADER_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.DECODE_URL, false)
                .setServerOption(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .addHttpListener(settings.callers().port(), settings.callers().host(), this::handleRequest)
                .addHttpListener(
                        settings.readiness().port(), settings.readiness().host(), this::handleReadiness)
                .addHttpListener(
                        settings.directory().port(), settings.directory().host(), this::handleDirectory)
                .build();
    }

    /** Starts a server on all three addresses, on the I/O threads of the worker. */
    public static ServingServer start(
            ServingServices services, GatewaySettings settings, XnioWorker worker, ActiveRequests activeRequests) {
        ServingServer servingServer = new ServingServer(services, settings, worker, activeRequests);
        servingServer.server.start();
        return servingServer;
    }

    /** Closes connections after their answers from now on, so that callers connect to other entries. */
    public void closeConnectionsAfterAnswers() {
        closingConnections = true;
    }

    /** Refuses new streams from now on as not run, because they may outlast the time left until the stop. */
    public void refuseNewStreams() {
        refusingNewStreams = true;
    }

    /**
     * Refuses new requests from now on as not run if they may last beyond the end of the grace time.
     *
     * @param graceEndNanos monotonic time at which all requests are ended
     */
    public void refuseRequestsBeyond(long graceEndNanos) {
        endNanos = Optional.of(graceEndNanos);
    }

    /** Refuses new requests from now on as not run. */
    public void refuseNewRequests() {
        refusingNewRequests = true;
    }

    public void stop() {
        server.stop();
    }

    // Requests.

    private void handleRequest(HttpServerExchange exchange) {
        if (closingConnections) {
            exchange.setPersistent(false);
        }
        try {
            begin(exchange);
        } catch (YuccagwException error) {
            logRefusal(exchange, error);
            if (error.kind() == ErrorKind.MALFORMED_HEAD) {
                exchange.setPersistent(false);
            }
            ServingRun.sendError(exchange, services.protocol(), withheldIfUnconfirmed(error));
        }
    }

    private void begin(HttpServerExchange exchange) throws YuccagwException {
        if (refusingNewRequests) {
            throw stopping();
        }
        Deployment deployment = requireConfirmedDeployment();
        CallerHead head = services.protocol().readCallerHead(exchange.getRequestHeaders());
        if (exchange.isHostIncludedInRequestURI()) {
            throw ErrorKind.MALFORMED_HEAD.raise("names a host in its path");
        }
        Route route =
                deployment.route(head.host(), exchange.getRequestURI()).orElseThrow(ErrorKind.UNKNOWN_ROUTE::raise);
        Optional<WorkspaceAccess> workspace = workspaceOf(deployment, route, head);
        if (isRefusedByStop(route, head)) {
            throw stopping();
        }
        if (HttpContinue.requiresContinueResponse(exchange)) {
            HttpContinue.sendContinueResponse(exchange, new IoCallback() {
                @Override
                public void onComplete(HttpServerExchange continued, Sender sender) {
                    readBody(continued, deployment, head, route, workspace);
                }

                @Override
                public void onException(HttpServerExchange failed, Sender sender, IOException cause) {
                    failed.endExchange();
                }
            });
        } else {
            readBody(exchange, deployment, head, route, workspace);
        }
    }

    private static YuccagwException stopping() {
        return ErrorKind.STOPPING.raise().withRetryAfter(Duration.ZERO);
    }

    private boolean isRefusedByStop(Route route, CallerHead head) {
        return refusingNewRequests || (refusingNewStreams && route.streamed()) || mayOutlastStop(route, head);
    }

    private boolean mayOutlastStop(Route route, CallerHead head) {
        Duration timeout = Comparators.min(route.timeout(), head.timeout().orElse(route.timeout()));
        return endNanos.isPresent() && System.nanoTime() + timeout.toNanos() - endNanos.get() > 0;
    }

    private void readBody(
            HttpServerExchange exchange,
            Deployment deployment,
            CallerHead head,
            Route route,
            Optional<WorkspaceAccess> workspace) {
        BodyReader.of(
                        deployment.limits().bodyBytes(),
                        deployment.limits().headerTimeout().toMillis())
                .read(exchange, body -> startRun(exchange, head, route, workspace, body));
    }

    private void startRun(
            HttpServerExchange exchange,
            CallerHead head,
            Route route,
            Optional<WorkspaceAccess> workspace,
            byte[] body) {
        if (isRefusedByStop(route, head)) {
            // The time of a request counts from the end of its body, which may have come long after its head.
            logRefusal(exchange, stopping());
            exchange.setPersistent(false);
            ServingRun.sendError(exchange, services.protocol(), stopping());
            return;
        }
        ForwardRequest request = new ForwardRequest(
                head.id(),
                route,
                route.selectService(ThreadLocalRandom.current().nextDouble()),
                workspace,
                head.prompt(),
                head.timeout().orElse(route.timeout()),
                fingerprint(exchange, head, body),
                head.afterEvent(),
                head.resumes());
        logTakenUp(head);
        ServingRun.begin(services, exchange, head, request, body, activeRequests);
    }

    private void logTakenUp(CallerHead head) {
        if (head.resumes().isPresent() || head.afterEvent() != ForwardRequest.FROM_START) {
            services.decisions()
                    .write(Decision.of("taken-up")
                            .with("request", head.id())
                            .with(
                                    "resumes",
                                    head.resumes().map(RequestId::value).orElse(""))
                            .with("after_event", head.afterEvent()));
        }
    }

    /**
     * Returns the configuration if it may be used.
     *
     * <p>Where revoked keys must stop working even on an entry that is partitioned from the others, a configuration
     * that has not been confirmed for too long is treated as missing.
     *
     * @throws YuccagwException of kind NOT_READY
     */
    private Deployment requireConfirmedDeployment() throws YuccagwException {
        if (!services.control().isProgressing()) {
            throw ErrorKind.NOT_READY.raise("can't place requests").withRetryAfter(NOT_READY_RETRY_DELAY);
        }
        Deployment deployment = services.snapshot()
                .get()
                .find(Deployment.class)
                .orElseThrow(() ->
                        ErrorKind.NOT_READY.raise("has no configuration yet").withRetryAfter(NOT_READY_RETRY_DELAY));
        if (services.maxUnconfirmedKeyAge().isPresent()) {
            long ageNanos = System.nanoTime() - followSnapshot().confirmedNanos();
            if (ageNanos > services.maxUnconfirmedKeyAge().get().toNanos()) {
                throw unconfirmed();
            }
        }
        return deployment;
    }

    private static YuccagwException unconfirmed() {
        return ErrorKind.NOT_READY.raise("could not confirm its configuration").withRetryAfter(NOT_READY_RETRY_DELAY);
    }

    /**
     * Returns the error for the caller: a route or key that is missing here may be in force if this entry's copy of the
     * configuration hasn't been confirmed for a while, and another entry may know it.
     */
    private YuccagwException withheldIfUnconfirmed(YuccagwException error) {
        boolean confirmed = followSnapshot()
                .age(System.nanoTime())
                .filter(age -> age.compareTo(MAX_DENIAL_AGE) <= 0)
                .isPresent();
        return DENIALS.contains(error.kind()) && !confirmed ? unconfirmed() : error;
    }

    private FollowSnapshot followSnapshot() {
        return services.snapshot().get().find(FollowSnapshot.class).orElse(FollowSnapshot.none());
    }

    private static Optional<WorkspaceAccess> workspaceOf(Deployment deployment, Route route, CallerHead head)
            throws YuccagwException {
        if (!deployment.keysRequired() || route.open()) {
            return Optional.empty();
        }
        String key = head.bearerKey().orElseThrow(ErrorKind.MISSING_KEY::raise);
        return Optional.of(deployment.workspaceOf(key).orElseThrow(ErrorKind.WRONG_KEY::raise));
    }

    private static String fingerprint(HttpServerExchange exchange, CallerHead head, byte[] body) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        hasher.putString(head.bearerKey().orElse(""), StandardCharsets.UTF_8);
        hasher.putString(exchange.getRequestMethod().toString(), StandardCharsets.US_ASCII);
        hasher.putString(exchange.getRequestURI(), StandardCharsets.UTF_8);
        hasher.putString(exchange.getQueryString(), StandardCharsets.UTF_8);
        hasher.putBytes(body);
        return hasher.hash().toString();
    }

    private void logRefusal(HttpServerExchange exchange, YuccagwException error) {
        long version = services.snapshot()
                .get()
                .find(Deployment.class)
                .map(Deployment::version)
                .orElse(0L);
        FollowSnapshot follow = followSnapshot();
        services.decisions()
                .write(Decision.of("turned-away")
                        .with("path", exchange.getRequestURI())
                        .with("reason", error.kind().code())
                        .with("detail", error.getMessage())
                        .with("configuration", version)
                        .with("revision", follow.revision())
                        .with("confirmed_ms", confirmedMillis(follow))
                        .with("awaiting", follow.activity()));
    }

    private static String confirmedMillis(FollowSnapshot follow) {
        return follow.age(System.nanoTime())
                .map(age -> Long.toString(age.toMillis()))
                .orElse("never");
    }

    // Readiness and directory.

    private void handleReadiness(HttpServerExchange exchange) {
        if (exchange.getRequestURI().equals(METRICS_PATH)) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; version=0.0.4");
            exchange.getResponseSender()
                    .send(java.nio.ByteBuffer.wrap(services.metrics().exposition()));
            return;
        }
        PeersSnapshot peersSnapshot = peersSnapshot();
        boolean ready = services.protocol().isReadinessPath(exchange.getRequestURI())
                && peersSnapshot.ready()
                && services.control().isProgressing()
                && !closingConnections;
        exchange.setStatusCode(ready ? 200 : 503);
        exchange.endExchange();
    }

    private void handleDirectory(HttpServerExchange exchange) {
        if (!services.protocol().isDirectoryPath(exchange.getRequestURI())) {
            exchange.setStatusCode(404);
            exchange.endExchange();
            return;
        }
        Deque<String> domain =
                exchange.getQueryParameters().get(services.protocol().domainParameter());
        List<EntryContact> directoryEntries = new ArrayList<>(DirectoryChoice.choose(
                peersSnapshot().serving(),
                domain == null ? Optional.empty() : Optional.of(FailureDomain.of(domain.getFirst())),
                regions,
                ThreadLocalRandom.current().nextInt()));
        if (directoryEntries.isEmpty() || !services.control().isProgressing()) {
            exchange.setStatusCode(503);
            exchange.endExchange();
            return;
        }
        Collections.shuffle(directoryEntries, ThreadLocalRandom.current());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender()
                .send(services.protocol().directoryBody(directoryEntries, services.directoryTimeToLive()));
    }

    private PeersSnapshot peersSnapshot() {
        return services.snapshot().get().find(PeersSnapshot.class).orElse(PeersSnapshot.none());
    }
}
