package org.yuccagw.daemon;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.yuccagw.adapters.settings.GatewaySettings;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.bench.control.ControlBench;
import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.control.ControlInput;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.deployment.Deployment;
import org.yuccagw.core.deployment.DomainRegions;
import org.yuccagw.core.deployment.Route;
import org.yuccagw.core.duty.EngineAnswer;
import org.yuccagw.core.duty.EngineCall;
import org.yuccagw.core.duty.EngineState;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.Region;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.placing.ColdBounds;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.placing.PlacementRequest;
import org.yuccagw.core.placing.RetryBounds;
import org.yuccagw.core.placing.StreamContinuation;
import org.yuccagw.core.prompt.PromptPart;
import org.yuccagw.core.prompt.PromptShape;
import org.yuccagw.platform.PlatformRecords;
import org.yuccagw.standins.platform.PlatformDocuments;

/**
 * Entries with all their control components in virtual time, in front of engines and plain endpoints that exist as
 * registrations and as answers to orders.
 */
final class VirtualFleet {
    static final String MODEL = "model";
    static final Duration SEPARATION = Duration.ofSeconds(3);
    static final Duration WEIGHT_CHANGE_LIMIT = Duration.ofSeconds(8);

    static final FailureDomain NORTHERN = FailureDomain.of("ulemiste");
    static final FailureDomain SOUTHERN = FailureDomain.of("kadaka");
    private static final DomainRegions REGIONS =
            new DomainRegions(ImmutableMap.of(NORTHERN, Region.of("north"), SOUTHERN, Region.of("south")));

    private static final int COLD_SECONDS = 3;
    static final Duration COLD_DURATION = Duration.ofSeconds(COLD_SECONDS);
    static final double COLD_REQUESTS_PER_SECOND = 9.8;
    /** As registered for every plain endpoint. */
    static final int PLAIN_SLOTS = 4;

    static final ColdBounds COLD_BOUNDS = new ColdBounds(1.5, 5);

    private static final Duration LOAD_TIME = Duration.ofMillis(420);
    private static final long RESTART_INTERVAL_MILLIS = 1_000;
    private static final NetworkAddress UNUSED_ADDRESS = NetworkAddress.of("127.0.0.1", 9);

    private static final long USUAL_SEED = 5;

    final ControlBench bench;
    final List<Order> orders = new ArrayList<>();
    final List<StateQuery> stateQueries = new ArrayList<>();
    final Map<EndpointId, Long> weights = new LinkedHashMap<>();
    private final Map<EntryId, GatewayComponents> started = new LinkedHashMap<>();
    private final Map<EndpointId, Long> acceptedOrders = new LinkedHashMap<>();
    private final Map<EndpointId, Boolean> loading = new LinkedHashMap<>();
    private final Map<EndpointId, FailureDomain> domains = new LinkedHashMap<>();
    private final Map<EndpointId, Long> starts = new LinkedHashMap<>();
    private final Map<EndpointId, String> software = new LinkedHashMap<>();
    private int orderAnswersToLose;
    private boolean ordersDropped;
    private boolean stateAnswersDropped;
    private long nextRequest = 1;

    /** An order that arrived at an engine. */
    record Order(EntryId from, EndpointIncarnation engine, long fence, long atNanos) {}

    /** A query for the state of an engine. */
    record StateQuery(EntryId from, EndpointIncarnation engine, long atNanos) {}

    VirtualFleet() {
        this(USUAL_SEED);
    }

    VirtualFleet(long seed) {
        bench = ControlBench.of(seed);
        bench.onAction(this::handleAction);
    }

    BenchNode start(String name) {
        return start(name, NORTHERN);
    }

    BenchNode start(String name, FailureDomain domain) {
        GatewayComponents components = GatewayComponents.of(settings(name, domain), PlatformRecords.create());
        started.put(EntryId.of(name), components);
        return bench.start(name, domain, components.inEventOrder());
    }

    /** Returns the leads of the failure domain of an entry, by its own view. */
    List<EntryId> leadsKnownTo(BenchNode node) {
        return started.get(node.entry()).ownLeads();
    }

    /** Returns whether an endpoint may be used by the view of an entry. */
    boolean isUsable(BenchNode node, String endpoint) {
        return started.get(node.entry())
                .isUsable(EndpointIncarnation.of(EndpointId.of(endpoint), PlatformDocuments.FIRST_START_MILLIS));
    }

    /** Returns the number of engines that load weights, or take no new requests since they are about to. */
    int enginesOutOfUse() {
        return started.values().stream()
                .mapToInt(components -> components.loading().size())
                .max()
                .orElse(0);
    }

    /** Returns the number of requests that run on an endpoint by the view of an entry. */
    int requestsOn(BenchNode node, String endpoint) {
        return started.get(node.entry()).requestsOn(EndpointId.of(endpoint));
    }

    static EntryContact contactOf(BenchNode node) {
        return EntryContact.of(node.identity());
    }

    void configure(long version) {
        bench.keyValue()
                .put(
                        PlatformDocuments.CONFIGURATION,
                        PlatformDocuments.configuration(version)
                                .route("/model/", "streaming", "engines", 5_000, 2)
                                .resumable()
                                .route("/plain/", "idempotent", "plain", 800, 2)
                                .engines("engines", MODEL)
                                .coldStart(COLD_SECONDS, COLD_REQUESTS_PER_SECOND)
                                .plain("plain")
                                .bytes());
    }

    void addEngine(String id) {
        addEngine(id, NORTHERN, Duration.ZERO);
    }

    /**
     * Registers an engine in a failure domain, cold for the given time or not at all; a later call registers it
     * again.
     */
    void addEngine(String id, FailureDomain domain, Duration cold) {
        EndpointId engine = EndpointId.of(id);
        weights.putIfAbsent(engine, 1L);
        starts.putIfAbsent(engine, PlatformDocuments.FIRST_START_MILLIS);
        domains.put(engine, domain);
        register(engine, cold);
    }

    /** Registers an engine whose software has the given version. */
    void addEngine(String id, FailureDomain domain, String version) {
        setSoftware(id, version);
        addEngine(id, domain, Duration.ZERO);
    }

    /** Sets the version of the software with which an engine registers from now on. */
    void setSoftware(String id, String version) {
        software.put(EndpointId.of(id), version);
    }

    String softwareOf(String id) {
        return software.get(EndpointId.of(id));
    }

    /** Removes the registration of an engine, while the engine continues to run. */
    void expireRegistration(String id) {
        bench.keyValue().remove(PlatformDocuments.endpointKey(id));
    }

    void evacuate(FailureDomain domain) {
        bench.keyValue().put(PlatformDocuments.evacuationKey(domain.value()), new byte[] {'{', '}'});
    }

    void endEvacuation(FailureDomain domain) {
        bench.keyValue().remove(PlatformDocuments.evacuationKey(domain.value()));
    }

    void addPlain(String id) {
        bench.keyValue()
                .put(
                        PlatformDocuments.endpointKey(id),
                        PlatformDocuments.endpoint("plain", UNUSED_ADDRESS, "ulemiste", false));
    }

    void markPlainLeaving(String id) {
        bench.keyValue()
                .put(
                        PlatformDocuments.endpointKey(id),
                        PlatformDocuments.endpoint("plain", UNUSED_ADDRESS, "ulemiste", true));
    }

    /** Restarts an engine under its id: the new start has accepted no orders and loads nothing. */
    void restartEngine(String id, long version) {
        EndpointId engine = EndpointId.of(id);
        starts.merge(engine, RESTART_INTERVAL_MILLIS, Long::sum);
        acceptedOrders.remove(engine);
        loading.remove(engine);
        weights.put(engine, version);
        register(engine);
    }

    void nameWeights(long version) {
        bench.keyValue().put(PlatformDocuments.weightsKey(MODEL), PlatformDocuments.weights(MODEL, version));
    }

    /** Drops the answers to all further queries for the state of engines. */
    void dropStateAnswers() {
        stateAnswersDropped = true;
    }

    /** Drops all further orders: they are neither executed nor answered. */
    void dropOrders() {
        ordersDropped = true;
    }

    /** Loses the answers of the next orders, which are executed. */
    void loseOrderAnswers(int count) {
        orderAnswersToLose = count;
    }

    boolean allEnginesRun(long version) {
        return weights.values().stream().allMatch(present -> present == version);
    }

    static long configurationOf(BenchNode node) {
        return node.state(Deployment.class).map(Deployment::version).orElse(0L);
    }

    /** Places a prompt of the given length that shares no part with another prompt, and runs until the decision. */
    PlacementDecision placeLongPrompt(BenchNode node, int tokens) {
        PromptShape prompt = new PromptShape(MODEL, tokens, 50, ImmutableList.of(new PromptPart("own", tokens)));
        return place(node, "/model/x", PlacementRequest.Kind.FIRST, "long", Optional.of(prompt));
    }

    /** Places a request through an entry and runs until the decision. */
    PlacementDecision place(BenchNode node, String path, PlacementRequest.Kind kind, String fingerprint) {
        Optional<PromptShape> prompt = path.startsWith("/model/")
                ? Optional.of(new PromptShape(
                        MODEL, 900, 50, ImmutableList.of(new PromptPart(fingerprint, 800), new PromptPart("own", 100))))
                : Optional.empty();
        return place(node, path, kind, fingerprint, prompt);
    }

    private PlacementDecision place(
            BenchNode node, String path, PlacementRequest.Kind kind, String fingerprint, Optional<PromptShape> prompt) {
        AtomicReference<PlacementDecision> decided = new AtomicReference<>();
        offerRequest(node, path, kind, fingerprint, prompt, decided::set);
        bench.runUntil(() -> decided.get() != null, Duration.ofSeconds(2));
        return decided.get();
    }

    /**
     * Requests the placement of a prompt of the given length that shares no part with another prompt, without
     * waiting for the decision.
     */
    void requestPlacement(BenchNode node, int tokens, Consumer<PlacementDecision> reply) {
        PromptShape prompt = new PromptShape(MODEL, tokens, 50, ImmutableList.of(new PromptPart("own", tokens)));
        offerRequest(node, "/model/x", PlacementRequest.Kind.FIRST, "f" + nextRequest, Optional.of(prompt), reply);
    }

    /** Requests the placement of a prompt that the excluded engines rejected. */
    void requestRetryPlacement(
            BenchNode node, int tokens, ImmutableSet<EndpointId> excluded, Consumer<PlacementDecision> reply) {
        PromptShape prompt = new PromptShape(MODEL, tokens, 50, ImmutableList.of(new PromptPart("own", tokens)));
        String fingerprint = "f" + nextRequest;
        offerRequest(node, "/model/x", PlacementRequest.Kind.REPEAT, fingerprint, Optional.of(prompt), excluded, reply);
    }

    /** Requests the placement of a call to the plain service. */
    void requestPlainPlacement(BenchNode node, PlacementRequest.Kind kind, Consumer<PlacementDecision> reply) {
        offerRequest(node, "/plain/x", kind, "f" + nextRequest, Optional.empty(), reply);
    }

    /** Requests the placement of a prompt that could not be sent to the excluded engines. */
    void requestUnsentPlacement(
            BenchNode node, int tokens, ImmutableSet<EndpointId> excluded, Consumer<PlacementDecision> reply) {
        PromptShape prompt = new PromptShape(MODEL, tokens, 50, ImmutableList.of(new PromptPart("own", tokens)));
        String fingerprint = "f" + nextRequest;
        offerRequest(node, "/model/x", PlacementRequest.Kind.UNSENT, fingerprint, Optional.of(prompt), excluded, reply);
    }

    /** Requests the placement of a stream that its caller takes up. */
    void takeUp(BenchNode node, RequestId begunBy, Consumer<PlacementDecision> reply) {
        PromptShape prompt = new PromptShape(MODEL, 900, 50, ImmutableList.of(new PromptPart("own", 900)));
        offerRequest(
                node,
                "/model/x",
                PlacementRequest.Kind.FIRST,
                "f" + nextRequest,
                Optional.of(prompt),
                ImmutableSet.of(),
                StreamContinuation.of(OptionalLong.empty(), Optional.of(begunBy)),
                reply);
    }

    private void offerRequest(
            BenchNode node,
            String path,
            PlacementRequest.Kind kind,
            String fingerprint,
            Optional<PromptShape> prompt,
            Consumer<PlacementDecision> reply) {
        offerRequest(node, path, kind, fingerprint, prompt, ImmutableSet.of(), reply);
    }

    private void offerRequest(
            BenchNode node,
            String path,
            PlacementRequest.Kind kind,
            String fingerprint,
            Optional<PromptShape> prompt,
            ImmutableSet<EndpointId> excluded,
            Consumer<PlacementDecision> reply) {
        offerRequest(node, path, kind, fingerprint, prompt, excluded, StreamContinuation.NONE, reply);
    }

    private void offerRequest(
            BenchNode node,
            String path,
            PlacementRequest.Kind kind,
            String fingerprint,
            Optional<PromptShape> prompt,
            ImmutableSet<EndpointId> excluded,
            StreamContinuation continuation,
            Consumer<PlacementDecision> reply) {
        Route route = node.state(Deployment.class)
                .orElseThrow()
                .route("a.example", path)
                .orElseThrow();
        node.offer(new PlacementRequest(
                RequestId.of("r" + nextRequest++),
                route,
                route.selectService(0),
                Optional.empty(),
                prompt,
                fingerprint,
                excluded,
                kind,
                continuation,
                route.timeout().toMillis(),
                reply));
    }

    private void register(EndpointId engine) {
        register(engine, Duration.ZERO);
    }

    private void register(EndpointId engine, Duration cold) {
        bench.keyValue()
                .put(
                        PlatformDocuments.endpointKey(engine.value()),
                        PlatformDocuments.withSoftware(
                                software.getOrDefault(engine, "v1"),
                                PlatformDocuments.engine(
                                        "engines",
                                        UNUSED_ADDRESS,
                                        domains.get(engine).value(),
                                        MODEL,
                                        weights.get(engine),
                                        starts.get(engine),
                                        cold.toMillis())));
    }

    private boolean handleAction(ControlAction action, ControlInput input) {
        if (action instanceof EngineCall.QueryState query) {
            EntryId from = ((BenchNode) input).entry();
            stateQueries.add(new StateQuery(
                    from, query.endpoint().incarnation(), bench.time().nowNanos()));
            if (!stateAnswersDropped) {
                bench.time()
                        .after(
                                Duration.ofMillis(3),
                                () -> input.offer(stateAnswer(query.endpoint().incarnation())));
            }
            return true;
        }
        if (action instanceof EngineCall.OrderWeights order) {
            executeOrder(((BenchNode) input).entry(), order, input);
            return true;
        }
        return action instanceof Decision;
    }

    private EngineAnswer stateAnswer(EndpointIncarnation queried) {
        EndpointId engine = queried.endpoint();
        if (!weights.containsKey(engine)) {
            return new EngineAnswer.StateReported(queried, Optional.empty());
        }
        return new EngineAnswer.StateReported(
                queried,
                Optional.of(new EngineState(
                        starts.get(engine),
                        loading.getOrDefault(engine, false),
                        acceptedOrders.getOrDefault(engine, 0L),
                        ImmutableMap.of(MODEL, weights.get(engine)))));
    }

    private void executeOrder(EntryId from, EngineCall.OrderWeights order, ControlInput input) {
        EndpointId engine = order.endpoint().id();
        orders.add(new Order(
                from,
                order.endpoint().incarnation(),
                order.fence(),
                bench.time().nowNanos()));
        if (ordersDropped) {
            bench.time().after(Duration.ofSeconds(1), () -> input.offer(unanswered(order)));
            return;
        }
        boolean conflict = loading.getOrDefault(engine, false)
                || acceptedOrders.getOrDefault(engine, 0L) != order.expectedOrders();
        EngineAnswer.Outcome outcome = conflict ? EngineAnswer.Outcome.CONFLICT : EngineAnswer.Outcome.ACCEPTED;
        if (!conflict) {
            acceptedOrders.merge(engine, 1L, Long::sum);
            loading.put(engine, true);
            long start = starts.get(engine);
            bench.time()
                    .after(
                            LOAD_TIME,
                            () -> finishLoading(engine, start, order.weights().version()));
        }
        if (orderAnswersToLose > 0) {
            orderAnswersToLose--;
            outcome = EngineAnswer.Outcome.UNKNOWN;
        }
        EngineAnswer.Outcome reported = outcome;
        bench.time()
                .after(
                        Duration.ofMillis(3),
                        () -> input.offer(
                                new EngineAnswer.OrderAnswered(order.endpoint().incarnation(), reported)));
    }

    private void finishLoading(EndpointId engine, long start, long version) {
        if (starts.get(engine) == start) {
            loading.put(engine, false);
            weights.put(engine, version);
            register(engine);
        }
    }

    private static EngineAnswer unanswered(EngineCall.OrderWeights order) {
        return new EngineAnswer.OrderAnswered(order.endpoint().incarnation(), EngineAnswer.Outcome.UNKNOWN);
    }

    private static GatewaySettings settings(String name, FailureDomain domain) {
        return new GatewaySettings(
                EntryId.of(name),
                domain,
                REGIONS,
                UNUSED_ADDRESS,
                UNUSED_ADDRESS,
                UNUSED_ADDRESS,
                UNUSED_ADDRESS,
                Optional.empty(),
                UNUSED_ADDRESS,
                List.of(),
                new GatewaySettings.Bounds(
                        new RetryBounds(0.2, 56, Duration.ofSeconds(10)),
                        COLD_BOUNDS,
                        Duration.ofSeconds(8),
                        SEPARATION,
                        WEIGHT_CHANGE_LIMIT,
                        Duration.ofSeconds(2),
                        Optional.empty()),
                EntryIdentity.DEFAULT_CAPACITY,
                "info");
    }
}
