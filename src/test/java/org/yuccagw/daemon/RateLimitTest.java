package org.yuccagw.daemon;

import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.control.ControlInput;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.notice.EndpointNotice;
import org.yuccagw.core.notice.NoticeHeard;
import org.yuccagw.core.notice.RateLimit;
import org.yuccagw.core.placing.AttemptBegun;
import org.yuccagw.core.placing.AttemptEnded;
import org.yuccagw.core.placing.AttemptEnded.End;
import org.yuccagw.core.placing.PlaceDecision;
import org.yuccagw.core.stores.StoreAnswer;
import org.yuccagw.core.stores.StoreCall;

/**
 * Engines that name a rate limit in their answers: what arrives there from all entries together stays within it, from
 * half a second after it was first named on.
 */
public class RateLimitTest {
    private static final FailureDomain HOME = VirtualFleet.NORTHERN;
    private static final FailureDomain OTHER = VirtualFleet.SOUTHERN;
    private static final Duration ANSWER = Duration.ofMillis(500);
    private static final Duration FIRST_TOKEN = Duration.ofMillis(30);
    private static final Duration APART = Duration.ofMillis(3);
    private static final Duration EVENTS_AFTER = Duration.ofMillis(100);
    private static final Duration HEARD_BY_THEN = Duration.ofMillis(500);
    private static final long AT_ONCE_MILLIS = 50;
    private static final int TOKENS = 800;
    private static final int ENGINES = 12;
    private static final int MESH = 8;
    private static final int LARGE = 66;
    private static final String LIMITED = "engine-0";

    private static final Duration WINDOW = Duration.ofSeconds(4);
    private static final double OVERAGE = 1.5;
    private static final int SLACK = 5;

    private VirtualFleet fleet;
    private List<BenchNode> nodes;
    private Map<String, RateLimit> limits;
    private Map<String, List<Long>> requests;
    private Map<String, List<Long>> eventCalls;
    private Map<EntryId, Integer> senders;
    private List<Long> refusedMillis;
    private Duration apart;
    private int next;

    private void start(int entries) {
        fleet = new VirtualFleet();
        nodes = new ArrayList<>();
        limits = new HashMap<>();
        requests = new HashMap<>();
        eventCalls = new HashMap<>();
        senders = new HashMap<>();
        refusedMillis = new ArrayList<>();
        apart = APART;
        next = 0;
        fleet.bench.onAction(this::tellEvents);
        for (int index = 0; index < entries; index++) {
            nodes.add(fleet.start("entry-" + index, domainOf(index)));
        }
        fleet.configure(1);
        for (int index = 0; index < ENGINES; index++) {
            fleet.addEngine("engine-" + index, domainOf(index), Duration.ZERO);
        }
        fleet.bench.runFor(Duration.ofSeconds(8));
    }

    /** Starts under load, and has one engine name a limit after a second; returns when. */
    private long startLimited(int entries, double perSecond) {
        start(entries);
        play(Duration.ofSeconds(1));
        limit(LIMITED, perSecond);
        return now();
    }

    private static FailureDomain domainOf(int index) {
        return index % 2 == 0 ? HOME : OTHER;
    }

    /** Each engine has news of its cache whenever it is asked, a moment later. */
    private boolean tellEvents(ControlAction action, ControlInput input) {
        if (!(action instanceof StoreCall.AskChanges ask)) {
            return false;
        }
        String engine = ask.store().id().value().replaceAll("@.*", "");
        eventCalls.computeIfAbsent(engine, name -> new ArrayList<>()).add(now());
        StoreAnswer.Change change = new StoreAnswer.Change(true, "s.1", "part", TOKENS, VirtualFleet.MODEL);
        StoreAnswer answer = new StoreAnswer.Changes(
                ask.store().id(), 1, ask.since() + 1, false, now() / 1_000_000, ImmutableList.of(change));
        fleet.bench.time().after(EVENTS_AFTER, () -> input.offer(answer));
        return true;
    }

    // ---- Load.

    /** 333 prompts a second, of every entry in turn; each is answered after a while. */
    private void play(Duration duration) {
        long end = now() + duration.toNanos();
        askNext(end);
        fleet.bench.runFor(duration);
    }

    private void askNext(long endNanos) {
        BenchNode node = nodes.get(next++ % nodes.size());
        if (!node.isDead()) {
            long askedNanos = now();
            fleet.askPrompt(node, TOKENS, decision -> onDecision(node, decision, askedNanos));
        }
        if (now() < endNanos) {
            fleet.bench.time().after(apart, () -> askNext(endNanos));
        }
    }

    private void onDecision(BenchNode node, PlaceDecision decision, long askedNanos) {
        if (decision instanceof PlaceDecision.Placed placed) {
            String engine = placed.endpoint().id().value();
            requests.computeIfAbsent(engine, name -> new ArrayList<>()).add(now());
            if (engine.equals(LIMITED)) {
                senders.merge(node.entry(), 1, Integer::sum);
            }
            fleet.bench.time().after(FIRST_TOKEN, () -> onHead(node, placed));
            fleet.bench.time().after(ANSWER, () -> node.offer(new AttemptEnded(placed.ticket(), End.ANSWERED)));
        } else {
            refusedMillis.add((now() - askedNanos) / 1_000_000);
        }
    }

    private void onHead(BenchNode node, PlaceDecision.Placed placed) {
        EndpointIncarnation engine = placed.endpoint().incarnation();
        Optional<RateLimit> limit =
                Optional.ofNullable(limits.get(engine.endpoint().value()));
        if (limit.isPresent() || placed.rateLimited()) {
            node.offer(new NoticeHeard(engine, EndpointNotice.ofRateLimit(limit), placed.rateLimited()));
        }
        node.offer(new AttemptBegun(placed.ticket()));
    }

    private void limit(String engine, double perSecond) {
        limits.put(engine, RateLimit.of(perSecond).orElseThrow());
    }

    // ---- What arrived.

    private long now() {
        return fleet.bench.time().nowNanos();
    }

    private List<Long> requestsOn(String engine) {
        return requests.getOrDefault(engine, List.of());
    }

    /** Requests and all other calls to the engine, in order. */
    private List<Long> arrivalsOn(String engine) {
        List<Long> all = new ArrayList<>(requestsOn(engine));
        all.addAll(eventCalls.getOrDefault(engine, List.of()));
        fleet.statesAsked.stream()
                .filter(asked -> asked.engine().endpoint().value().equals(engine))
                .forEach(asked -> all.add(asked.atNanos()));
        fleet.orders.stream()
                .filter(order -> order.engine().endpoint().value().equals(engine))
                .forEach(order -> all.add(order.atNanos()));
        all.sort(null);
        return all;
    }

    private static int most(List<Long> arrivals, long fromNanos) {
        List<Long> times = arrivals.stream().filter(at -> at >= fromNanos).toList();
        int most = 0;
        for (int first = 0; first < times.size(); first++) {
            int last = first;
            while (last < times.size() && times.get(last) - times.get(first) < WINDOW.toNanos()) {
                last++;
            }
            most = Math.max(most, last - first);
        }
        return most;
    }

    private static void assertWithin(double perSecond, List<Long> arrivals, long namedNanos) {
        double bound = perSecond * WINDOW.toSeconds() * OVERAGE + SLACK;
        int most = most(arrivals, namedNanos + HEARD_BY_THEN.toNanos());
        assertTrue(most <= bound, most + " in " + WINDOW.toSeconds() + " s, bound " + bound);
    }

    private static long count(List<Long> times, long fromNanos, long untilNanos) {
        return times.stream().filter(at -> at >= fromNanos && at < untilNanos).count();
    }

    private BenchNode node(EntryId entry) {
        return nodes.stream()
                .filter(each -> each.entry().equals(entry))
                .findFirst()
                .orElseThrow();
    }

    /** The entry that sends most to the limited engine. */
    private BenchNode busiest() {
        return nodes.stream()
                .max(Comparator.comparingInt(each -> senders.getOrDefault(each.entry(), 0)))
                .orElseThrow();
    }

    @DataProvider
    public Object[][] sizesAndLimits() {
        return new Object[][] {{MESH, 1.4}, {MESH, 12}, {LARGE, 1.4}, {LARGE, 12}};
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{MESH}, {LARGE}};
    }

    // Every entry sends what the endpoint takes from all together, or knows of no limit at all.
    @Test(dataProvider = "sizesAndLimits")
    public void allEntriesTogetherKeepTheRateLimitThatAnEndpointNames(int entries, double perSecond) {
        long named = startLimited(entries, perSecond);
        play(Duration.ofSeconds(9));
        assertWithin(perSecond, requestsOn(LIMITED), named);
    }

    // An engine that nobody sends to helps nobody, and can't say that its need is over.
    @Test(dataProvider = "sizesAndLimits")
    public void anEndpointWithARateLimitGetsMostOfWhatItTakes(int entries, double perSecond) {
        startLimited(entries, perSecond);
        play(Duration.ofSeconds(2));
        long from = now();
        play(Duration.ofSeconds(10));
        long got = count(requestsOn(LIMITED), from, now());
        assertTrue(got >= 0.6 * perSecond * 10, "got " + got + " in 10 s");
    }

    // The need is over; the entries that didn't hear it themselves must not spare the engine for ever.
    @Test(dataProvider = "sizes")
    public void anEndpointWhoseRateLimitHasEndedIsUsedByAllAgain(int entries) {
        startLimited(entries, 1.4);
        play(Duration.ofSeconds(5));
        limits.clear();
        play(Duration.ofSeconds(4));
        long from = now();
        play(Duration.ofSeconds(2));
        long got = count(requestsOn(LIMITED), from, now());
        long usual = count(requestsOn("engine-2"), from, now());
        assertTrue(got > usual / 2, got + " where another engine gets " + usual);
    }

    // Whoever had the part dies; another one takes it over, but not both at once.
    @Test(dataProvider = "sizes")
    public void thePartOfAnEntryThatDiesGoesToAnotherOne(int entries) {
        long named = startLimited(entries, 1.4);
        play(Duration.ofSeconds(4));
        senders.clear();
        play(Duration.ofSeconds(2));
        busiest().kill();
        play(Duration.ofSeconds(5));
        long from = now();
        play(Duration.ofSeconds(5));
        assertWithin(1.4, requestsOn(LIMITED), named);
        long got = count(requestsOn(LIMITED), from, now());
        assertTrue(got >= 3, "got " + got + " in 5 s");
    }

    // It stands still, another one takes over, and it wakes and believes for a moment that the part is still its own.
    @Test(dataProvider = "sizes")
    public void anEntryThatWakesAfterItsPartWentToAnotherOneSendsNoMoreThanItsPart(int entries) {
        long named = startLimited(entries, 1.4);
        play(Duration.ofSeconds(3));
        senders.clear();
        play(Duration.ofSeconds(2));
        busiest().pause(Duration.ofSeconds(5));
        play(Duration.ofSeconds(9));
        assertWithin(1.4, requestsOn(LIMITED), named);
    }

    // Each of them soon believes that it is the last one, and that everything is its part.
    @Test(dataProvider = "sizes")
    public void entriesThatAreCutOffFromTheOthersSpareAnEndpointWithARateLimit(int entries) {
        long named = startLimited(entries, 1.4);
        play(Duration.ofSeconds(2));
        for (int index = 0; index < entries / 3; index++) {
            fleet.bench.cutFromAll(nodes.get(index));
        }
        play(Duration.ofSeconds(10));
        assertWithin(1.4, requestsOn(LIMITED), named);
    }

    // It knows neither the others nor the limit.
    @Test(dataProvider = "sizes")
    public void anEntryThatHasJustStartedLearnsOfRateLimits(int entries) {
        long named = startLimited(entries, 1.4);
        play(Duration.ofSeconds(3));
        nodes.get(0).kill();
        nodes.set(0, fleet.start("entry-0", HOME));
        fleet.bench.runFor(Duration.ofMillis(500));
        play(Duration.ofSeconds(8));
        assertWithin(1.4, requestsOn(LIMITED), named);
    }

    // The first lead starts again and leads at once, knowing of no limit, while its followers know it all along.
    @Test
    public void aLeadThatHasStartedAgainLearnsOfRateLimitsFromItsFollowers() {
        long named = startLimited(LARGE, 1.4);
        play(Duration.ofSeconds(5));
        BenchNode lead = node(fleet.leadsKnownTo(nodes.get(0)).get(0));
        lead.kill();
        nodes.set(nodes.indexOf(lead), fleet.start(lead.entry().value(), HOME));
        play(Duration.ofSeconds(6));
        assertWithin(1.4, requestsOn(LIMITED), named);
    }

    // Both leads of the domain die, and each entry decides for itself until it has turned to the next ones.
    @Test
    public void entriesWithoutALeadSpareAnEndpointWithARateLimit() {
        long named = startLimited(LARGE, 1.4);
        play(Duration.ofSeconds(3));
        fleet.leadsKnownTo(nodes.get(0)).forEach(lead -> node(lead).kill());
        play(Duration.ofSeconds(6));
        assertWithin(1.4, requestsOn(LIMITED), named);
    }

    // The engine ends and starts again under its id. The limit was that of its earlier start.
    @Test
    public void aRateLimitEndsWithTheStartOfTheEndpointThatNamedIt() {
        startLimited(MESH, 1.4);
        play(Duration.ofSeconds(3));
        limits.clear();
        fleet.restartEngine(LIMITED, 1);
        fleet.bench.runFor(Duration.ofMillis(300));
        long from = now();
        play(Duration.ofSeconds(1));
        long got = count(requestsOn(LIMITED), from, now());
        assertTrue(got > 10, "got " + got);
    }

    // From one answer to the next it says something else.
    @Test(dataProvider = "sizes")
    public void aRateLimitThatSinksIsKeptFromThenOn(int entries) {
        startLimited(entries, 12);
        play(Duration.ofSeconds(4));
        limit(LIMITED, 1.4);
        long named = now();
        play(Duration.ofSeconds(6));
        assertWithin(1.4, requestsOn(LIMITED), named);
    }

    // A quarter of the pool is in need at once, and the rest is there to carry the load.
    @Test(dataProvider = "sizes")
    public void aQuarterOfThePoolMayNameRateLimitsAtOnce(int entries) {
        start(entries);
        play(Duration.ofSeconds(1));
        for (int index = 0; index < ENGINES / 4; index++) {
            limit("engine-" + index, 1.4 + index);
        }
        long named = now();
        play(Duration.ofSeconds(8));
        for (int index = 0; index < ENGINES / 4; index++) {
            assertWithin(1.4 + index, requestsOn("engine-" + index), named);
        }
    }

    // Calls for its cache events alone are more than it takes.
    @Test(dataProvider = "sizesAndLimits")
    public void callsForCacheEventsCountTowardsTheRateLimitOfAnEngine(int entries, double perSecond) {
        long named = startLimited(entries, perSecond);
        play(Duration.ofSeconds(9));
        assertWithin(perSecond, arrivalsOn(LIMITED), named);
    }

    // The holder of the duty asks an engine that loads for its state many times a second.
    @Test(dataProvider = "sizes")
    public void newWeightsReachAnEngineWithARateLimitInTimeAndWithinIt(int entries) {
        long named = startLimited(entries, 1.4);
        play(Duration.ofSeconds(4));
        fleet.nameWeights(2);
        play(VirtualFleet.OLD_WEIGHTS_ALLOWED);
        assertTrue(fleet.allRun(2), "weights: " + fleet.weights);
        assertWithin(1.4, arrivalsOn(LIMITED), named);
    }

    // Its events were not followed for a while; what it holds has to be known again.
    @Test
    public void cacheEventsAreFollowedAgainAfterTheRateLimitHasEnded() {
        startLimited(MESH, 1.4);
        play(Duration.ofSeconds(5));
        limits.clear();
        play(Duration.ofSeconds(4));
        long from = now();
        fleet.bench.runFor(Duration.ofSeconds(2));
        assertTrue(count(eventCalls.get(LIMITED), from, now()) > 4, "calls for events");
    }

    // ---- All endpoints of a service have limits.

    private void limitAll(double perSecond) {
        for (int index = 0; index < ENGINES; index++) {
            limit("engine-" + index, perSecond);
        }
    }

    private long placedInAll(long fromNanos) {
        return requests.values().stream()
                .mapToLong(times -> count(times, fromNanos, now()))
                .sum();
    }

    // Twenty times as many callers as can be served: the rest must not wait for what it can't get.
    @Test(dataProvider = "sizes")
    public void whatCannotBeServedWithinRateLimitsIsRefusedAtOnce(int entries) {
        start(entries);
        play(Duration.ofSeconds(1));
        limitAll(1.4);
        play(Duration.ofSeconds(4));
        refusedMillis.clear();
        long from = now();
        play(Duration.ofSeconds(10));
        assertTrue(placedInAll(from) >= 0.6 * ENGINES * 1.4 * 10, "placed " + placedInAll(from));
        long late =
                refusedMillis.stream().filter(millis -> millis > AT_ONCE_MILLIS).count();
        assertTrue(refusedMillis.size() > 2_000, "refused " + refusedMillis.size());
        assertTrue(late < refusedMillis.size() / 10, late + " of " + refusedMillis.size() + " refused late");
    }

    // A third of what the limits allow. An entry without a part must not refuse what another one could serve.
    @Test(dataProvider = "sizes")
    public void fewRequestsAreServedThoughAllEndpointsHaveRateLimits(int entries) {
        start(entries);
        play(Duration.ofSeconds(1));
        limitAll(1.4);
        play(Duration.ofSeconds(4));
        fleet.bench.runFor(Duration.ofSeconds(2));
        refusedMillis.clear();
        long from = now();
        apart = Duration.ofMillis(200);
        play(Duration.ofSeconds(20));
        long placed = placedInAll(from);
        assertTrue(placed >= 95, "placed " + placed + ", refused " + refusedMillis.size());
    }
}
