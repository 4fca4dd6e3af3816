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
 * Updates every engine to the newest named weights while this entry holds the duty.
 *
 * <p>For one engine: query its state, order it to load, and query again until it reports that it runs the weights. A
 * few engines of a service load at once, because loading gets slower for all if too many do. They load while their
 * requests keep running. Requests run for seconds, so letting them end first would make a third of the engines
 * unavailable for as long, just when every prompt must be recomputed. In the ten seconds after two namings, letting
 * requests end first left 0.20 to 0.48 of the value delivered to callers; a request that continues on newer weights
 * loses about half of its own value, once.
 *
 * <p>An order without an answer may have been accepted, and may even be carried out seconds later, after newer ones. So
 * each order contains the number of orders that the engine has accepted so far: once the engine accepts one copy, it
 * rejects every other. The state is queried again before each order, never assumed.
 *
 * <p>The cases of an answer to an order:
 *
 * <ol>
 *   <li>accepted: the engine loads; its state is queried until it runs the weights
 *   <li>holds already: done
 *   <li>conflict: the engine loads something else or accepted another copy of the order; its state is queried again
 *   <li>fenced: a newer holder exists; the lease will report it, and this engine isn't called for a while
 *   <li>gone: the engine will be removed from the list
 *   <li>unknown or not sent: its state is queried again
 * </ol>
 */
public final class WeightOrdersComponent implements ControlComponent {
    /**
     * Ratio of the engines of a service that load at once. Every prompt is recomputed on the newer weights, which takes
     * the engines' whole capacity; capacity that is missing meanwhile causes a queue that lasts for ten seconds.
     */
    static final double LOADING_RATIO = 0.14;

    /**
     * Upper limit of the ratio under a deadline. The other engines carry the whole load meanwhile: with three of eight
     * engines loading and three more accepting no new requests, two engines received every prompt for two seconds, and
     * half of the callers disconnected.
     */
    static final double MAX_LOADING_RATIO = 0.34;

    /** Time to update one engine: 0.42 s of loading and two queries of its state. */
    static final Duration UPDATE_TIME_PER_ENGINE = Duration.ofMillis(550);

    /** Entries stop using older weights this long before the limit; by then all engines should run the newer ones. */
    public static final Duration LOADING_MARGIN = Duration.ofMillis(1200);

    /**
     * A registration that is written this long after an engine reported its weights contains these weights or later
     * ones: two heartbeats and the propagation through the key-value service. Guards against a state that names weights
     * which an engine no longer runs, because an order was carried out late: the engine would reject every request as
     * wrongly sent, and would get no order.
     */
    public static final Duration REGISTRATION_LAG = Duration.ofSeconds(3);

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

    /** A little more than the loading time of 0.42 s that the operators specify. */
    private static final Duration LOADING_TIME = Duration.ofMillis(430);

    private static final Duration STATE_QUERY_INTERVAL = Duration.ofMillis(120);

    /**
     * An engine rejects its waiting requests when it loads, and each retry spends from the retry budget: 282 in six
     * seconds when engines received requests until their order. Waiting requests begin to run within this time.
     */
    private static final Duration DRAIN_TIME = Duration.ofMillis(400);

    private static final Duration DELAY_AFTER_FENCED = Duration.ofSeconds(2);

    /**
     * Time after which a state query or an order counts as unanswered, so that a lost answer doesn't stop further
     * calls.
     */
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1500);

    private final DutyComponent duty;
    private final NamedWeightsComponent named;
    private final Runnable broadcastLoading;
    private final ToIntFunction<EndpointId> runningRequests;
    private final InternalCalls calls;
    private final Map<EndpointId, ListedEndpoint> engines = new LinkedHashMap<>();
    private final Map<EndpointId, Loading> inProgress = new LinkedHashMap<>();
    private final Map<EndpointId, ReportedWeights> reportedWeights = new LinkedHashMap<>();
    private ControlContext context;

    /** Weights that an engine itself reported to run. */
    private record ReportedWeights(ModelWeights weights, long reportedNanos) {}

    /** The update of one engine to newer weights. */
    private static final class Loading {
        private final ModelWeights weights;
        private boolean ordered;
        private long orderedNanos;
        private boolean answerAwaited;
        private long nextCallNanos;

        private Loading(ModelWeights weights) {
            this.weights = weights;
        }
    }

    private WeightOrdersComponent(
            DutyComponent duty,
            NamedWeightsComponent named,
            Runnable broadcastLoading,
            ToIntFunction<EndpointId> runningRequests,
            InternalCalls calls) {
        this.duty = duty;
        this.named = named;
        this.broadcastLoading = broadcastLoading;
        this.runningRequests = runningRequests;
        this.calls = calls;
    }

    /**
     * Creates the component that sends the orders of the holder of {@code duty}.
     *
     * @param named the named weights
     * @param broadcastLoading sends the engines that are loading to the other entries at once
     * @param runningRequests returns how many requests run on an engine; idle engines load first
     * @param calls limits the internal calls to each engine
     */
    public static WeightOrdersComponent of(
            DutyComponent duty,
            NamedWeightsComponent named,
            Runnable broadcastLoading,
            ToIntFunction<EndpointId> runningRequests,
            InternalCalls calls) {
        return new WeightOrdersComponent(duty, named, broadcastLoading, runningRequests, calls);
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        context.after(CHECK_INTERVAL, this::check);
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof KeyValueRecordUpdated updated) {
            onRecord(updated.record());
        } else if (event instanceof KeyValueRecordRemoved removed
                && removed.subject() instanceof KeyValueRecord.Subject.EndpointSubject subject) {
            removeEngine(subject.endpoint());
        } else if (event instanceof DutyComponent.DutyStarted || event instanceof NamedWeightsComponent.Named) {
            advance();
        } else if (event instanceof DutyComponent.DutyEnded) {
            inProgress.clear();
        } else if (event instanceof EngineAnswer.StateReported reported) {
            onState(reported);
        } else if (event instanceof EngineAnswer.OrderAnswered ordered) {
            onOrdered(ordered);
        }
    }

    /** Returns the engines that load, or are about to load, on orders of this entry. */
    public ImmutableList<EndpointIncarnation> loading() {
        return inProgress.keySet().stream()
                .map(id -> engines.get(id).incarnation())
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the lowest version of the model that any listed engine runs, or empty if none has the model. */
    public OptionalLong lowestRunningVersion(String model) {
        return engines.values().stream()
                .filter(engine -> engine.weights().containsKey(model))
                .mapToLong(engine -> runningVersion(engine, model))
                .min();
    }

    /** Returns the engines that reported newer weights than their registration contains. */
    public ImmutableList<PeerStatus.Weights> reportedWeights() {
        return reportedWeights.entrySet().stream()
                .map(entry -> new PeerStatus.Weights(
                        engines.get(entry.getKey()).incarnation(),
                        entry.getValue().weights()))
                .collect(ImmutableList.toImmutableList());
    }

    private void onRecord(KeyValueRecord record) {
        if (record instanceof KeyValueRecord.EndpointListed listed) {
            ListedEndpoint endpoint = listed.endpoint();
            dropEarlierIncarnation(endpoint);
            if (endpoint.leaving() || endpoint.weights().isEmpty()) {
                removeEngine(endpoint.id());
            } else {
                engines.put(endpoint.id(), endpoint);
                finishIfRegistered(endpoint.id(), endpoint);
            }
            advance();
        }
    }

    /**
     * Drops the state of an earlier incarnation: the new one has accepted no orders yet, and reported weights are void.
     */
    private void dropEarlierIncarnation(ListedEndpoint endpoint) {
        ListedEndpoint previous = engines.get(endpoint.id());
        if (previous != null && previous.incarnation().isBefore(endpoint.incarnation())) {
            removeEngine(endpoint.id());
        }
    }

    private void removeEngine(EndpointId endpoint) {
        engines.remove(endpoint);
        inProgress.remove(endpoint);
        reportedWeights.remove(endpoint);
    }

    private void check() {
        context.after(CHECK_INTERVAL, this::check);
        if (!inProgress.isEmpty() || needsOrders()) {
            advance();
        }
    }

    private boolean needsOrders() {
        return engines.values().stream()
                .anyMatch(engine -> missingWeights(engine).isPresent());
    }

    private void advance() {
        if (!duty.mayAct()) {
            return;
        }
        startNext();
        for (Map.Entry<EndpointId, Loading> entry : new ArrayList<>(inProgress.entrySet())) {
            ListedEndpoint engine = engines.get(entry.getKey());
            Loading loading = entry.getValue();
            if (engine != null && isDue(engine, loading)) {
                loading.answerAwaited = true;
                loading.nextCallNanos =
                        context.nowNanos() + minDelay(engine, CALL_TIMEOUT).toNanos();
                calls.recordCall(engine.incarnation());
                context.perform(new EngineCall.QueryState(engine));
            }
        }
    }

    private boolean isDue(ListedEndpoint engine, Loading loading) {
        return context.nowNanos() - loading.nextCallNanos >= 0 && calls.allowsCall(engine.incarnation());
    }

    /** Starts the update of the next engines, those with the fewest running requests first. */
    private void startNext() {
        List<ListedEndpoint> waiting = new ArrayList<>();
        for (ListedEndpoint engine : engines.values()) {
            boolean inProgressAlready = inProgress.containsKey(engine.id());
            if (missingWeights(engine).isPresent() && !inProgressAlready && calls.allowsCall(engine.incarnation())) {
                waiting.add(engine);
            }
        }
        waiting.sort(Comparator.comparingInt(engine -> runningRequests.applyAsInt(engine.id())));
        boolean anyStarted = false;
        for (ListedEndpoint engine : waiting) {
            if (hasFreeSlot(engine)) {
                Loading loading = new Loading(missingWeights(engine).get());
                Duration delay = isUrgent(sameService(engine)) ? Duration.ZERO : DRAIN_TIME;
                loading.nextCallNanos = context.nowNanos() + delay.toNanos();
                inProgress.put(engine.id(), loading);
                anyStarted = true;
            }
        }
        if (anyStarted) {
            broadcastLoading.run();
        }
    }

    /**
     * Returns whether one more engine may start its update. While some engines load, as many others already accept no
     * new requests. Under a deadline that isn't so: more engines load at once then, and those that wait to load are
     * needed for requests until they do.
     */
    private boolean hasFreeSlot(ListedEndpoint engine) {
        List<ListedEndpoint> pool = sameService(engine);
        long occupied = pool.stream().filter(this::occupiesSlot).count();
        long concurrency = concurrency(pool);
        if (isUrgent(pool)) {
            return occupied < concurrency;
        }
        return occupied - orderedIn(pool) < concurrency && occupied < 2 * concurrency;
    }

    private List<ListedEndpoint> sameService(ListedEndpoint engine) {
        return engines.values().stream()
                .filter(other -> other.service().equals(engine.service()))
                .toList();
    }

    private long orderedIn(List<ListedEndpoint> pool) {
        return pool.stream()
                .filter(other -> occupiesSlot(other) && inProgress.get(other.id()).ordered)
                .count();
    }

    /**
     * Returns whether the engine counts against the limit. An engine that may not be called for long doesn't, so that
     * it doesn't block others.
     */
    private boolean occupiesSlot(ListedEndpoint engine) {
        Loading loading = inProgress.get(engine.id());
        if (loading == null) {
            return false;
        }
        boolean justOrdered = loading.ordered && context.nowNanos() - loading.orderedNanos < CALL_TIMEOUT.toNanos();
        return justOrdered || calls.allowsCall(engine.incarnation());
    }

    private Optional<ModelWeights> missingWeights(ListedEndpoint engine) {
        for (String model : engine.weights().keySet()) {
            if (named.isBehind(model, runningVersion(engine, model))) {
                return Optional.of(new ModelWeights(model, named.newest(model).getAsLong()));
            }
        }
        return Optional.empty();
    }

    /** Returns the version that the engine runs: the registered one, or the reported one if that is newer. */
    private long runningVersion(ListedEndpoint engine, String model) {
        ReportedWeights reported = reportedWeights.get(engine.id());
        long registered = engine.versionOf(model).orElse(0);
        boolean isReportOfModel = reported != null && reported.weights().model().equals(model);
        return isReportOfModel ? Math.max(reported.weights().version(), registered) : registered;
    }

    private void onState(EngineAnswer.StateReported reported) {
        Loading loading = inProgress.get(reported.endpoint().endpoint());
        ListedEndpoint engine = engines.get(reported.endpoint().endpoint());
        boolean isExpected = loading != null && engine != null && loading.answerAwaited;
        if (!isExpected || !engine.incarnation().equals(reported.endpoint())) {
            return;
        }
        loading.answerAwaited = false;
        loading.nextCallNanos =
                context.nowNanos() + minDelay(engine, STATE_QUERY_INTERVAL).toNanos();
        if (reported.state().isEmpty()) {
            context.perform(Decision.of("engine-state-unknown").with("endpoint", engine.incarnation()));
            return;
        }
        EngineState state = reported.state().get();
        if (state.startedMillis() != engine.incarnation().startedMillis()) {
            // The engine has restarted and its new registration hasn't arrived yet; the number of accepted orders would
            // belong to another incarnation.
            context.perform(Decision.of("engine-started-again")
                    .with("endpoint", engine.incarnation())
                    .with("started_ms", state.startedMillis()));
            return;
        }
        long runningVersion = state.weights().getOrDefault(loading.weights.model(), 0L);
        if (runningVersion >= loading.weights.version()) {
            finish(engine, loading);
        } else if (!state.loading() && duty.mayAct() && mayOrder(engine, loading)) {
            order(engine, loading, state);
        }
    }

    private boolean mayOrder(ListedEndpoint engine, Loading loading) {
        List<ListedEndpoint> pool = sameService(engine);
        boolean hasSlot = loading.ordered || orderedIn(pool) < concurrency(pool);
        return hasSlot && calls.allowsCall(engine.incarnation());
    }

    private static long normalConcurrency(List<ListedEndpoint> pool) {
        return Math.max(1, Math.round(pool.size() * LOADING_RATIO));
    }

    private long concurrency(List<ListedEndpoint> pool) {
        long maxConcurrency = Math.max(1, Math.round(pool.size() * MAX_LOADING_RATIO));
        return Math.min(Math.max(normalConcurrency(pool), requiredConcurrency(pool)), maxConcurrency);
    }

    private boolean isUrgent(List<ListedEndpoint> pool) {
        return requiredConcurrency(pool) > normalConcurrency(pool);
    }

    /** Returns how many engines must load at once for the whole pool to run the newer weights in time. */
    private long requiredConcurrency(List<ListedEndpoint> pool) {
        List<ListedEndpoint> waiting = pool.stream()
                .filter(engine -> missingWeights(engine).isPresent())
                .toList();
        long remainingNanos =
                waiting.stream().mapToLong(this::remainingNanos).min().orElse(Long.MAX_VALUE);
        if (remainingNanos <= 0) {
            return waiting.size();
        }
        return (long) Math.ceil((double) waiting.size() * UPDATE_TIME_PER_ENGINE.toNanos() / remainingNanos);
    }

    /** Returns the time until no request may begin on the weights that the engine runs, less a margin. */
    private long remainingNanos(ListedEndpoint engine) {
        Duration behind = engine.weights().keySet().stream()
                .map(model -> named.behindFor(model, runningVersion(engine, model)))
                .max(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
        return named.oldWeightsAllowed().minus(LOADING_MARGIN).minus(behind).toNanos();
    }

    private void order(ListedEndpoint engine, Loading loading, EngineState state) {
        loading.ordered = true;
        loading.orderedNanos = context.nowNanos();
        loading.nextCallNanos =
                context.nowNanos() + minDelay(engine, CALL_TIMEOUT).toNanos();
        context.perform(Decision.of("weights-ordered")
                .with("endpoint", engine.incarnation())
                .with("model", loading.weights.model())
                .with("version", loading.weights.version())
                .with("fence", duty.fencingNumber())
                .with("expected_orders", state.orders()));
        calls.recordCall(engine.incarnation());
        context.perform(new EngineCall.OrderWeights(
                engine, loading.weights, duty.fencingNumber(), state.orders(), duty.leaseExpiryNanos()));
    }

    private void onOrdered(EngineAnswer.OrderAnswered ordered) {
        Loading loading = inProgress.get(ordered.endpoint().endpoint());
        ListedEndpoint engine = engines.get(ordered.endpoint().endpoint());
        boolean isExpected = loading != null && engine != null && loading.ordered;
        if (!isExpected || !engine.incarnation().equals(ordered.endpoint())) {
            return;
        }
        context.perform(Decision.of("order-answered")
                .with("endpoint", ordered.endpoint())
                .with("outcome", ordered.outcome()));
        Duration delay = minDelay(engine, delayAfter(ordered.outcome()));
        loading.nextCallNanos = context.nowNanos() + delay.toNanos();
        if (ordered.outcome() == EngineAnswer.Outcome.HOLDS_ALREADY) {
            finish(engine, loading);
        }
    }

    /** Returns the delay before the next call, which is longer for an engine that requested fewer internal calls. */
    private Duration minDelay(ListedEndpoint engine, Duration delay) {
        return Comparators.max(delay, calls.minInterval(engine.incarnation()));
    }

    private static Duration delayAfter(EngineAnswer.Outcome outcome) {
        return switch (outcome) {
            case FENCED -> DELAY_AFTER_FENCED;
            case ACCEPTED -> LOADING_TIME;
            default -> STATE_QUERY_INTERVAL;
        };
    }

    private void finishIfRegistered(EndpointId id, ListedEndpoint listed) {
        Loading loading = inProgress.get(id);
        ReportedWeights reported = reportedWeights.get(id);
        if (reported != null && (namesVersion(listed, reported.weights()) || isOutdated(reported))) {
            reportedWeights.remove(id);
        }
        if (loading != null && namesVersion(listed, loading.weights)) {
            inProgress.remove(id);
            broadcastLoading.run();
        }
    }

    private static boolean namesVersion(ListedEndpoint listed, ModelWeights weights) {
        return listed.versionOf(weights.model()).orElse(0) >= weights.version();
    }

    private boolean isOutdated(ReportedWeights reported) {
        return context.nowNanos() - reported.reportedNanos() > REGISTRATION_LAG.toNanos();
    }

    /**
     * Ends the update once the engine reports that it runs the weights; its registration follows with its next
     * heartbeat.
     */
    private void finish(ListedEndpoint engine, Loading loading) {
        inProgress.remove(engine.id());
        reportedWeights.put(engine.id(), new ReportedWeights(loading.weights, context.nowNanos()));
        context.raise(new WeightsReported(engine.incarnation(), loading.weights));
        broadcastLoading.run();
        advance();
    }

    /** Raised when an engine reports that it runs these weights. */
    public record WeightsReported(EndpointIncarnation endpoint, ModelWeights weights) implements ControlEvent {}
}
