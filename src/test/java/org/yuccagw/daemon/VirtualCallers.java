package org.yuccagw.daemon;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.core.deployment.Deployment;
import org.yuccagw.core.deployment.Route;
import org.yuccagw.core.forward.ForwardRequest;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.placing.AttemptEnded;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.placing.PlacementRequest;
import org.yuccagw.core.placing.StreamContinuation;
import org.yuccagw.core.prompt.PromptPart;
import org.yuccagw.core.prompt.PromptShape;
import org.yuccagw.standins.platform.PlatformDocuments;

/**
 * Callers of a whole fleet of entries in virtual time. Each request is driven by the request machine of its entry and
 * served by endpoints that pause.
 */
final class VirtualCallers {
    /** Streams that may be resumed, whose events may be 200 ms apart. */
    static final String RESUMABLE = "/model/";
    /** Streams that may be resumed, whose events may be 400 ms apart, so that their callers wait for 3.2 s. */
    static final String PATIENT = "/patient/";
    /** Streams that may be resumed at two other endpoints, one after the other. */
    static final String THRICE = "/thrice/";
    /** Streams that may run once. */
    static final String ONCE = "/once/";
    /** Idempotent calls. */
    static final String READ = "/read/";
    /** Calls that may run once. */
    static final String WRITE = "/write/";

    static final List<String> ALL_ROUTES = ImmutableList.of(RESUMABLE, PATIENT, THRICE, ONCE, READ, WRITE);

    /** Number of events of a streamed answer. */
    static final int STREAM_EVENTS = 24;

    private static final int STREAM_TIMEOUT_MILLIS = 12_000;
    private static final int CALL_TIMEOUT_MILLIS = 4_000;
    private static final int ATTEMPTS = 2;
    private static final int MORE_ATTEMPTS = 3;
    private static final int PATIENT_GAP_MILLIS = 400;
    private static final int CALL_EVENTS = 4;
    private static final int PROMPT_TOKENS = 900;
    private static final int SMALL_ANSWER_TOKENS = 50;
    private static final Duration BUDGET_CHECK_INTERVAL = Duration.ofMillis(150);

    /** Longer than any route timeout, so that all requests have ended. */
    private static final Duration END_TIME = Duration.ofMillis(STREAM_TIMEOUT_MILLIS + 1_000);

    final VirtualLoad load;
    final List<PausingEndpoint> engines = new ArrayList<>();
    final List<PausingEndpoint> plain = new ArrayList<>();
    final List<VirtualCaller> callers = new ArrayList<>();
    private final Map<EndpointId, PausingEndpoint> endpoints = new LinkedHashMap<>();
    private final SplittableRandom random;
    private int answerTokens = SMALL_ANSWER_TOKENS;
    private double lostConnections;
    private long nextRequest = 1;

    private VirtualCallers(VirtualLoad load, long seed) {
        this.load = load;
        this.random = new SplittableRandom(seed);
    }

    /** Starts entries, and as many engines and plain endpoints each as given. */
    static VirtualCallers start(int entries, int endpointsOfEach, long seed) {
        VirtualCallers callers = new VirtualCallers(VirtualLoad.start(entries, endpointsOfEach), seed);
        callers.configure();
        for (int index = 0; index < endpointsOfEach; index++) {
            callers.engines.add(callers.register("engine-" + index));
            callers.load.fleet.addPlain("plain-" + index);
            callers.plain.add(callers.register("plain-" + index));
        }
        callers.runFor(Duration.ofSeconds(2));
        return callers;
    }

    private void configure() {
        load.fleet
                .bench
                .keyValue()
                .put(
                        PlatformDocuments.CONFIGURATION,
                        PlatformDocuments.configuration(2)
                                .route(RESUMABLE, "streaming", "engines", STREAM_TIMEOUT_MILLIS, ATTEMPTS)
                                .resumable()
                                .route(PATIENT, "streaming", "engines", STREAM_TIMEOUT_MILLIS, ATTEMPTS)
                                .resumable()
                                .eventGap(PATIENT_GAP_MILLIS)
                                .route(THRICE, "streaming", "engines", STREAM_TIMEOUT_MILLIS, MORE_ATTEMPTS)
                                .resumable()
                                .route(ONCE, "streaming", "engines", STREAM_TIMEOUT_MILLIS, ATTEMPTS)
                                .route(READ, "idempotent", "plain", CALL_TIMEOUT_MILLIS, ATTEMPTS)
                                .route(WRITE, "non_idempotent", "plain", CALL_TIMEOUT_MILLIS, ATTEMPTS)
                                .engines("engines", VirtualFleet.MODEL)
                                .plain("plain")
                                .bytes());
    }

    /** Registers a further engine. */
    PausingEndpoint addEngine(String id, FailureDomain domain) {
        load.fleet.addEngine(id, domain, Duration.ZERO);
        PausingEndpoint engine = register(id);
        engines.add(engine);
        return engine;
    }

    private PausingEndpoint register(String id) {
        PausingEndpoint endpoint = new PausingEndpoint(load.fleet.bench.time(), id);
        endpoints.put(EndpointId.of(id), endpoint);
        return endpoint;
    }

    /** Sets the answer tokens that further prompts reserve; large numbers leave engines without free capacity. */
    void setAnswerTokens(int tokens) {
        answerTokens = tokens;
    }

    /** Sets the share of further requests whose first connection falls silent for good, at a random event. */
    void setLostConnections(double share) {
        lostConnections = share;
    }

    void runFor(Duration duration) {
        load.fleet.bench.runFor(duration);
    }

    /** Runs until all requests must have ended. */
    void runToEnd() {
        runFor(END_TIME);
    }

    /** Sends requests of the routes at random entries, one in each interval, without waiting for them. */
    void send(List<String> paths, int count, Duration interval) {
        for (int index = 0; index < count; index++) {
            load.fleet.bench.time().after(interval.multipliedBy(index), () -> {
                int drawn = random.nextInt(paths.size());
                send(paths.get(drawn));
            });
        }
    }

    private void send(String path) {
        VirtualCaller caller = caller(path);
        if (lostConnections > 0 && random.nextDouble() < lostConnections) {
            caller.loseFirstConnectionBefore(random.nextInt(STREAM_EVENTS + 2) - 1);
        }
        caller.begin();
    }

    /** Adds a caller whose request isn't sent yet. */
    VirtualCaller caller(String path) {
        return caller(path, ImmutableList.of());
    }

    /** Adds a caller whose prompt begins with the given parts, through a random entry that runs. */
    VirtualCaller caller(String path, ImmutableList<PromptPart> sharedParts) {
        List<BenchNode> running =
                load.nodes.stream().filter(node -> !node.isDead()).toList();
        BenchNode node = running.get(random.nextInt(running.size()));
        Route route = routeOf(node, path);
        long number = nextRequest++;
        ForwardRequest request = new ForwardRequest(
                RequestId.of("c" + number),
                route,
                route.selectService(0),
                Optional.empty(),
                promptOf(route, number, sharedParts),
                route.timeout(),
                "c" + number,
                ForwardRequest.FROM_START,
                Optional.empty());
        int events = route.streamed() ? STREAM_EVENTS : CALL_EVENTS;
        VirtualCaller caller = VirtualCaller.of(load.fleet.bench.time(), node, endpoints, request, events);
        callers.add(caller);
        return caller;
    }

    private static Route routeOf(BenchNode node, String path) {
        return node.state(Deployment.class)
                .orElseThrow()
                .route("a.example", path + "x")
                .orElseThrow();
    }

    private Optional<PromptShape> promptOf(Route route, long number, ImmutableList<PromptPart> sharedParts) {
        if (!route.streamed()) {
            return Optional.empty();
        }
        int sharedTokens = sharedParts.stream().mapToInt(PromptPart::tokens).sum();
        PromptPart own = new PromptPart("own-" + number, PROMPT_TOKENS - sharedTokens);
        ImmutableList<PromptPart> parts =
                ImmutableList.<PromptPart>builder().addAll(sharedParts).add(own).build();
        return Optional.of(new PromptShape(VirtualFleet.MODEL, PROMPT_TOKENS, answerTokens, parts));
    }

    /** Spends the retry budgets of all entries, and again whenever requests have added to them. */
    void spendRetryBudgets(Duration duration) {
        long endNanos = load.now() + duration.toNanos();
        load.nodes.forEach(node -> {
            spendRetryBudget(node, RESUMABLE, endNanos);
            spendRetryBudget(node, READ, endNanos);
        });
    }

    private void spendRetryBudget(BenchNode node, String path, long endNanos) {
        if (load.now() >= endNanos) {
            return;
        }
        Route route = routeOf(node, path);
        long number = nextRequest++;
        node.offer(new PlacementRequest(
                RequestId.of("s" + number),
                route,
                route.selectService(0),
                Optional.empty(),
                promptOf(route, number, ImmutableList.of()),
                "s" + number,
                ImmutableSet.of(),
                PlacementRequest.Kind.REPEAT,
                StreamContinuation.NONE,
                route.timeout().toMillis(),
                decision -> load.fleet.bench.time().after(Duration.ZERO, () -> {
                    if (decision instanceof PlacementDecision.Placed placed) {
                        node.offer(new AttemptEnded(placed.ticket(), AttemptEnded.End.LEFT));
                        spendRetryBudget(node, path, endNanos);
                    } else {
                        load.fleet
                                .bench
                                .time()
                                .after(BUDGET_CHECK_INTERVAL, () -> spendRetryBudget(node, path, endNanos));
                    }
                })));
    }

    // ---- Results

    long count(VirtualCaller.Outcome outcome) {
        return callers.stream().filter(caller -> caller.outcome() == outcome).count();
    }

    int delayedAt(PausingEndpoint.Position position) {
        return endpoints.values().stream()
                .mapToInt(endpoint -> endpoint.delayedAt(position))
                .sum();
    }

    /** Returns the broken promises of all requests, each with the history of its request. */
    List<String> violations() {
        List<String> all = new ArrayList<>();
        callers.forEach(
                caller -> caller.violations().forEach(violation -> all.add(violation + " | " + caller.trace())));
        return all;
    }
}
