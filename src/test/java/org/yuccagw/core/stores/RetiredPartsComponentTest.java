package org.yuccagw.core.stores;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.bench.control.ControlBench;
import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.control.ControlInput;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.deployment.CacheStore;
import org.yuccagw.core.deployment.Deployment;
import org.yuccagw.core.deployment.RequestLimits;
import org.yuccagw.core.fleet.ModelWeights;
import org.yuccagw.core.follow.ConfigurationComponent;
import org.yuccagw.core.follow.KeyValueRecord;
import org.yuccagw.core.follow.KeyValueRecordUpdated;
import org.yuccagw.core.follow.NamedWeightsComponent;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.StoreId;

public class RetiredPartsComponentTest {
    private static final String MODEL = "model";
    private static final CacheStore MANAGED = store("managed", true);
    private static final CacheStore SELF_CLEANING = store("self-cleaning", false);

    private ControlBench bench;
    private BenchNode node;
    private boolean holdsDuty;
    private long lowestRunning;
    private boolean silent;
    private long epoch;
    private Set<PartName> whole;
    private Set<PartName> partial;
    private List<StoreId> inspected;

    @BeforeMethod
    public void startTheEntry() {
        holdsDuty = true;
        lowestRunning = 1;
        silent = false;
        epoch = 1;
        whole = names("s.1", "s.2", "w.audit.1");
        partial = names("s.1", "s.2");
        inspected = new ArrayList<>();
        bench = ControlBench.of(3);
        bench.onAction(this::perform);
        NamedWeightsComponent named = NamedWeightsComponent.of(Duration.ofSeconds(8));
        StoresComponent stores = StoresComponent.of(List::of);
        RetiredPartsComponent retired =
                RetiredPartsComponent.of(() -> holdsDuty, named, model -> OptionalLong.of(lowestRunning), stores);
        node = bench.start("entry-1", List.of(named, stores, retired));
        node.offer(new ConfigurationComponent.Applied(Deployment.of(
                1,
                List.of(),
                List.of(),
                List.of(MANAGED, SELF_CLEANING),
                List.of(),
                new RequestLimits(1, 1, Duration.ofSeconds(1), Duration.ofSeconds(1)))));
        name(1);
        bench.runFor(Duration.ofSeconds(1));
    }

    // A store that drops nothing by itself keeps what was computed with weights of before. After a few namings nothing
    // new finds room there, and prompts that return are computed again and again.
    @Test
    public void partsOfOlderWeightsAreFreedOnceNothingCanReadThem() {
        name(2);
        lowestRunning = 2;
        bench.runFor(RetiredPartsComponent.RETIRED_AFTER.plusSeconds(1));
        assertEquals(whole, names("s.2"));
        assertEquals(partial, names("s.2"));
    }

    // A fetch that was planned right before an entry heard of newer weights may still be under way; the engine would
    // read what has been given to another part.
    @Test
    public void nothingIsFreedWhileAFetchMayBeUnderWay() {
        name(2);
        lowestRunning = 2;
        bench.runFor(RetiredPartsComponent.RETIRED_AFTER.minusMillis(100));
        assertEquals(whole.size(), 3);
    }

    // One engine couldn't be given the newer weights. What it runs still reads what was computed with the older ones.
    @Test
    public void nothingIsFreedWhileAnEngineRunsOlderWeights() {
        name(2);
        bench.runFor(RetiredPartsComponent.RETIRED_AFTER.plusSeconds(5));
        assertEquals(whole.size(), 3);
        lowestRunning = 2;
        bench.runFor(Duration.ofSeconds(1));
        assertEquals(whole, names("s.2"));
    }

    @Test
    public void onlyTheHolderOfTheDutyFrees() {
        holdsDuty = false;
        name(2);
        lowestRunning = 2;
        bench.runFor(RetiredPartsComponent.RETIRED_AFTER.plusSeconds(5));
        assertTrue(inspected.isEmpty());
    }

    @Test
    public void aStoreThatGaveNoAnswerIsAskedAgain() {
        silent = true;
        name(2);
        lowestRunning = 2;
        bench.runFor(RetiredPartsComponent.RETIRED_AFTER.plusSeconds(3));
        silent = false;
        bench.runFor(Duration.ofSeconds(3));
        assertEquals(whole, names("s.2"));
    }

    @Test
    public void aStoreIsAskedOnceForEachNamingAndOneThatDropsByItselfNever() {
        name(2);
        lowestRunning = 2;
        bench.runFor(RetiredPartsComponent.RETIRED_AFTER.plusSeconds(20));
        long before = inspected.size();
        bench.runFor(Duration.ofSeconds(20));
        assertEquals(inspected.size(), before);
        assertTrue(inspected.stream().allMatch(MANAGED.id()::equals));
    }

    private void name(long version) {
        node.offer(new KeyValueRecordUpdated(
                new KeyValueRecord.WeightsNamed(new ModelWeights(MODEL, version)), version, false));
    }

    private static Set<PartName> names(String... salts) {
        return Set.of(salts).stream().map(salt -> new PartName(salt, "part")).collect(Collectors.toSet());
    }

    private boolean perform(ControlAction action, ControlInput input) {
        if (action instanceof StoreCall.Inspect inspect) {
            inspected.add(inspect.store().id());
            bench.time().after(Duration.ofMillis(10), () -> input.offer(contents(inspect.store())));
            return true;
        }
        if (action instanceof StoreCall.FreeParts free) {
            boolean done = !silent && free.epoch() == epoch;
            if (done) {
                whole.removeAll(free.parts());
                partial.removeAll(free.parts());
            }
            input.offer(new StoreAnswer.Freed(free.store().id(), done, ""));
            return true;
        }
        return action instanceof Decision || action instanceof StoreCall.AskChanges;
    }

    private StoreAnswer contents(CacheStore store) {
        if (silent) {
            return new StoreAnswer.Inspected(store.id(), Optional.empty());
        }
        ImmutableList<StoreAnswer.Change> held = whole.stream()
                .map(name -> new StoreAnswer.Change(true, name.salt(), name.part(), 100, MODEL))
                .collect(ImmutableList.toImmutableList());
        return new StoreAnswer.Inspected(
                store.id(), Optional.of(new StoreAnswer.Contents(epoch, held, ImmutableList.copyOf(partial))));
    }

    private static CacheStore store(String name, boolean managed) {
        return new CacheStore(
                StoreId.of(name),
                NetworkAddress.of("127.0.0.1", 9),
                FailureDomain.of("ulemiste"),
                1_000,
                40_000,
                12,
                managed,
                1);
    }
}
