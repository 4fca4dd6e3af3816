package org.yuccagw.core.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yuccagw.core.cache.CacheState;
import org.yuccagw.core.cache.ImportsInProgress;
import org.yuccagw.core.cache.PromptNode;
import org.yuccagw.core.cache.PromptScope;
import org.yuccagw.core.cache.PromptServed;
import org.yuccagw.core.cache.StoreUpdate;
import org.yuccagw.core.cache.StoredBlock;
import org.yuccagw.core.catalogue.CatalogueChanged;
import org.yuccagw.core.catalogue.RequestClass;
import org.yuccagw.core.catalogue.Service;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.endpoint.EndpointReported;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.endpoint.EndpointsChanged;
import org.yuccagw.core.endpoint.EndpointsSnapshot;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.routing.RouteRequested.Answer;
import org.yuccagw.core.routing.RouteRequested.Question;

/**
 * Says where attempts go, and learns from how they went.
 *
 * <p>Only endpoints that take new work are candidates, for a model service only those that run the wanted weight
 * version: the one of the catalogue for a new run, its own for a run that goes on elsewhere. Each question is answered
 * exactly once.
 */
public final class RouteComponent implements ControlComponent {
    private static final Duration SWEEP = Duration.ofMinutes(1);
    private static final long LONGEST_ATTEMPT_NANOS = Duration.ofHours(2).toNanos();
    private static final long LEAST_TOKENS_TO_LEARN_SPEED = 256;
    private static final long MOST_TOKENS_TO_LEARN_BASE = 64;
    private static final double QUIET_QUEUE_MILLIS = 1;
    private static final long LEAST_DEADLINE_MILLIS = 300;
    private static final RequestClass UNKNOWN_CLASS = new RequestClass(
            "unknown", 0, 1, Duration.ofSeconds(30), Duration.ofMinutes(5), Duration.ofSeconds(20), 1, 0.1);

    private final RoutingPolicy policy;
    private final CacheState cache;
    private final LoadTable loads = LoadTable.create();
    private final StoreQuestions storeQuestions;
    private final Map<SetName, CandidateSet> candidateSets = new HashMap<>();
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private long nextAttempt = 1;

    private RouteComponent(RoutingPolicy policy, CacheState cache) {
        this.policy = policy;
        this.cache = cache;
        this.storeQuestions = StoreQuestions.of(cache);
    }

    /** The part over the state that it shares with the cache part, which comes before it in the list of parts. */
    public static RouteComponent of(RoutingPolicy policy, CacheState cache) {
        return new RouteComponent(policy, cache);
    }

    /**
     * Which endpoints of a pool.
     *
     * @param version the weight version in question, empty for a plain service
     * @param others those that run another version than this, in place of those that run it
     */
    private record SetName(String pool, Optional<WeightVersion> version, boolean others) {
        boolean holds(EndpointStatus endpoint) {
            boolean same = version.isEmpty() || endpoint.version().equals(version);
            return others ? !same && endpoint.version().isPresent() : same;
        }
    }

    /** An attempt that was placed and hasn't ended. */
    private static final class Attempt {
        private final Question question;
        private final Placement placement;
        private final Optional<ImportsInProgress.Import> fetching;
        private final double queueMillis;
        private final long placedNanos;
        private long prefillTokens;

        private Attempt(
                Question question,
                Placement placement,
                Optional<ImportsInProgress.Import> fetching,
                double queueMillis,
                long placedNanos) {
            this.question = question;
            this.placement = placement;
            this.fetching = fetching;
            this.queueMillis = queueMillis;
            this.placedNanos = placedNanos;
            this.prefillTokens = placement.recomputedTokens();
        }
    }

    @Override
    public void start(ControlContext context) {
        context.after(SWEEP, () -> {
            sweep(context);
            start(context);
        });
    }

    @Override
    public void handle(ControlEvent event, ControlContext context) {
        if (event instanceof RouteRequested asked) {
            take(asked, context);
        } else if (event instanceof AttemptReport report) {
            takeReport(report, context);
        } else if (event instanceof EndpointReported reported) {
            Optional<EndpointStatus> endpoint = cache.endpoints().find(reported.endpoint());
            endpoint.ifPresent(known -> loads.of(known).report(reported, context.nowNanos()));
        } else if (event instanceof EndpointsChanged changed) {
            takeEndpoints(changed.endpoints());
        } else if (event instanceof CatalogueChanged) {
            candidateSets.clear();
        } else if (event instanceof StoreUpdate.BlocksFound found) {
            storeQuestions.found(found);
        }
    }

    private void take(RouteRequested asked, ControlContext context) {
        Question question = asked.question();
        Optional<Service> service = cache.catalogue().service(question.service());
        if (service.isEmpty()) {
            refuse(asked, ErrorKind.UNKNOWN_MODEL.raise(question.service()), context);
            return;
        }
        List<PromptNode> path = notePrompt(question, service.get(), context);
        boolean firstTry = question.excluded().isEmpty();
        if (firstTry && storeQuestions.isWorthAsking(question.blocks(), path)) {
            storeQuestions.ask(question.blocks(), context, () -> decide(asked, context));
        } else {
            decide(asked, context);
        }
    }

    /** The prompt counts as asked for once: not again for further attempts of the same request. */
    private List<PromptNode> notePrompt(Question question, Service service, ControlContext context) {
        if (service.model().isEmpty() || question.blocks().isEmpty()) {
            return List.of();
        }
        if (!question.excluded().isEmpty()) {
            return cache.prompts().findPath(question.blocks());
        }
        double nowSeconds = CacheState.toSeconds(context.nowNanos());
        return cache.prompts().recordRequest(question.blocks(), scope(question, service), nowSeconds, context.random());
    }

    private void decide(RouteRequested asked, ControlContext context) {
        Question question = asked.question();
        Optional<Service> service = cache.catalogue().service(question.service());
        if (service.isEmpty()) {
            refuse(asked, ErrorKind.UNKNOWN_MODEL.raise(question.service()), context);
            return;
        }
        boolean onOtherVersion = takesOtherVersion(question, service.get(), context);
        RouteRequested placed = onOtherVersion ? new RouteRequested(withoutBlocks(question), asked.reply()) : asked;
        RoutingView view = view(placed.question(), service.get(), onOtherVersion, context);
        Optional<Placement> placement = view.candidates().size() == 0 ? Optional.empty() : policy.place(view);
        if (placement.isEmpty()) {
            refuse(asked, noEndpoint(question, view), context);
            return;
        }
        choose(placed, placement.get(), context);
    }

    /**
     * Whether a new request goes to a replica that still runs other weights than the catalogue names.
     *
     * <p>While a swap rolls over a pool, its replicas run two versions. Only those of the new one as candidates would
     * leave nobody at first, and then put the whole load on the first few. So each version takes the part of new
     * requests that it has of the replicas. The request then runs on the older version from its first to its last
     * token, and the keys of its blocks, which are of the new one, count for nothing.
     */
    private boolean takesOtherVersion(Question question, Service service, ControlContext context) {
        if (service.model().isEmpty() || question.version().isPresent()) {
            return false;
        }
        Optional<WeightVersion> named = service.model().map(Service.ModelSettings::version);
        int ofNamed = candidates(new SetName(service.pool(), named, false)).size();
        int ofOthers = candidates(new SetName(service.pool(), named, true)).size();
        return ofOthers > 0 && context.random().nextInt(ofNamed + ofOthers) < ofOthers;
    }

    private static Question withoutBlocks(Question question) {
        return new Question(
                question.request(),
                question.workspace(),
                question.service(),
                question.className(),
                question.version(),
                ImmutableList.of(),
                question.promptTokens(),
                question.answerTokens(),
                question.excluded(),
                question.alone());
    }

    private CandidateSet candidates(SetName name) {
        return candidateSets.computeIfAbsent(name, this::makeSet);
    }

    private RoutingView view(Question question, Service service, boolean onOtherVersion, ControlContext context) {
        Optional<WeightVersion> version =
                service.model().map(model -> question.version().orElse(model.version()));
        return new RoutingView(
                question,
                candidates(new SetName(service.pool(), version, onOtherVersion)),
                service.model(),
                cache.catalogue().requestClass(question.className()).orElse(UNKNOWN_CLASS),
                cache.prompts().findPath(question.blocks()),
                loads,
                cache,
                context.self().domain(),
                context.random(),
                context.nowNanos());
    }

    private CandidateSet makeSet(SetName name) {
        return CandidateSet.of(cache.endpoints().takingNewWork(name.pool()).stream()
                .filter(name::holds)
                .toList());
    }

    private static YuccagwException noEndpoint(Question question, RoutingView view) {
        boolean ownVersion = question.version().isPresent() && view.candidates().size() == 0;
        return ownVersion
                ? ErrorKind.VERSION_GONE.raise(question.version().get())
                : ErrorKind.NO_ENDPOINT.raise(question.service());
    }

    private void choose(RouteRequested asked, Placement placement, ControlContext context) {
        long number = nextAttempt++;
        Question question = asked.question();
        EndpointLoad load = loads.of(placement.endpoint());
        double queueMillis = load.queueMillis(context.nowNanos());
        load.place(number, placement.recomputedTokens(), question.alone(), context.nowNanos());
        Optional<ImportsInProgress.Import> fetching = placement
                .fetch()
                .map(fetch -> cache.imports()
                        .begin(
                                placement.endpoint().id(),
                                fetch.prefix().store(),
                                fetch.prefix().slowestTier(),
                                fetch.blocks(),
                                context.nowNanos()));
        attempts.put(number, new Attempt(question, placement, fetching, queueMillis, context.nowNanos()));
        Answer answer = new Answer.Chosen(
                number,
                placement.endpoint(),
                importPlan(placement, context),
                new RouteExplanation(placement.policy(), placement.weighed()));
        context.reply(() -> asked.reply().accept(answer));
    }

    private Optional<ImportPlan> importPlan(Placement placement, ControlContext context) {
        if (placement.joined().isPresent()) {
            ImportsInProgress.Import joined = placement.joined().get();
            Duration deadline = deadline(joined.remainingMillis(context.nowNanos()));
            ImmutableList<StoredBlock> blocks = joined.blocks();
            return Optional.of(
                    new ImportPlan(joined.store().id(), joined.store().address(), blocks, deadline, true));
        }
        return placement
                .fetch()
                .map(fetch -> new ImportPlan(
                        fetch.prefix().store().id(),
                        fetch.prefix().store().address(),
                        ImmutableList.copyOf(fetch.blocks()),
                        deadline(fetch.prefix().fetchMillis(fetch.depth())),
                        false));
    }

    /** Twice what the fetch should take: a link that is slower than that, or silent, must not hold a request back. */
    private Duration deadline(double predictedMillis) {
        long millis = (long) (2 * predictedMillis) + LEAST_DEADLINE_MILLIS;
        return Duration.ofMillis(
                Math.min(millis, cache.settings().importDeadline().toMillis()));
    }

    private void refuse(RouteRequested asked, YuccagwException error, ControlContext context) {
        context.reply(() -> asked.reply().accept(new Answer.Refused(error)));
    }

    private void takeReport(AttemptReport report, ControlContext context) {
        Attempt attempt = attempts.get(report.attempt());
        if (attempt == null) {
            return;
        }
        EndpointLoad load = loads.of(attempt.placement.endpoint());
        if (report instanceof AttemptReport.Imported imported) {
            endFetch(attempt, imported);
        } else if (report instanceof AttemptReport.Sent) {
            attempt.fetching.ifPresent(cache.imports()::end);
        } else if (report instanceof AttemptReport.FirstToken first) {
            load.firstToken(report.attempt());
            learn(attempt, load, first.millis());
        } else if (report instanceof AttemptReport.Ended ended) {
            attempts.remove(report.attempt());
            attempt.fetching.ifPresent(cache.imports()::end);
            load.end(report.attempt(), attempt.question.alone());
            served(attempt, ended, context);
        }
    }

    private void endFetch(Attempt attempt, AttemptReport.Imported imported) {
        if (attempt.fetching.isEmpty()) {
            return;
        }
        int asked = attempt.placement.fetch().orElseThrow().blocks().size();
        if (imported.blocks() >= asked) {
            cache.imports().complete(attempt.fetching.get(), (double) imported.millis());
        } else {
            cache.imports().end(attempt.fetching.get());
            int missing = asked - imported.blocks();
            attempt.prefillTokens += (long) missing * blockTokens(attempt.question);
        }
    }

    /** A first token tells the engine's speed only if nothing of this entry's knowledge waited before it. */
    private void learn(Attempt attempt, EndpointLoad load, long millis) {
        if (attempt.queueMillis > QUIET_QUEUE_MILLIS) {
            return;
        }
        if (attempt.prefillTokens >= LEAST_TOKENS_TO_LEARN_SPEED) {
            load.learn(attempt.prefillTokens, (double) millis);
            cache.setPrefillTokensPerMilli(loads.usualTokensPerMilli());
        } else if (attempt.prefillTokens <= MOST_TOKENS_TO_LEARN_BASE) {
            load.learnBase((double) millis);
        }
    }

    private void served(Attempt attempt, AttemptReport.Ended ended, ControlContext context) {
        Optional<Service> service = cache.catalogue().service(attempt.question.service());
        boolean hasBlocks = !attempt.question.blocks().isEmpty();
        if (ended.answered() && hasBlocks && service.flatMap(Service::model).isPresent()) {
            context.raise(new PromptServed(
                    attempt.placement.endpoint(), scope(attempt.question, service.get()), attempt.question.blocks()));
        }
    }

    private static PromptScope scope(Question question, Service service) {
        WeightVersion version =
                question.version().orElseGet(() -> service.model().orElseThrow().version());
        return new PromptScope(question.workspace(), question.className(), question.service(), version);
    }

    private int blockTokens(Question question) {
        return cache.model(question.service())
                .map(Service.ModelSettings::blockTokens)
                .orElse(0);
    }

    private void takeEndpoints(EndpointsSnapshot endpoints) {
        candidateSets.clear();
        loads.retain(ImmutableSet.copyOf(endpoints.byId().keySet()));
    }

    /** Drops attempts whose end was never reported, so that a fault elsewhere can't fill the memory. */
    private void sweep(ControlContext context) {
        for (Iterator<Map.Entry<Long, Attempt>> all = attempts.entrySet().iterator(); all.hasNext(); ) {
            Map.Entry<Long, Attempt> next = all.next();
            Attempt attempt = next.getValue();
            if (context.nowNanos() - attempt.placedNanos > LONGEST_ATTEMPT_NANOS) {
                all.remove();
                attempt.fetching.ifPresent(cache.imports()::end);
                loads.of(attempt.placement.endpoint()).end(next.getKey(), attempt.question.alone());
            }
        }
    }
}
