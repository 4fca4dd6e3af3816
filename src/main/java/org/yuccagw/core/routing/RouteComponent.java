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
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.routing.RouteRequested.Answer;
import org.yuccagw.core.routing.RouteRequested.Query;

/**
 * Chooses the endpoint for each attempt and updates its load and speed estimates from the reported outcome.
 *
 * <p>Only endpoints that accept new requests are candidates. For a model service they must also run the required weight
 * version, which is the version in the catalogue for a new run, and the version of the run itself for a run that is
 * continued on another endpoint. Each query is answered exactly once.
 */
public final class RouteComponent implements ControlComponent {
    private static final Duration SWEEP_INTERVAL = Duration.ofMinutes(1);
    private static final long MAX_ATTEMPT_NANOS = Duration.ofHours(2).toNanos();
    private static final long MIN_TOKENS_TO_LEARN_SPEED = 256;
    private static final long MAX_TOKENS_TO_LEARN_BASE_LATENCY = 64;
    private static final double MAX_IDLE_QUEUE_MILLIS = 1;
    private static final long MIN_IMPORT_DEADLINE_MILLIS = 300;
    private static final RequestClass UNKNOWN_CLASS = new RequestClass(
            "unknown", 0, 1, Duration.ofSeconds(30), Duration.ofMinutes(5), Duration.ofSeconds(20), 1, 0.1);

    private final RoutingPolicy policy;
    private final CacheState cache;
    private final LoadTable loads = LoadTable.create();
    private final StoreLookups storeLookups;
    private final Map<CandidateSetKey, CandidateSet> candidateSets = new HashMap<>();
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private long nextAttempt = 1;

    private RouteComponent(RoutingPolicy policy, CacheState cache) {
        this.policy = policy;
        this.cache = cache;
        this.storeLookups = StoreLookups.of(cache);
    }

    /**
     * Returns a component over the state that it shares with the cache component. The cache component must precede it
     * in the list of components.
     */
    public static RouteComponent of(RoutingPolicy policy, CacheState cache) {
        return new RouteComponent(policy, cache);
    }

    /**
     * The key of a candidate set.
     *
     * @param version weight version of the endpoints, empty for a plain service
     * @param software software version of the endpoints, empty for any
     * @param otherVersions whether the set contains the endpoints that run any other version, instead of those that run
     *     {@code version}
     */
    private record CandidateSetKey(
            String pool, Optional<WeightVersion> version, Optional<SoftwareVersion> software, boolean otherVersions) {
        boolean contains(EndpointStatus endpoint) {
            boolean sameVersion = version.isEmpty() || endpoint.version().equals(version);
            boolean sameSoftware = software.map(endpoint.software()::equals).orElse(true);
            return sameSoftware
                    && (otherVersions ? !sameVersion && endpoint.version().isPresent() : sameVersion);
        }
    }

    /** An attempt that was placed and has not ended. */
    private static final class Attempt {
        private final Query query;
        private final Placement placement;
        private final Optional<ImportsInProgress.Import> startedImport;
        private final double queueMillis;
        private final long placedNanos;
        private long prefillTokens;

        private Attempt(
                Query query,
                Placement placement,
                Optional<ImportsInProgress.Import> startedImport,
                double queueMillis,
                long placedNanos) {
            this.query = query;
            this.placement = placement;
            this.startedImport = startedImport;
            this.queueMillis = queueMillis;
            this.placedNanos = placedNanos;
            this.prefillTokens = placement.recomputedTokens();
        }
    }

    @Override
    public void start(ControlContext context) {
        context.after(SWEEP_INTERVAL, () -> {
            sweep(context);
            start(context);
        });
    }

    @Override
    public void handle(ControlEvent event, ControlContext context) {
        if (event instanceof RouteRequested request) {
            handleRequest(request, context);
        } else if (event instanceof AttemptReport report) {
            handleReport(report, context);
        } else if (event instanceof EndpointReported reported) {
            Optional<EndpointStatus> endpoint = cache.endpoints().find(reported.endpoint());
            endpoint.ifPresent(status -> loads.of(status).applyReport(reported, context.nowNanos()));
        } else if (event instanceof EndpointsChanged changed) {
            handleEndpoints(changed.endpoints());
        } else if (event instanceof CatalogueChanged) {
            candidateSets.clear();
        } else if (event instanceof StoreUpdate.BlocksFound found) {
            storeLookups.handleBlocksFound(found);
        }
    }

    private void handleRequest(RouteRequested request, ControlContext context) {
        Query query = request.query();
        Optional<Service> service = cache.catalogue().service(query.service());
        if (service.isEmpty()) {
            refuse(request, ErrorKind.UNKNOWN_MODEL.raise(query.service()), context);
            return;
        }
        List<PromptNode> path = recordPrompt(query, service.get(), context);
        boolean firstAttempt = query.excluded().isEmpty();
        if (firstAttempt && storeLookups.isNeeded(query.blocks(), path)) {
            storeLookups.lookUp(query.blocks(), context, () -> decide(request, context));
        } else {
            decide(request, context);
        }
    }

    /** Counts the prompt once per request. Later attempts of the same request do not count it again. */
    private List<PromptNode> recordPrompt(Query query, Service service, ControlContext context) {
        if (service.model().isEmpty() || query.blocks().isEmpty()) {
            return List.of();
        }
        if (!query.excluded().isEmpty()) {
            return cache.prompts().findPath(query.blocks());
        }
        double nowSeconds = CacheState.toSeconds(context.nowNanos());
        return cache.prompts().recordRequest(query.blocks(), scope(query, service), nowSeconds, context.random());
    }

    private void decide(RouteRequested request, ControlContext context) {
        Query query = request.query();
        Optional<Service> service = cache.catalogue().service(query.service());
        if (service.isEmpty()) {
            refuse(request, ErrorKind.UNKNOWN_MODEL.raise(query.service()), context);
            return;
        }
        boolean onOtherVersion = choosesOtherVersion(query, service.get(), context);
        RouteRequested routed = onOtherVersion ? new RouteRequested(withoutBlocks(query), request.reply()) : request;
        RoutingView view = view(routed.query(), service.get(), onOtherVersion, context);
        Optional<Placement> placement = view.candidates().size() == 0 ? Optional.empty() : policy.place(view);
        if (placement.isEmpty()) {
            refuse(request, noEndpoint(query, view), context);
            return;
        }
        replyChosen(routed, placement.get(), context);
    }

    /**
     * Returns whether a new request is routed to a replica that still runs another weight version than the catalogue
     * names.
     *
     * <p>While a swap rolls over a pool, its replicas run two versions. If only replicas of the new version were
     * candidates, there would be none at first, and then the first few would receive the whole load. Therefore each
     * version receives new requests in proportion to its number of replicas. The request then runs on the older version
     * from its first to its last token, and its block keys, which belong to the new version, are ignored.
     */
    private boolean choosesOtherVersion(Query query, Service service, ControlContext context) {
        if (service.model().isEmpty() || query.version().isPresent()) {
            return false;
        }
        Optional<WeightVersion> catalogueVersion = service.model().map(Service.ModelSettings::version);
        int catalogueVersionReplicas = candidates(
                        new CandidateSetKey(service.pool(), catalogueVersion, Optional.empty(), false))
                .size();
        int otherVersionReplicas = candidates(
                        new CandidateSetKey(service.pool(), catalogueVersion, Optional.empty(), true))
                .size();
        return otherVersionReplicas > 0
                && context.random().nextInt(catalogueVersionReplicas + otherVersionReplicas) < otherVersionReplicas;
    }

    private static Query withoutBlocks(Query query) {
        return new Query(
                query.request(),
                query.workspace(),
                query.service(),
                query.className(),
                query.version(),
                query.software(),
                ImmutableList.of(),
                query.promptTokens(),
                query.answerTokens(),
                query.excluded(),
                query.exclusive());
    }

    private CandidateSet candidates(CandidateSetKey key) {
        return candidateSets.computeIfAbsent(key, this::buildCandidateSet);
    }

    private RoutingView view(Query query, Service service, boolean onOtherVersion, ControlContext context) {
        Optional<WeightVersion> version =
                service.model().map(model -> query.version().orElse(model.version()));
        return new RoutingView(
                query,
                candidates(new CandidateSetKey(service.pool(), version, query.software(), onOtherVersion)),
                service.model(),
                cache.catalogue().requestClass(query.className()).orElse(UNKNOWN_CLASS),
                cache.prompts().findPath(query.blocks()),
                loads,
                cache,
                context.self().domain(),
                context.random(),
                context.nowNanos());
    }

    private CandidateSet buildCandidateSet(CandidateSetKey key) {
        return CandidateSet.of(cache.endpoints().takingNewWork(key.pool()).stream()
                .filter(key::contains)
                .toList());
    }

    private static YuccagwException noEndpoint(Query query, RoutingView view) {
        boolean versionUnavailable =
                query.version().isPresent() && view.candidates().size() == 0;
        if (!versionUnavailable) {
            return ErrorKind.NO_ENDPOINT.raise(query.service());
        }
        return query.software()
                .map(software -> ErrorKind.SOFTWARE_GONE.raise(query.service(), software))
                .orElseGet(() -> ErrorKind.VERSION_GONE.raise(query.version().get()));
    }

    private void replyChosen(RouteRequested request, Placement placement, ControlContext context) {
        long number = nextAttempt++;
        Query query = request.query();
        EndpointLoad load = loads.of(placement.endpoint());
        double queueMillis = load.queueMillis(context.nowNanos());
        load.place(number, placement.recomputedTokens(), query.exclusive(), context.nowNanos());
        Optional<ImportsInProgress.Import> startedImport = placement
                .fetch()
                .map(fetch -> cache.imports()
                        .begin(
                                placement.endpoint().id(),
                                fetch.prefix().store(),
                                fetch.prefix().slowestTier(),
                                fetch.blocks(),
                                context.nowNanos()));
        attempts.put(number, new Attempt(query, placement, startedImport, queueMillis, context.nowNanos()));
        Answer answer = new Answer.Chosen(
                number,
                placement.endpoint(),
                importPlan(placement, context),
                new RouteExplanation(placement.policy(), placement.candidates()));
        context.reply(() -> request.reply().accept(answer));
    }

    private Optional<ImportPlan> importPlan(Placement placement, ControlContext context) {
        if (placement.joinedImport().isPresent()) {
            ImportsInProgress.Import joinedImport = placement.joinedImport().get();
            Duration importDeadline = importDeadline(joinedImport.remainingMillis(context.nowNanos()));
            ImmutableList<StoredBlock> blocks = joinedImport.blocks();
            return Optional.of(new ImportPlan(
                    joinedImport.store().id(), joinedImport.store().address(), blocks, importDeadline, true));
        }
        return placement
                .fetch()
                .map(fetch -> new ImportPlan(
                        fetch.prefix().store().id(),
                        fetch.prefix().store().address(),
                        ImmutableList.copyOf(fetch.blocks()),
                        importDeadline(fetch.prefix().fetchMillis(fetch.depth())),
                        false));
    }

    /**
     * Returns twice the predicted time of the fetch plus a minimum, so that a link that is slower than that or silent
     * does not delay the request.
     */
    private Duration importDeadline(double predictedMillis) {
        long millis = (long) (2 * predictedMillis) + MIN_IMPORT_DEADLINE_MILLIS;
        return Duration.ofMillis(
                Math.min(millis, cache.settings().importDeadline().toMillis()));
    }

    private void refuse(RouteRequested request, YuccagwException error, ControlContext context) {
        context.reply(() -> request.reply().accept(new Answer.Refused(error)));
    }

    private void handleReport(AttemptReport report, ControlContext context) {
        Attempt attempt = attempts.get(report.attempt());
        if (attempt == null) {
            return;
        }
        EndpointLoad load = loads.of(attempt.placement.endpoint());
        if (report instanceof AttemptReport.Imported imported) {
            endImport(attempt, imported);
        } else if (report instanceof AttemptReport.Sent) {
            attempt.startedImport.ifPresent(cache.imports()::end);
        } else if (report instanceof AttemptReport.FirstToken first) {
            load.recordFirstToken(report.attempt());
            learnFromFirstToken(attempt, load, first.millis());
        } else if (report instanceof AttemptReport.Ended ended) {
            attempts.remove(report.attempt());
            attempt.startedImport.ifPresent(cache.imports()::end);
            load.endAttempt(report.attempt(), attempt.query.exclusive());
            reportServed(attempt, ended, context);
        }
    }

    private void endImport(Attempt attempt, AttemptReport.Imported imported) {
        if (attempt.startedImport.isEmpty()) {
            return;
        }
        int requestedBlocks = attempt.placement.fetch().orElseThrow().blocks().size();
        if (imported.blocks() >= requestedBlocks) {
            cache.imports().complete(attempt.startedImport.get(), (double) imported.millis());
        } else {
            cache.imports().end(attempt.startedImport.get());
            int missingBlocks = requestedBlocks - imported.blocks();
            attempt.prefillTokens += (long) missingBlocks * blockTokens(attempt.query);
        }
    }

    /** Learns from a first token only if, as far as this entry knows, nothing was queued ahead of the request. */
    private void learnFromFirstToken(Attempt attempt, EndpointLoad load, long millis) {
        if (attempt.queueMillis > MAX_IDLE_QUEUE_MILLIS) {
            return;
        }
        if (attempt.prefillTokens >= MIN_TOKENS_TO_LEARN_SPEED) {
            load.learnSpeed(attempt.prefillTokens, (double) millis);
            cache.setPrefillTokensPerMilli(loads.overallTokensPerMilli());
        } else if (attempt.prefillTokens <= MAX_TOKENS_TO_LEARN_BASE_LATENCY) {
            load.learnBaseLatency((double) millis);
        }
    }

    private void reportServed(Attempt attempt, AttemptReport.Ended ended, ControlContext context) {
        Optional<Service> service = cache.catalogue().service(attempt.query.service());
        boolean hasBlocks = !attempt.query.blocks().isEmpty();
        if (ended.answered() && hasBlocks && service.flatMap(Service::model).isPresent()) {
            context.raise(new PromptServed(
                    attempt.placement.endpoint(), scope(attempt.query, service.get()), attempt.query.blocks()));
        }
    }

    private static PromptScope scope(Query query, Service service) {
        WeightVersion version =
                query.version().orElseGet(() -> service.model().orElseThrow().version());
        return new PromptScope(query.workspace(), query.className(), query.service(), version);
    }

    private int blockTokens(Query query) {
        return cache.model(query.service())
                .map(Service.ModelSettings::blockTokens)
                .orElse(0);
    }

    private void handleEndpoints(EndpointsSnapshot endpoints) {
        candidateSets.clear();
        loads.retain(ImmutableSet.copyOf(endpoints.byId().keySet()));
    }

    /** Removes attempts whose end was never reported, so that a missing report cannot exhaust the memory. */
    private void sweep(ControlContext context) {
        for (Iterator<Map.Entry<Long, Attempt>> all = attempts.entrySet().iterator(); all.hasNext(); ) {
            Map.Entry<Long, Attempt> next = all.next();
            Attempt attempt = next.getValue();
            if (context.nowNanos() - attempt.placedNanos > MAX_ATTEMPT_NANOS) {
                all.remove();
                attempt.startedImport.ifPresent(cache.imports()::end);
                loads.of(attempt.placement.endpoint()).endAttempt(next.getKey(), attempt.query.exclusive());
            }
        }
    }
}
