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
import org.yuccagw.core.prompt.PromptPart;
import org.yuccagw.core.prompt.PromptShape;
import org.yuccagw.platform.PlatformRecords;
import org.yuccagw.standins.platform.PlatformDocuments;

/**
 * Entries with all their control parts in virtual time, in front of engines and plain endpoints that exist as
 * registrations and as answers to orders.
 */
final class VirtualFleet {
    static final String MODEL = "model";
    static final Duration SEPARATION = Duration.ofSeconds(3);
    static final Duration OLD_WEIGHTS_ALLOWED = Duration.ofSeconds(8);

    static final FailureDomain NORTHERN = FailureDomain.of("ulemiste");
    static final FailureDomain SOUTHERN = FailureDomain.of("kadaka");
    private static final DomainRegions REGIONS =
            new DomainRegions(ImmutableMap.of(NORTHERN, Region.of("north"), SOUTHERN, Region.of("south")));

    private static final int COLD_SECONDS = 3;
    static final Duration COLD = Duration.ofSeconds(COLD_SECONDS);
    static final double COLD_PER_SECOND = 9.8;
    static final ColdBounds COLD_BOUNDS = new ColdBounds(1.5, 5);

    private static final Duration LOADING = Duration.ofMillis(420);
    private static final long STARTS_APART_MILLIS = 1_000;
    private static final NetworkAddress ANYWHERE = NetworkAddress.of("127.0.0.1", 9);

    final ControlBench bench = ControlBench.of(5);
    final List<Order> orders = new ArrayList<>();
    final List<StateAsked> statesAsked = new ArrayList<>();
    final Map<EndpointId, Long> weights = new LinkedHashMap<>();
    private final Map<EntryId, GatewayComponents> started = new LinkedHashMap<>();
    private final Map<EndpointId, Long> accepted = new LinkedHashMap<>();
    private final Map<EndpointId, Boolean> loading = new LinkedHashMap<>();
    private final Map<EndpointId, FailureDomain> domains = new LinkedHashMap<>();
    private final Map<EndpointId, Long> starts = new LinkedHashMap<>();
    private int ordersToIgnore;
    private boolean dropping;
    private boolean statesUnanswered;
    private long nextRequest = 1;

    /** An order that arrived at an engine. */
    record Order(EntryId from, EndpointIncarnation engine, long fence, long atNanos) {}

    /** A question for the state of an engine. */
    record StateAsked(EntryId from, EndpointIncarnation engine, long atNanos) {}

    VirtualFleet() {
        bench.onAction(this::perform);
    }

    BenchNode start(String name) {
        return start(name, NORTHERN);
    }

    BenchNode start(String name, FailureDomain domain) {
        GatewayComponents components = GatewayComponents.of(settings(name, domain), PlatformRecords.create());
        started.put(EntryId.of(name), components);
        return bench.start(name, domain, components.list());
    }

    /** Who leads the failure domain of an entry, as it sees it. */
    List<EntryId> leadsKnownTo(BenchNode node) {
        return started.get(node.entry()).ownLeads();
    }

    /** Whether an entry knows the endpoint as one that may be used. */
    boolean knows(BenchNode node, String endpoint) {
        return started.get(node.entry())
                .isUsable(EndpointIncarnation.of(EndpointId.of(endpoint), PlatformDocuments.FIRST_START_MILLIS));
    }

    /** How many engines load, or take no new requests since they are about to. */
    int enginesOutOfUse() {
        return started.values().stream()
                .mapToInt(components -> components.loading().size())
                .max()
                .orElse(0);
    }

    /** How many requests an entry believes to run on an endpoint. */
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
                                .cold(COLD_SECONDS, COLD_PER_SECOND)
                                .plain("plain")
                                .bytes());
    }

    void addEngine(String id) {
        addEngine(id, NORTHERN, Duration.ZERO);
    }

    /** An engine of a failure domain registers, cold for so long or not at all; a later call registers it anew. */
    void addEngine(String id, FailureDomain domain, Duration cold) {
        EndpointId engine = EndpointId.of(id);
        weights.putIfAbsent(engine, 1L);
        starts.putIfAbsent(engine, PlatformDocuments.FIRST_START_MILLIS);
        domains.put(engine, domain);
        register(engine, cold);
    }

    /** The registration of an engine lapses, while the engine runs on. */
    void lapse(String id) {
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
                        PlatformDocuments.endpoint("plain", ANYWHERE, "ulemiste", false));
    }

    void leavePlain(String id) {
        bench.keyValue()
                .put(
                        PlatformDocuments.endpointKey(id),
                        PlatformDocuments.endpoint("plain", ANYWHERE, "ulemiste", true));
    }

    /** An engine ends and starts again at once under its id: it has accepted no orders and loads nothing. */
    void restartEngine(String id, long runs) {
        EndpointId engine = EndpointId.of(id);
        starts.merge(engine, STARTS_APART_MILLIS, Long::sum);
        accepted.remove(engine);
        loading.remove(engine);
        weights.put(engine, runs);
        register(engine);
    }

    void nameWeights(long version) {
        bench.keyValue().put(PlatformDocuments.weightsKey(MODEL), PlatformDocuments.weights(MODEL, version));
    }

    /** Questions for the state of engines get no answer. */
    void answerNoStates() {
        statesUnanswered = true;
    }

    /** Orders are neither carried out nor answered. */
    void dropOrders() {
        dropping = true;
    }

    /** The next orders are carried out, but their answers are lost. */
    void loseAnswersOfOrders(int count) {
        ordersToIgnore = count;
    }

    boolean allRun(long version) {
        return weights.values().stream().allMatch(present -> present == version);
    }

    static long configurationOf(BenchNode node) {
        return node.state(Deployment.class).map(Deployment::version).orElse(0L);
    }

    /** Asks for a place for a prompt of so many tokens, which no other prompt shares. */
    PlacementDecision placeLong(BenchNode node, int tokens) {
        PromptShape prompt = new PromptShape(MODEL, tokens, 50, ImmutableList.of(new PromptPart("own", tokens)));
        return place(node, "/model/x", PlacementRequest.Kind.FIRST, "long", Optional.of(prompt));
    }

    /** Asks a node for a place and runs until it decides. */
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
        ask(node, path, kind, fingerprint, prompt, decided::set);
        bench.runUntil(() -> decided.get() != null, Duration.ofSeconds(2));
        return decided.get();
    }

    /** Asks for a place for a prompt of so many tokens, which no other prompt shares, and doesn't wait for it. */
    void askPrompt(BenchNode node, int tokens, Consumer<PlacementDecision> reply) {
        PromptShape prompt = new PromptShape(MODEL, tokens, 50, ImmutableList.of(new PromptPart("own", tokens)));
        ask(node, "/model/x", PlacementRequest.Kind.FIRST, "f" + nextRequest, Optional.of(prompt), reply);
    }

    /** Asks for another place for a prompt that these engines turned away. */
    void askPromptAgain(
            BenchNode node, int tokens, ImmutableSet<EndpointId> excluded, Consumer<PlacementDecision> reply) {
        PromptShape prompt = new PromptShape(MODEL, tokens, 50, ImmutableList.of(new PromptPart("own", tokens)));
        String fingerprint = "f" + nextRequest;
        ask(node, "/model/x", PlacementRequest.Kind.REPEAT, fingerprint, Optional.of(prompt), excluded, reply);
    }

    private void ask(
            BenchNode node,
            String path,
            PlacementRequest.Kind kind,
            String fingerprint,
            Optional<PromptShape> prompt,
            Consumer<PlacementDecision> reply) {
        ask(node, path, kind, fingerprint, prompt, ImmutableSet.of(), reply);
    }

    private void ask(
            BenchNode node,
            String path,
            PlacementRequest.Kind kind,
            String fingerprint,
            Optional<PromptShape> prompt,
            ImmutableSet<EndpointId> excluded,
            Consumer<PlacementDecision> reply) {
        Route route = node.state(Deployment.class)
                .orElseThrow()
                .route("a.example", path)
                .orElseThrow();
        node.offer(new PlacementRequest(
                RequestId.of("r" + nextRequest++),
                route,
                route.pick(0),
                Optional.empty(),
                prompt,
                fingerprint,
                excluded,
                kind,
                OptionalLong.empty(),
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
                        PlatformDocuments.engine(
                                "engines",
                                ANYWHERE,
                                domains.get(engine).value(),
                                MODEL,
                                weights.get(engine),
                                starts.get(engine),
                                cold.toMillis()));
    }

    private boolean perform(ControlAction action, ControlInput input) {
        if (action instanceof EngineCall.AskState ask) {
            EntryId from = ((BenchNode) input).entry();
            statesAsked.add(new StateAsked(
                    from, ask.endpoint().incarnation(), bench.time().nowNanos()));
            if (!statesUnanswered) {
                bench.time()
                        .after(
                                Duration.ofMillis(3),
                                () -> input.offer(told(ask.endpoint().incarnation())));
            }
            return true;
        }
        if (action instanceof EngineCall.OrderWeights order) {
            carryOut(((BenchNode) input).entry(), order, input);
            return true;
        }
        return action instanceof Decision;
    }

    private EngineAnswer told(EndpointIncarnation asked) {
        EndpointId engine = asked.endpoint();
        return new EngineAnswer.Told(
                asked,
                Optional.of(new EngineState(
                        starts.get(engine),
                        loading.getOrDefault(engine, false),
                        accepted.getOrDefault(engine, 0L),
                        ImmutableMap.of(MODEL, weights.get(engine)))));
    }

    private void carryOut(EntryId from, EngineCall.OrderWeights order, ControlInput input) {
        EndpointId engine = order.endpoint().id();
        orders.add(new Order(
                from,
                order.endpoint().incarnation(),
                order.fence(),
                bench.time().nowNanos()));
        if (dropping) {
            bench.time().after(Duration.ofSeconds(1), () -> input.offer(unanswered(order)));
            return;
        }
        boolean conflict =
                loading.getOrDefault(engine, false) || accepted.getOrDefault(engine, 0L) != order.expectedOrders();
        EngineAnswer.Outcome outcome = conflict ? EngineAnswer.Outcome.CONFLICT : EngineAnswer.Outcome.ACCEPTED;
        if (!conflict) {
            accepted.merge(engine, 1L, Long::sum);
            loading.put(engine, true);
            long start = starts.get(engine);
            bench.time()
                    .after(
                            LOADING,
                            () -> finishLoading(engine, start, order.weights().version()));
        }
        if (ordersToIgnore > 0) {
            ordersToIgnore--;
            outcome = EngineAnswer.Outcome.UNKNOWN;
        }
        EngineAnswer.Outcome told = outcome;
        bench.time()
                .after(
                        Duration.ofMillis(3),
                        () -> input.offer(
                                new EngineAnswer.Ordered(order.endpoint().incarnation(), told)));
    }

    private void finishLoading(EndpointId engine, long start, long version) {
        if (starts.get(engine) == start) {
            loading.put(engine, false);
            weights.put(engine, version);
            register(engine);
        }
    }

    private static EngineAnswer unanswered(EngineCall.OrderWeights order) {
        return new EngineAnswer.Ordered(order.endpoint().incarnation(), EngineAnswer.Outcome.UNKNOWN);
    }

    private static GatewaySettings settings(String name, FailureDomain domain) {
        return new GatewaySettings(
                EntryId.of(name),
                domain,
                REGIONS,
                ANYWHERE,
                ANYWHERE,
                ANYWHERE,
                ANYWHERE,
                ANYWHERE,
                List.of(),
                new GatewaySettings.Bounds(
                        new RetryBounds(0.2, 56, Duration.ofSeconds(10)),
                        COLD_BOUNDS,
                        Duration.ofSeconds(8),
                        SEPARATION,
                        OLD_WEIGHTS_ALLOWED,
                        Duration.ofSeconds(2),
                        Optional.empty()),
                EntryIdentity.USUAL_CAPACITY,
                "info");
    }
}
