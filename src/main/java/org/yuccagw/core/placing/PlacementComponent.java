package org.yuccagw.core.placing;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.deployment.BackEndService;
import org.yuccagw.core.deployment.ColdTraits;
import org.yuccagw.core.deployment.Deployment;
import org.yuccagw.core.deployment.EngineTraits;
import org.yuccagw.core.deployment.Homes;
import org.yuccagw.core.deployment.Regions;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.fleet.ModelWeights;
import org.yuccagw.core.follow.ConfigurationComponent;
import org.yuccagw.core.follow.NamedWeightsComponent;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.notice.NoticesComponent;
import org.yuccagw.core.peers.PeerStatus;
import org.yuccagw.core.placing.AttemptEnded.End;
import org.yuccagw.core.placing.WaitingRequests.Waiting;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.core.prompt.PromptPart;
import org.yuccagw.core.prompt.PromptShape;
import org.yuccagw.core.ratelimit.EndpointConstraints;
import org.yuccagw.core.ratelimit.RateLimitsComponent;
import org.yuccagw.core.stores.CachePlan;
import org.yuccagw.core.stores.CacheSalt;
import org.yuccagw.core.stores.EngineCachesComponent;
import org.yuccagw.core.stores.RetiredPartsComponent;
import org.yuccagw.core.stores.StoresComponent;

/**
 * Places requests on endpoints, lets them wait here while no endpoint has room, and refuses what can't be served.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>Every ticket is ended exactly once, and what it counted is given back then.
 *   <li>A repeat is placed only if this entry's part of the retry budget has it.
 *   <li>No request is placed on an endpoint that said that it leaves.
 * </ul>
 */
public final class PlacementComponent implements ControlComponent {
    private static final Duration LOOK_AT_WAITING = Duration.ofMillis(10);

    /** A prompt with more to read holds up others by 30 ms and more. */
    private static final int LONG_READ_TOKENS = 1_500;

    /** With twelve entries and eight long prompts a second at each, an entry sends 200 short messages a second. */
    private static final int MOST_ENTRIES_TOLD = 12;

    private static final long SHORTEST_RETRY_AFTER_MILLIS = 150;
    /** Longer than any request waits. Which entry a caller meets the next time is chance. */
    private static final Duration WAIT_WITHOUT_PART = Duration.ofSeconds(3);

    private static final Duration SUSPECT_RETRY_AFTER = Duration.ofSeconds(20);

    private final RetryBounds retries;
    private final Candidates candidates;
    private final Regions regions;
    private final NamedWeightsComponent weights;
    private final StoresComponent stores;
    private final RateLimitsComponent rateLimits;
    private final NoticesComponent notices;
    private final PromptNeeds needs;
    private final Fleet fleet;
    private final Answers answers;
    private final EndpointTable endpoints;
    private final ReadSpeed speed = new ReadSpeed();
    private final Map<ServiceName, RetryAllowance> allowances = new HashMap<>();
    private final SuspectRequests suspects = new SuspectRequests();
    private final Map<Long, Running> running = new HashMap<>();
    private final WaitingRequests waiting = new WaitingRequests();
    private Optional<Deployment> deployment = Optional.empty();
    private ControlContext context;
    private EndpointChoice choice;
    private long nextTicket = 1;
    private boolean lookScheduled;

    /** An attempt on its way. */
    private static final class Running {
        private final EndpointState endpoint;
        private final PlacementRequest asked;
        private final Optional<PromptNeed> need;
        private final boolean alone;
        private final long sinceNanos;
        private Work work;

        private Running(
                EndpointChoice.Chosen chosen, PlacementRequest asked, Work work, boolean alone, long sinceNanos) {
            this.endpoint = chosen.endpoint();
            this.asked = asked;
            this.need = chosen.need();
            this.work = work;
            this.alone = alone;
            this.sinceNanos = sinceNanos;
        }

        private Optional<String> model() {
            return asked.prompt().map(PromptShape::model);
        }
    }

    private PlacementComponent(
            PlacementBounds bounds,
            Regions regions,
            NamedWeightsComponent weights,
            StoresComponent stores,
            EngineCachesComponent caches,
            EndpointConstraints constraints,
            Fleet fleet,
            Answers answers) {
        this.endpoints = new EndpointTable(this::coldTraits, constraints.notices()::isLeaving);
        this.rateLimits = constraints.rateLimits();
        this.notices = constraints.notices();
        this.regions = regions;
        this.retries = bounds.retries();
        this.stores = stores;
        this.needs = new PromptNeeds(stores, caches);
        this.weights = weights;
        this.fleet = fleet;
        this.answers = answers;
        this.candidates = new Candidates(
                endpoints, new ColdLimit(bounds.cold()), regions, weights, constraints, fleet, answers::isOwn);
    }

    /**
     * The placing of one entry.
     *
     * @param bounds of what all entries send
     * @param regions in which homes of routes and workspaces are looked up
     * @param weights which weights are named
     * @param stores plans what is fetched from and saved to cache stores
     * @param caches what engines hold themselves
     * @param constraints what endpoints ask of this entry
     * @param fleet the other entries that place requests
     * @param answers takes what is decided
     */
    public static PlacementComponent of(
            PlacementBounds bounds,
            Regions regions,
            NamedWeightsComponent weights,
            StoresComponent stores,
            EngineCachesComponent caches,
            EndpointConstraints constraints,
            Fleet fleet,
            Answers answers) {
        return new PlacementComponent(bounds, regions, weights, stores, caches, constraints, fleet, answers);
    }

    /** The entries that place requests. */
    public interface Fleet {
        /** How many place requests at present, this one included. */
        int placing();

        /** Into how many equal parts the slack of the retry budget is divided, of which this entry has one. */
        int retryShares();

        /**
         * Into how many equal parts the bound on requests to one cold endpoint of a failure domain is divided, of which
         * this entry has one; 0 if it has none.
         */
        int coldShares(FailureDomain domain);

        /** Sends to all others that place requests. */
        void tellAll(PeerMessage message);

        /** Sends to the others that place requests on endpoints of a failure domain. */
        void tellOfEndpoint(FailureDomain domain, PeerMessage message);
    }

    /** Takes decisions. */
    public interface Answers {
        void decided(PlacementRequest asked, PlacementDecision decision);

        /** Whether the caller of the request is one of this entry. */
        boolean isOwn(PlacementRequest asked);

        /** No endpoint has room, and the decision comes later. */
        void waits(PlacementRequest asked);
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        endpoints.start(startContext);
        candidates.start(startContext);
        choice = new EndpointChoice(
                new Scoring(context.self().domain()),
                needs,
                speed,
                this::shortestTarget,
                () -> context.random().nextDouble());
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        endpoints.handle(event);
        if (event instanceof LocalPlacementRequested requested) {
            onAsked(requested.asked());
        } else if (event instanceof AttemptBegun begun) {
            onBegun(begun);
        } else if (event instanceof AttemptEnded ended) {
            onEnded(ended);
        } else if (event instanceof ConfigurationComponent.Applied applied) {
            deployment = Optional.of(applied.deployment());
            candidates.configure(applied.deployment());
        } else if (event instanceof PeerReceived received && received.message() instanceof BreakReported reported) {
            suspects.add(reported.fingerprint(), reported.endpoint(), context.nowNanos());
        }
    }

    // ---- What others ask.

    /** What this entry has running, for its heartbeat. */
    public ImmutableList<PeerStatus.Load> loads() {
        return endpoints.loads();
    }

    /** How many requests run on an endpoint, as far as known. */
    public int requestsOn(EndpointId endpoint) {
        return endpoints.requestsOn(endpoint);
    }

    /** What a ticket counts at present; nothing if it has ended. */
    public Work workOf(long ticket) {
        Running attempt = running.get(ticket);
        return attempt == null ? Work.NONE : attempt.work;
    }

    /** The endpoint, if this entry may send a request there as far as it knows. */
    public Optional<ListedEndpoint> usableEndpoint(EndpointIncarnation incarnation) {
        return endpoints
                .present(incarnation)
                .filter(endpoint -> endpoint.isUsable(context.nowNanos()))
                .map(EndpointState::listed)
                .filter(endpoint -> !notices.backsOff(endpoint.incarnation()));
    }

    /** Whether all endpoints for the request turn requests away, so that no other entry needs to be asked. */
    public boolean isTurnedAway(PlacementRequest asked) {
        return !candidates.turnedAwayFor(asked).isZero();
    }

    /** Endpoints to which this entry sends nothing, whoever decides. */
    public List<EndpointId> spared() {
        return endpoints.all().stream()
                .filter(this::isSpared)
                .map(EndpointState::listed)
                .map(ListedEndpoint::id)
                .toList();
    }

    private boolean isSpared(EndpointState endpoint) {
        return endpoint.leaving() || notices.backsOff(endpoint.listed().incarnation());
    }

    /** Entries that may serve the request where this one may send nothing; empty if this one may. */
    public List<EntryId> othersWithinLimits(PlacementRequest asked) {
        return candidates.othersWithinLimits(asked);
    }

    /** Engines that load on orders of this entry. */
    public void ownLoading(List<EndpointIncarnation> loading) {
        endpoints.replaceLoading(context.self().entry(), loading);
    }

    // ---- Placing.

    private void onAsked(PlacementRequest asked) {
        RetryAllowance allowance = allowanceOf(asked.service());
        if (asked.kind() == PlacementRequest.Kind.FIRST) {
            allowance.countRequest(context.nowNanos());
        }
        int breaks = suspects.count(asked.fingerprint(), context.nowNanos());
        if (breaks >= SuspectRequests.LIMIT) {
            refuse(asked, ErrorKind.SUSPECT_REQUEST.raise(breaks).withRetryAfter(SUSPECT_RETRY_AFTER), "suspect");
        } else if (asked.isRepeat() && !allowance.take(context.nowNanos(), fleet.retryShares())) {
            refuse(asked, ErrorKind.RETRY_BUDGET_SPENT.raise(asked.service()), "retry budget spent");
        } else {
            placeOrWait(WaitingRequests.of(asked, context.nowNanos()));
        }
    }

    /**
     * Places the request if an endpoint has room now, else lets it wait. Those that wait already are offered again
     * every {@link #LOOK_AT_WAITING} and whenever an attempt begins or ends, so room that they can use is seldom
     * there.
     */
    private void placeOrWait(Waiting request) {
        if (tryPlace(request)) {
            return;
        }
        if (candidates.isHopeless(request.asked())) {
            refuse(request.asked(), ErrorKind.NO_ENDPOINT.raise(request.asked().service()), "all tried");
            return;
        }
        long longestMillis = (request.untilNanos() - request.sinceNanos()) / 1_000_000;
        long engineMillis = expectedWaitMillis(request);
        long limitMillis = waitWithinLimitsMillis(request);
        if (engineMillis > longestMillis) {
            refuseOverloaded(request.asked(), engineMillis, "wait too long");
        } else if (limitMillis > longestMillis) {
            refuseOverloaded(request.asked(), limitMillis, "rate limits");
        } else {
            waiting.add(request);
            answers.waits(request.asked());
            scheduleLook();
        }
    }

    /**
     * Until engines have read what waits here before the request, if every entry that places has as much waiting: 7 in
     * a mesh of 7, 5 where 95 or 300 entries leave it to the leads of five failure domains.
     */
    private long expectedWaitMillis(Waiting request) {
        if (request.asked().prompt().isEmpty()) {
            return 0;
        }
        long usable = Math.max(1, candidates.usableCount(request.asked().service()));
        long tokens = waiting.tokensBefore(request.rank(), context.nowNanos()) * fleet.placing();
        return (long) speed.millisFor((double) tokens / usable);
    }

    /**
     * Until the request's turn comes where all endpoints for it have rate limits. Guards against a line of requests
     * that wait for their whole time for what is known not to come.
     */
    private long waitWithinLimitsMillis(Waiting request) {
        OptionalDouble rate = candidates.rateWithinLimits(request.asked());
        if (rate.isEmpty()) {
            return 0;
        }
        if (rate.getAsDouble() == 0) {
            return WAIT_WITHOUT_PART.toMillis();
        }
        int before = waiting.countBefore(request.rank(), request.asked().service());
        return (long) ((before + 1) * 1_000 / rate.getAsDouble());
    }

    private void scheduleLook() {
        if (!lookScheduled) {
            lookScheduled = true;
            context.after(LOOK_AT_WAITING, () -> {
                lookScheduled = false;
                lookAtWaiting();
            });
        }
    }

    private void lookAtWaiting() {
        waiting.offerAll(context.nowNanos(), this::tryPlace, this::refuseExpired);
        if (!waiting.isEmpty()) {
            scheduleLook();
        }
    }

    private void refuseExpired(Waiting request) {
        PlacementRequest asked = request.asked();
        if (candidates.usableCount(asked.service()) == 0 || asked.prompt().isEmpty()) {
            refuse(asked, ErrorKind.NO_ENDPOINT.raise(asked.service()), "none usable");
        } else {
            refuseOverloaded(asked, request.waitedMillis(context.nowNanos()), "wait too long");
        }
    }

    private void refuseOverloaded(PlacementRequest asked, long waitMillis, String reason) {
        YuccagwException error = ErrorKind.OVERLOADED.raise(waitMillis);
        refuse(asked, error.withRetryAfter(retryAfter(waitMillis)), reason);
    }

    /** Places or refuses the request; false if no endpoint can take it now. */
    private boolean tryPlace(Waiting request) {
        PlacementRequest asked = request.asked();
        List<EndpointState> able = candidates.of(asked);
        if (able.isEmpty()) {
            return refuseIfTurnedAwayForTooLong(request);
        }
        long leftMillis = asked.leftMillis() - request.waitedMillis(context.nowNanos());
        Optional<EndpointChoice.Chosen> chosen = choose(request, able);
        if (chosen.isEmpty()) {
            return false;
        }
        if (chosen.get().firstByteMillis() > leftMillis) {
            refuseOverloaded(asked, (long) chosen.get().firstByteMillis() - leftMillis, "wait too long");
            return true;
        }
        place(request, chosen.get());
        return true;
    }

    /** Guards against callers that are held for their whole patience while it is known that no endpoint takes them. */
    private boolean refuseIfTurnedAwayForTooLong(Waiting request) {
        long millis = candidates.turnedAwayFor(request.asked()).toMillis();
        boolean tooLong = millis > (request.untilNanos() - context.nowNanos()) / 1_000_000 && millis > 0;
        if (tooLong) {
            refuseOverloaded(request.asked(), millis, "endpoints turn away");
        }
        return tooLong;
    }

    private Optional<EndpointChoice.Chosen> choose(Waiting request, List<EndpointState> candidates) {
        PlacementRequest asked = request.asked();
        long now = context.nowNanos();
        Optional<EngineTraits> engine =
                deployment.flatMap(known -> known.service(asked.service())).flatMap(BackEndService::engine);
        if (asked.prompt().isEmpty() || engine.isEmpty()) {
            return choice.forPlainCall(candidates, now);
        }
        OptionalLong newest = newestOf(asked.prompt().get().model());
        return choice.forPrompt(asked, engine.get(), candidates, newest, request.isLate(now), now);
    }

    private void place(Waiting request, EndpointChoice.Chosen chosen) {
        PlacementRequest asked = request.asked();
        EndpointState endpoint = chosen.endpoint();
        long ticket = nextTicket++;
        long tokens = asked.prompt().map(prompt -> (long) prompt.tokens()).orElse(0L);
        Work work = Work.ofOne(tokens, chosen.need().map(PromptNeed::readTokens).orElse(0));
        boolean alone = endpoint.work().unreadTokens() == 0;
        endpoint.add(work);
        endpoint.sent(context.nowNanos());
        rateLimits.sendsRequest(endpoint.listed().incarnation());
        notices.places(endpoint.listed().incarnation());
        tellIfLong(endpoint, work);
        running.put(ticket, new Running(chosen, asked, work, alone, context.nowNanos()));
        OptionalLong version = asked.prompt().isPresent()
                ? endpoint.versionOf(asked.prompt().get().model())
                : OptionalLong.empty();
        Optional<String> salt =
                asked.prompt().map(prompt -> CacheSalt.of(asked.workspace(), asked.homes(), version.orElse(0)));
        Optional<CachePlan> cache = cachePlan(asked, endpoint, version, salt);
        context.perform(Decision.of("placed")
                .with("request", asked.request())
                .with("route", asked.route().name())
                .with("endpoint", endpoint.listed().incarnation())
                .with("cost", (long) chosen.cost())
                .with("waited_ms", request.waitedMillis(context.nowNanos()))
                .with("predicted_ms", (long) chosen.firstByteMillis())
                .with("running", endpoint.work().requests())
                .with("running_tokens", endpoint.work().tokens())
                .with("unread_tokens", endpoint.work().unreadTokens())
                .with("repeat", asked.isRepeat())
                .with("rate_limited", rateLimits.isLimited(endpoint.listed().incarnation()))
                .with("urgency", request.rank().urgency())
                .with("version", version.orElse(0))
                .with(
                        "session",
                        asked.prompt()
                                .flatMap(PromptShape::session)
                                .map(PromptPart::id)
                                .orElse(""))
                .with(
                        "prompt_tokens",
                        asked.prompt().map(PromptShape::promptTokens).orElse(0))
                .with(
                        "shared_tokens",
                        asked.prompt().map(PromptShape::sharedTokens).orElse(0))
                .with("fetch_tokens", chosen.need().map(PromptNeed::fetchTokens).orElse(0))
                .with("read_tokens", chosen.need().map(PromptNeed::readTokens).orElse(0))
                .with("salt", salt.orElse("")));
        PlacementDecision.Placed placed = new PlacementDecision.Placed(
                ticket,
                endpoint.listed(),
                version,
                salt,
                cache,
                request.rank().urgency(),
                (long) chosen.firstByteMillis(),
                rateLimits.isLimited(endpoint.listed().incarnation()));
        answers.decided(asked, placed);
    }

    /**
     * Tells the other entries at once when what is unread on an engine has changed by a long prompt.
     *
     * <p>Guards against entries that send their prompts behind a long one which they learn of with the next heartbeat
     * only: a tenth of the short prompts waited for 350 ms and more on engines that seemed to have nothing to read.
     * In a mesh of more the messages would cost more than they gain; where leads place, only the lead of the
     * endpoint's failure domain is told.
     */
    private void tellIfLong(EndpointState endpoint, Work changed) {
        if (changed.unreadTokens() >= LONG_READ_TOKENS && fleet.placing() <= MOST_ENTRIES_TOLD) {
            fleet.tellOfEndpoint(endpoint.listed().domain(), new LoadUpdate(endpoint.load()));
        }
    }

    /**
     * Prompts on older weights still fetch what lies there for them, but nothing more is saved for those weights; and
     * after a while nothing is fetched either, since the parts are about to be freed.
     */
    private Optional<CachePlan> cachePlan(
            PlacementRequest asked, EndpointState endpoint, OptionalLong version, Optional<String> salt) {
        if (asked.prompt().isEmpty() || version.isEmpty()) {
            return Optional.empty();
        }
        String model = asked.prompt().get().model();
        boolean old = weights.isBehind(model, version.getAsLong());
        Duration behind = weights.behindFor(model, version.getAsLong(), context.nowNanos());
        if (behind.compareTo(RetiredPartsComponent.OLD_FETCHES) >= 0) {
            return Optional.empty();
        }
        int held = needs.heldParts(asked, endpoint);
        Homes homes = asked.homes();
        FailureDomain domain = endpoint.listed().domain();
        return stores.plan(
                asked.prompt().get(), salt.get(), domain, held, kept -> !old && homes.allow(regions.of(kept)));
    }

    private void refuse(PlacementRequest asked, YuccagwException error, String reason) {
        YuccagwException timed =
                error.retryAfter().isPresent() ? error : error.withRetryAfter(retryAfter(SHORTEST_RETRY_AFTER_MILLIS));
        context.perform(Decision.of("refused")
                .with("request", asked.request())
                .with("route", asked.route().name())
                .with("reason", reason)
                .with("repeat", asked.isRepeat())
                .with("usable", candidates.usableCount(asked.service()))
                .with("waiting", waiting.size())
                .with("left_ms", asked.leftMillis()));
        answers.decided(asked, new PlacementDecision.Refused(timed));
    }

    /** Spread over twice the wait, so that callers who were refused together don't come back together. */
    private Duration retryAfter(long millis) {
        long least = Math.max(SHORTEST_RETRY_AFTER_MILLIS, millis);
        return Duration.ofMillis(least + (long) (context.random().nextDouble() * least));
    }

    private Duration shortestTarget(ServiceName service) {
        return deployment.flatMap(known -> known.shortestTarget(service)).orElse(Duration.ZERO);
    }

    /** The newest weights: named by operators, or those that an endpoint registered with if none were named yet. */
    private OptionalLong newestOf(String model) {
        OptionalLong named = weights.newest(model);
        return named.isPresent() ? named : endpoints.newestRun(model);
    }

    private ColdTraits coldTraits(ServiceName service) {
        return candidates.coldTraits(service);
    }

    private RetryAllowance allowanceOf(ServiceName service) {
        return allowances.computeIfAbsent(
                service, name -> RetryAllowance.of(retries.ratio(), retries.slack(), retries.window()));
    }

    // ---- What comes of attempts.

    private void onBegun(AttemptBegun begun) {
        Running attempt = running.get(begun.ticket());
        if (attempt == null || attempt.need.isEmpty()) {
            return;
        }
        if (attempt.alone && attempt.need.get().fetchTokens() == 0) {
            double millis = (context.nowNanos() - attempt.sinceNanos) / 1e6 - FirstToken.START_MILLIS;
            speed.learn(attempt.need.get().readTokens(), millis);
        }
        Work before = attempt.work;
        attempt.endpoint.remove(before);
        attempt.work = before.begun();
        attempt.endpoint.add(attempt.work);
        notices.answered(attempt.endpoint.listed().incarnation(), attempt.sinceNanos);
        tellIfLong(attempt.endpoint, before);
        lookIfWaiting();
    }

    private void onEnded(AttemptEnded ended) {
        Running attempt = running.remove(ended.ticket());
        if (attempt == null) {
            return;
        }
        EndpointState endpoint = attempt.endpoint;
        EndpointIncarnation incarnation = endpoint.listed().incarnation();
        endpoint.remove(attempt.work);
        tellIfLong(endpoint, attempt.work);
        if (ended.version().isPresent() && attempt.model().isPresent()) {
            endpoints.hearWeights(
                    incarnation,
                    new ModelWeights(attempt.model().get(), ended.version().getAsLong()));
        }
        note(endpoint, ended.end(), attempt);
        if (ended.end() == End.ANSWERED || ended.end() == End.FAULT) {
            notices.answered(incarnation, attempt.sinceNanos);
        } else {
            notices.unanswered(incarnation);
        }
        if (ended.end() == End.ANSWERED) {
            suspects.clear(attempt.asked.fingerprint());
        } else if (ended.end() == End.BROKEN) {
            suspects.add(attempt.asked.fingerprint(), incarnation, context.nowNanos());
            fleet.tellAll(new BreakReported(attempt.asked.fingerprint(), incarnation));
        }
        lookIfWaiting();
    }

    private void lookIfWaiting() {
        if (!waiting.isEmpty()) {
            lookAtWaiting();
        }
    }

    private void note(EndpointState endpoint, End end, Running attempt) {
        long now = context.nowNanos();
        switch (end) {
            case ANSWERED -> {
                endpoint.reached();
                endpoint.outcome(false);
            }
            case FAULT -> {
                endpoint.reached();
                endpoint.outcome(true);
            }
            case SHED -> endpoint.shed(now);
            case WRONG_ENDPOINT -> {
                endpoint.leave();
                context.perform(Decision.of("endpoint-gone")
                        .with("endpoint", endpoint.listed().incarnation()));
            }
            case WRONG_VERSION -> attempt.model().ifPresent(model -> hearNewest(endpoint, model));
            case UNREACHED -> {
                endpoint.unreached(now);
                context.perform(Decision.of("endpoint-avoided")
                        .with("endpoint", endpoint.listed().incarnation())
                        .with("unreached_in_row", endpoint.unreachedInRow()));
            }
            case BROKEN, SILENT -> endpoint.outcome(true);
            default -> {}
        }
    }

    /** It runs other weights than it was known to: the newest named ones, since engines only ever go there. */
    private void hearNewest(EndpointState endpoint, String model) {
        OptionalLong named = weights.newest(model);
        if (named.isPresent() && endpoint.versionOf(model).orElse(0) < named.getAsLong()) {
            endpoint.hear(new ModelWeights(model, named.getAsLong()), context.nowNanos());
        } else {
            endpoint.shed(context.nowNanos());
        }
    }
}
