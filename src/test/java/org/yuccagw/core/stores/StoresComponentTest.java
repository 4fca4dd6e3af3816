package org.yuccagw.core.stores;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.bench.control.ControlBench;
import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.control.ControlInput;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.deployment.BackEndService;
import org.yuccagw.core.deployment.CacheStore;
import org.yuccagw.core.deployment.ColdTraits;
import org.yuccagw.core.deployment.Deployment;
import org.yuccagw.core.deployment.EngineTraits;
import org.yuccagw.core.deployment.RequestLimits;
import org.yuccagw.core.follow.ConfigurationComponent;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.StoreId;
import org.yuccagw.core.notice.EndpointNotice;
import org.yuccagw.core.prompt.PromptPart;
import org.yuccagw.core.prompt.PromptShape;

public class StoresComponentTest {
    private static final FailureDomain LOCAL_DOMAIN = FailureDomain.of("ulemiste");
    private static final CacheStore QUICK = store("quick", 1, 100_000, 0.5);
    private static final CacheStore LARGE = store("large", 2, 1_000_000, 6);
    private static final String SALT = "s.1";
    private static final PromptShape PROMPT = new PromptShape(
            "model",
            7_700,
            50,
            ImmutableList.of(
                    new PromptPart("common", 2_500), new PromptPart("session", 5_000), new PromptPart("own", 200)));

    private ControlBench bench;
    private BenchNode entry;
    private StoresComponent stores;
    private Map<StoreId, FakeStore> fakes;
    private List<EntryId> entries;

    /** The state of a simulated store, which answers polls for its events. */
    private static final class FakeStore {
        private final List<StoreAnswer.Change> pending = new ArrayList<>();
        private long epoch = 1;
        private boolean silent;
        private boolean broken;
        private int calls;
    }

    @BeforeMethod
    public void startEntry() {
        bench = ControlBench.of(3);
        entries = List.of(EntryId.of("entry-1"));
        fakes = new HashMap<>(Map.of(QUICK.id(), new FakeStore(), LARGE.id(), new FakeStore()));
        bench.onAction(this::perform);
        stores = StoresComponent.of(() -> entries);
        entry = bench.start("entry-1", List.of(stores));
        entry.offer(new ConfigurationComponent.Applied(deployment()));
        bench.runFor(Duration.ofSeconds(5));
    }

    @Test
    public void aPartThatNoStoreHoldsIsSavedOnceAndFetchedOnceItIsWhole() {
        CachePlan firstPlan = plan();
        assertFalse(firstPlan.hasFetch());
        assertEquals(
                firstPlan.saves(),
                ImmutableList.of(Optional.of(QUICK.address()), Optional.of(LARGE.address()), Optional.empty()));
        assertFalse(plan().hasSave());
        reportPart(QUICK, "common", 2_500);
        reportPart(LARGE, "session", 5_000);
        CachePlan laterPlan = plan();
        assertEquals(
                laterPlan.fetches(),
                ImmutableList.of(
                        Optional.of(new CachePlan.Source(QUICK.address(), 2_500)),
                        Optional.of(new CachePlan.Source(LARGE.address(), 5_000)),
                        Optional.empty()));
        assertFalse(laterPlan.hasSave());
    }

    @Test
    public void partsUnderAnotherSaltAreNotFetched() {
        reportPart(LARGE, "session", 5_000);
        assertFalse(stores.plan(PROMPT, "w.other.1", LOCAL_DOMAIN, 0, domain -> true)
                .orElseThrow()
                .hasFetch());
        assertFalse(stores.plan(PROMPT, "s.2", LOCAL_DOMAIN, 0, domain -> true)
                .orElseThrow()
                .hasFetch());
    }

    @Test
    public void aPartThatIsHeldOnlyPartlyIsNotFetched() {
        reportPart(LARGE, "session", 4_000);
        assertFalse(plan().hasFetch());
    }

    // A store crashes and restarts empty; a prompt of another entry begins to fill it again. An entry that fetches by
    // its state from before the crash reads a part that is half written.
    @Test
    public void nothingIsFetchedFromAStoreWhoseCallFailed() {
        reportPart(LARGE, "session", 5_000);
        assertTrue(plan().hasFetch());
        fakes.get(LARGE.id()).broken = true;
        bench.runFor(Duration.ofMillis(400));
        assertFalse(plan().hasFetch());
    }

    @Test
    public void nothingIsFetchedFromAStoreThatStopsAnswering() {
        reportPart(LARGE, "session", 5_000);
        fakes.get(LARGE.id()).silent = true;
        bench.runFor(StoresComponent.MAX_CONFIRMATION_AGE.plusMillis(200));
        assertFalse(plan().hasFetch());
    }

    // The store rejects calls because it has too many, and must not be called again after the usual 0.3 s.
    @Test
    public void aStoreThatRequestedABackOffIsNotCalledUntilItEnds() {
        FakeStore fake = fakes.get(LARGE.id());
        fake.broken = true;
        entry.offer(new StoreAnswer.Notice(LARGE.id(), EndpointNotice.ofBackOff(Duration.ofSeconds(3))));
        bench.runFor(Duration.ofMillis(200));
        int callsBefore = fake.calls;
        bench.runFor(Duration.ofMillis(2_700));
        assertEquals(fake.calls, callsBefore);
        fake.broken = false;
        bench.runFor(Duration.ofSeconds(1));
        assertTrue(fake.calls > callsBefore);
    }

    @Test
    public void nothingIsSavedToARestartedStoreUntilAllEntriesHaveNoticed() {
        reportPart(LARGE, "session", 5_000);
        fakes.get(LARGE.id()).epoch = 2;
        bench.runFor(Duration.ofMillis(500));
        CachePlan planAfterRestart = plan();
        assertFalse(planAfterRestart.hasFetch());
        assertFalse(planAfterRestart.saves().contains(Optional.of(LARGE.address())));
        bench.runFor(StoresComponent.SAVE_DELAY_AFTER_RESTART.plus(StoresComponent.SAVE_TIMEOUT));
        assertTrue(plan().saves().contains(Optional.of(LARGE.address())));
    }

    @Test
    public void aRemovedPartIsNotFetchedAnyMore() {
        reportPart(LARGE, "session", 5_000);
        fakes.get(LARGE.id()).pending.add(new StoreAnswer.Change(false, SALT, "session", 0, "model"));
        bench.runFor(Duration.ofMillis(400));
        assertFalse(plan().hasFetch());
    }

    // Sixty prompts a second need more from a store than its link carries. All their fetches would miss their deadline,
    // and every prompt would be computed after waiting for its fetch, as happened to 327 prompts.
    @Test
    public void fetchesFromAStoreAreLimitedByItsLink() {
        reportPart(QUICK, "common", 2_500);
        reportPart(LARGE, "session", 5_000);
        int fetched = 0;
        for (int index = 0; index < 100; index++) {
            fetched += plan().fetches().get(1).isPresent() ? 1 : 0;
        }
        assertTrue(fetched >= 5, fetched + " fetched");
        assertTrue(fetched <= 10, fetched + " fetched");
        bench.runFor(Duration.ofSeconds(2));
        assertTrue(plan().fetches().get(1).isPresent());
    }

    // Seventy entries follow stores that hold a dozen calls each. All other calls would be rejected, three times a
    // second for each store, and every rejected call costs something.
    @Test
    public void onlyAsManyEntriesFollowAStoreAsItAcceptsCalls() {
        int followers = 0;
        for (int index = 1; index <= 70; index++) {
            ControlBench ownBench = ControlBench.of(index);
            List<StoreId> calls = new ArrayList<>();
            ownBench.onAction((action, input) -> action instanceof StoreCall.PollChanges poll
                    && calls.add(poll.store().id()));
            List<EntryId> all = java.util.stream.IntStream.rangeClosed(1, 70)
                    .mapToObj(number -> EntryId.of("entry-" + number))
                    .toList();
            BenchNode follower = ownBench.start("entry-" + index, List.of(StoresComponent.of(() -> all)));
            follower.offer(new ConfigurationComponent.Applied(deployment()));
            ownBench.runFor(Duration.ofMillis(10));
            followers += calls.contains(LARGE.id()) ? 1 : 0;
        }
        assertEquals(followers, LARGE.maxWatchers() - 2);
    }

    // A prompt is restricted to its region. Its parts must not be saved to a store elsewhere, whatever free capacity
    // that store has.
    @Test
    public void nothingIsSavedInAFailureDomainThatIsNotAllowed() {
        CachePlan plan = stores.plan(PROMPT, SALT, LOCAL_DOMAIN, 0, domain -> !domain.equals(LOCAL_DOMAIN))
                .orElseThrow();
        assertTrue(plan.saves().stream().allMatch(Optional::isEmpty), "saves: " + plan.saves());
    }

    private CachePlan plan() {
        return stores.plan(PROMPT, SALT, LOCAL_DOMAIN, 0, domain -> true).orElseThrow();
    }

    private void reportPart(CacheStore store, String part, int tokens) {
        fakes.get(store.id()).pending.add(new StoreAnswer.Change(true, SALT, part, tokens, "model"));
        bench.runFor(Duration.ofMillis(400));
    }

    private boolean perform(ControlAction action, ControlInput input) {
        if (action instanceof StoreCall.PollChanges poll) {
            FakeStore fake = fakes.get(poll.store().id());
            fake.calls++;
            if (!fake.silent) {
                bench.time().after(Duration.ofMillis(100), () -> input.offer(answer(poll, fake)));
            }
            return true;
        }
        return action instanceof Decision;
    }

    private static StoreAnswer answer(StoreCall.PollChanges poll, FakeStore fake) {
        if (fake.broken) {
            return new StoreAnswer.Unanswered(poll.store().id(), "reset");
        }
        ImmutableList<StoreAnswer.Change> changes = ImmutableList.copyOf(fake.pending);
        fake.pending.clear();
        return new StoreAnswer.Changes(poll.store().id(), fake.epoch, 1, false, 1_000, changes);
    }

    /** Configures 100 KB per token, so a transfer of the session's part takes 0.1 s on the large store's link. */
    private static Deployment deployment() {
        EngineTraits engine = new EngineTraits(8, 50_000, 100_000, 1_000, 12, ImmutableList.of("model"));
        return Deployment.of(
                1,
                List.of(),
                List.of(new BackEndService(
                        ServiceName.of("engines"), Optional.of(engine), 100, "", ColdTraits.NEVER_COLD)),
                List.of(QUICK, LARGE),
                Optional.empty(),
                new RequestLimits(1, 1, Duration.ofSeconds(1), Duration.ofSeconds(1)));
    }

    private static CacheStore store(String name, int port, long tokens, double startLatencyMillis) {
        return new CacheStore(
                StoreId.of(name),
                NetworkAddress.of("127.0.0.1", port),
                LOCAL_DOMAIN,
                tokens,
                40_000,
                12,
                true,
                startLatencyMillis);
    }
}
