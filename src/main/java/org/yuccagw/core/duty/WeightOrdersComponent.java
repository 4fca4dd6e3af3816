package org.yuccagw.core.duty;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.ToIntFunction;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.fleet.ModelWeights;
import org.yuccagw.core.follow.KeyValueRecord;
import org.yuccagw.core.follow.KeyValueRecordRemoved;
import org.yuccagw.core.follow.KeyValueRecordUpdated;
import org.yuccagw.core.follow.NamedWeightsComponent;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.peers.PeerStatus;
import org.yuccagw.core.ratelimit.InternalCalls;

/**
 * Brings every engine to the newest named weights while this entry holds the duty.
 *
 * <p>One engine goes through: ask its state, order, wait until it says that it runs the weights. A few engines of a
 * service load at once, because loading gets slower for all when too many do. They load under their running requests:
 * requests run for seconds, so letting them end first takes a third of the engines away for as long, just when every
 * prompt must be computed anew. Measured on a day with two namings: of what callers got in the ten seconds after them,
 * letting runs end first left 0.20 to 0.48; what runs on with newer weights loses about half of its own worth once.
 *
 * <p>An order without an answer may have been accepted, and may even be carried out seconds later, after newer ones. So
 * each order names the number of orders that the engine has accepted so far: the first one that it accepts makes every
 * other copy void. The state is asked anew before each order, never guessed.
 *
 * <p>The cases of an answer to an order:
 *
 * <ol>
 *   <li>accepted: it loads; look at its state until it runs the weights
 *   <li>holds already: done
 *   <li>conflict: it loads something else or took a copy of ours; ask its state again
 *   <li>fenced: a newer holder exists; the lease will say so, do nothing more with this engine for a while
 *   <li>gone: the list will lose it
 *   <li>unknown or not sent: ask its state again
 * </ol>
 */
public final class WeightOrdersComponent implements ControlComponent {
    /**
     * Part of the engines that load at once. Every prompt is computed anew on the newer weights, which takes all that
     * the engines have; what is missing meanwhile becomes a queue that lasts for ten seconds.
     */
    static final double LOADING_AT_ONCE = 0.14;

    /**
     * The most that load at once when time is short. The others carry everything meanwhile: on a played day with three
     * of eight loading and three more that took nothing new, two engines got every prompt for two seconds, and half of
     * the callers left.
     */
    static final double MOST_LOADING_AT_ONCE = 0.34;

    /** One engine after the other: 0.42 s of loading, and two questions about its state. */
    static final Duration TIME_FOR_ONE = Duration.ofMillis(550);

    /** Entries stop using older weights this long before they must; by then all engines should run the newer ones. */
    public static final Duration READY_BEFORE_THE_LIMIT = Duration.ofMillis(1200);

    /**
     * A registration that is written so long after weights were heard of tells of them or of what came after: two
     * heartbeats and the way through the key-value service. Guards against a belief in weights that an engine doesn't
     * run any more, since an order was carried out late: it would answer every request as sent in error, and get no
     * order.
     */
    public static final Duration REGISTRATION_LAG = Duration.ofSeconds(3);

    private static final Duration LOOK = Duration.ofMillis(100);

    /** Loading takes 0.42 s, as the operators' sheet says. */
    private static final Duration LOADING_TIME = Duration.ofMillis(430);

    private static final Duration STATE_AGAIN = Duration.ofMillis(120);

    /**
     * Requests that wait at an engine are turned away when it loads, and each of them spends from the retry budget: 282
     * in six seconds where engines got requests up to their order. In this time those that wait have begun.
     */
    private static final Duration NO_NEW_REQUESTS_BEFORE = Duration.ofMillis(400);

    private static final Duration AFTER_FENCED = Duration.ofSeconds(2);

    /** A state or order whose answer never comes must not keep an engine from being asked again. */
    private static final Duration CALL_PATIENCE = Duration.ofMillis(1500);

    private final DutyComponent duty;
    private final NamedWeightsComponent named;
    private final Runnable announce;
    private final ToIntFunction<EndpointId> load;
    private final InternalCalls calls;
    private final Map<EndpointId, ListedEndpoint> engines = new LinkedHashMap<>();
    private final Map<EndpointId, Loading> inProgress = new LinkedHashMap<>();
    private final Map<EndpointId, Heard> heard = new LinkedHashMap<>();
    private ControlContext context;

    /** Weights that an engine said itself that it runs. */
    private record Heard(ModelWeights weights, long sinceNanos) {}

    /** One engine on its way to newer weights. */
    private static final class Loading {
        private final ModelWeights weights;
        private boolean ordered;
        private long orderedNanos;
        private boolean answerAwaited;
        private long nextNanos;

        private Loading(ModelWeights weights) {
            this.weights = weights;
        }
    }

    private WeightOrdersComponent(
            DutyComponent duty,
            NamedWeightsComponent named,
            Runnable announce,
            ToIntFunction<EndpointId> load,
            InternalCalls calls) {
        this.duty = duty;
        this.named = named;
        this.announce = announce;
        this.load = load;
        this.calls = calls;
    }

    /**
     * The orders of the holder of {@code duty}.
     *
     * @param named which weights are named
     * @param announce tells the other entries at once which engines load
     * @param load how many requests run on an engine; idle ones load first
     * @param calls what engines bear of calls that are no requests
     */
    public static WeightOrdersComponent of(
            DutyComponent duty,
            NamedWeightsComponent named,
            Runnable announce,
            ToIntFunction<EndpointId> load,
            InternalCalls calls) {
        return new WeightOrdersComponent(duty, named, announce, load, calls);
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        context.after(LOOK, this::look);
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof KeyValueRecordUpdated updated) {
            take(updated.record());
        } else if (event instanceof KeyValueRecordRemoved removed
                && removed.subject() instanceof KeyValueRecord.Subject.EndpointSubject subject) {
            forget(subject.endpoint());
        } else if (event instanceof DutyComponent.DutyBegun || event instanceof NamedWeightsComponent.Named) {
            proceed();
        } else if (event instanceof DutyComponent.DutyEnded) {
            inProgress.clear();
        } else if (event instanceof EngineAnswer.Told told) {
            onState(told);
        } else if (event instanceof EngineAnswer.Ordered ordered) {
            onOrdered(ordered);
        }
    }

    /** Engines that load, or are about to, on orders of this entry. */
    public ImmutableList<EndpointIncarnation> loading() {
        return inProgress.keySet().stream()
                .map(id -> engines.get(id).incarnation())
                .collect(ImmutableList.toImmutableList());
    }

    /** The lowest version of the model that any listed engine runs; empty if none has the model. */
    public OptionalLong lowestRunning(String model) {
        return engines.values().stream()
                .filter(engine -> engine.weights().containsKey(model))
                .mapToLong(engine -> runs(engine, model))
                .min();
    }

    /** Engines whose registration still names older weights than they were heard to run. */
    public ImmutableList<PeerStatus.Weights> weightsHeard() {
        return heard.entrySet().stream()
                .map(each -> new PeerStatus.Weights(
                        engines.get(each.getKey()).incarnation(),
                        each.getValue().weights()))
                .collect(ImmutableList.toImmutableList());
    }

    private void take(KeyValueRecord record) {
        if (record instanceof KeyValueRecord.EndpointListed listed) {
            ListedEndpoint endpoint = listed.endpoint();
            noteStart(endpoint);
            if (endpoint.leaving() || endpoint.weights().isEmpty()) {
                forget(endpoint.id());
            } else {
                engines.put(endpoint.id(), endpoint);
                finishIfThere(endpoint.id(), endpoint);
            }
            proceed();
        }
    }

    /**
     * Ends what was believed of an earlier start: it has accepted no orders yet, and what it was heard to run is void.
     */
    private void noteStart(ListedEndpoint endpoint) {
        ListedEndpoint known = engines.get(endpoint.id());
        if (known != null && known.incarnation().isBefore(endpoint.incarnation())) {
            forget(endpoint.id());
        }
    }

    private void forget(EndpointId endpoint) {
        engines.remove(endpoint);
        inProgress.remove(endpoint);
        heard.remove(endpoint);
    }

    private void look() {
        context.after(LOOK, this::look);
        if (!inProgress.isEmpty() || needsOrders()) {
            proceed();
        }
    }

    private boolean needsOrders() {
        return engines.values().stream().anyMatch(engine -> missing(engine).isPresent());
    }

    private void proceed() {
        if (!duty.mayAct()) {
            return;
        }
        begin();
        for (Map.Entry<EndpointId, Loading> each : new ArrayList<>(inProgress.entrySet())) {
            ListedEndpoint engine = engines.get(each.getKey());
            Loading loading = each.getValue();
            if (engine != null && isDue(engine, loading)) {
                loading.answerAwaited = true;
                loading.nextNanos =
                        context.nowNanos() + notBefore(engine, CALL_PATIENCE).toNanos();
                calls.recordCall(engine.incarnation());
                context.perform(new EngineCall.AskState(engine));
            }
        }
    }

    private boolean isDue(ListedEndpoint engine, Loading loading) {
        return context.nowNanos() - loading.nextNanos >= 0 && calls.allowsCall(engine.incarnation());
    }

    /** Chooses the next engines, those with the fewest running requests first. */
    private void begin() {
        List<ListedEndpoint> waiting = new ArrayList<>();
        for (ListedEndpoint engine : engines.values()) {
            boolean begun = inProgress.containsKey(engine.id());
            if (missing(engine).isPresent() && !begun && calls.allowsCall(engine.incarnation())) {
                waiting.add(engine);
            }
        }
        waiting.sort(Comparator.comparingInt(engine -> load.applyAsInt(engine.id())));
        boolean anyBegun = false;
        for (ListedEndpoint engine : waiting) {
            if (hasRoom(engine)) {
                Loading loading = new Loading(missing(engine).get());
                Duration wait = isHurried(sameService(engine)) ? Duration.ZERO : NO_NEW_REQUESTS_BEFORE;
                loading.nextNanos = context.nowNanos() + wait.toNanos();
                inProgress.put(engine.id(), loading);
                anyBegun = true;
            }
        }
        if (anyBegun) {
            announce.run();
        }
    }

    /**
     * While some engines load, as many others already take no new requests. Not in a hurry: then more load at once, and
     * those that wait for their turn are needed for requests until it comes.
     */
    private boolean hasRoom(ListedEndpoint engine) {
        List<ListedEndpoint> pool = sameService(engine);
        long progressing = pool.stream().filter(this::hasTurn).count();
        long atOnce = atOnce(pool);
        if (isHurried(pool)) {
            return progressing < atOnce;
        }
        return progressing - orderedIn(pool) < atOnce && progressing < 2 * atOnce;
    }

    private List<ListedEndpoint> sameService(ListedEndpoint engine) {
        return engines.values().stream()
                .filter(other -> other.service().equals(engine.service()))
                .toList();
    }

    private long orderedIn(List<ListedEndpoint> pool) {
        return pool.stream()
                .filter(other -> hasTurn(other) && inProgress.get(other.id()).ordered)
                .count();
    }

    /** Whether the engine is on its way; one that may not be called for long must not keep others from their turn. */
    private boolean hasTurn(ListedEndpoint engine) {
        Loading loading = inProgress.get(engine.id());
        if (loading == null) {
            return false;
        }
        boolean justOrdered = loading.ordered && context.nowNanos() - loading.orderedNanos < CALL_PATIENCE.toNanos();
        return justOrdered || calls.allowsCall(engine.incarnation());
    }

    private Optional<ModelWeights> missing(ListedEndpoint engine) {
        for (String model : engine.weights().keySet()) {
            if (named.isBehind(model, runs(engine, model))) {
                return Optional.of(new ModelWeights(model, named.newest(model).getAsLong()));
            }
        }
        return Optional.empty();
    }

    /** The version that the engine runs: registered, or heard of it where that is newer. */
    private long runs(ListedEndpoint engine, String model) {
        Heard ahead = heard.get(engine.id());
        long registered = engine.versionOf(model).orElse(0);
        boolean heardOfModel = ahead != null && ahead.weights().model().equals(model);
        return heardOfModel ? Math.max(ahead.weights().version(), registered) : registered;
    }

    private void onState(EngineAnswer.Told told) {
        Loading loading = inProgress.get(told.endpoint().endpoint());
        ListedEndpoint engine = engines.get(told.endpoint().endpoint());
        boolean awaited = loading != null && engine != null && loading.answerAwaited;
        if (!awaited || !engine.incarnation().equals(told.endpoint())) {
            return;
        }
        loading.answerAwaited = false;
        loading.nextNanos = context.nowNanos() + notBefore(engine, STATE_AGAIN).toNanos();
        if (told.state().isEmpty()) {
            context.perform(Decision.of("engine-state-unknown").with("endpoint", engine.incarnation()));
            return;
        }
        EngineState state = told.state().get();
        if (state.startedMillis() != engine.incarnation().startedMillis()) {
            // It has started again and its registration is still to come; orders would count from another start.
            context.perform(Decision.of("engine-started-again")
                    .with("endpoint", engine.incarnation())
                    .with("started_ms", state.startedMillis()));
            return;
        }
        long runs = state.weights().getOrDefault(loading.weights.model(), 0L);
        if (runs >= loading.weights.version()) {
            finish(engine, loading);
        } else if (!state.loading() && duty.mayAct() && mayOrder(engine, loading)) {
            order(engine, loading, state);
        }
    }

    private boolean mayOrder(ListedEndpoint engine, Loading loading) {
        List<ListedEndpoint> pool = sameService(engine);
        boolean isTurn = loading.ordered || orderedIn(pool) < atOnce(pool);
        return isTurn && calls.allowsCall(engine.incarnation());
    }

    private static long calmAtOnce(List<ListedEndpoint> pool) {
        return Math.max(1, Math.round(pool.size() * LOADING_AT_ONCE));
    }

    private long atOnce(List<ListedEndpoint> pool) {
        long most = Math.max(1, Math.round(pool.size() * MOST_LOADING_AT_ONCE));
        return Math.min(Math.max(calmAtOnce(pool), neededAtOnce(pool)), most);
    }

    private boolean isHurried(List<ListedEndpoint> pool) {
        return neededAtOnce(pool) > calmAtOnce(pool);
    }

    /** How many must load at once so that all of the pool run the newer weights in time. */
    private long neededAtOnce(List<ListedEndpoint> pool) {
        List<ListedEndpoint> waiting =
                pool.stream().filter(engine -> missing(engine).isPresent()).toList();
        long leftNanos = waiting.stream().mapToLong(this::leftNanos).min().orElse(Long.MAX_VALUE);
        if (leftNanos <= 0) {
            return waiting.size();
        }
        return (long) Math.ceil((double) waiting.size() * TIME_FOR_ONE.toNanos() / leftNanos);
    }

    /** Time until no request may begin on the weights that the engine runs, less a margin. */
    private long leftNanos(ListedEndpoint engine) {
        Duration behind = engine.weights().keySet().stream()
                .map(model -> named.behindFor(model, runs(engine, model), context.nowNanos()))
                .max(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
        return named.oldWeightsAllowed()
                .minus(READY_BEFORE_THE_LIMIT)
                .minus(behind)
                .toNanos();
    }

    private void order(ListedEndpoint engine, Loading loading, EngineState state) {
        loading.ordered = true;
        loading.orderedNanos = context.nowNanos();
        loading.nextNanos =
                context.nowNanos() + notBefore(engine, CALL_PATIENCE).toNanos();
        context.perform(Decision.of("weights-ordered")
                .with("endpoint", engine.incarnation())
                .with("model", loading.weights.model())
                .with("version", loading.weights.version())
                .with("fence", duty.fence())
                .with("expected_orders", state.orders()));
        calls.recordCall(engine.incarnation());
        context.perform(new EngineCall.OrderWeights(
                engine, loading.weights, duty.fence(), state.orders(), duty.heldUntilNanos()));
    }

    private void onOrdered(EngineAnswer.Ordered ordered) {
        Loading loading = inProgress.get(ordered.endpoint().endpoint());
        ListedEndpoint engine = engines.get(ordered.endpoint().endpoint());
        boolean awaited = loading != null && engine != null && loading.ordered;
        if (!awaited || !engine.incarnation().equals(ordered.endpoint())) {
            return;
        }
        context.perform(Decision.of("order-answered")
                .with("endpoint", ordered.endpoint())
                .with("outcome", ordered.outcome()));
        Duration wait = notBefore(engine, waitAfter(ordered.outcome()));
        loading.nextNanos = context.nowNanos() + wait.toNanos();
        if (ordered.outcome() == EngineAnswer.Outcome.HOLDS_ALREADY) {
            finish(engine, loading);
        }
    }

    /** The next call to an engine that asks for fewer waits for longer. */
    private Duration notBefore(ListedEndpoint engine, Duration wait) {
        return Comparators.max(wait, calls.minInterval(engine.incarnation()));
    }

    private static Duration waitAfter(EngineAnswer.Outcome outcome) {
        return switch (outcome) {
            case FENCED -> AFTER_FENCED;
            case ACCEPTED -> LOADING_TIME;
            default -> STATE_AGAIN;
        };
    }

    private void finishIfThere(EndpointId id, ListedEndpoint listed) {
        Loading loading = inProgress.get(id);
        Heard ahead = heard.get(id);
        if (ahead != null && (tells(listed, ahead.weights()) || isOutdated(ahead))) {
            heard.remove(id);
        }
        if (loading != null && tells(listed, loading.weights)) {
            inProgress.remove(id);
            announce.run();
        }
    }

    private static boolean tells(ListedEndpoint listed, ModelWeights weights) {
        return listed.versionOf(weights.model()).orElse(0) >= weights.version();
    }

    private boolean isOutdated(Heard ahead) {
        return context.nowNanos() - ahead.sinceNanos() > REGISTRATION_LAG.toNanos();
    }

    /** The engine said itself that it runs the weights; its registration follows with its next heartbeat. */
    private void finish(ListedEndpoint engine, Loading loading) {
        inProgress.remove(engine.id());
        heard.put(engine.id(), new Heard(loading.weights, context.nowNanos()));
        context.raise(new WeightsRun(engine.incarnation(), loading.weights));
        announce.run();
        proceed();
    }

    /** An engine was heard to run these weights. */
    public record WeightsRun(EndpointIncarnation endpoint, ModelWeights weights) implements ControlEvent {}
}
