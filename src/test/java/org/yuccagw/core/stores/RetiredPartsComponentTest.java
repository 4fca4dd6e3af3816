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
    private static final CacheStore SELF_EVICTING = store("self-cleaning", false);

    private ControlBench bench;
    private BenchNode entry;
    private boolean holdsDuty;
    private long lowestRunningVersion;
    private boolean silent;
    private long epoch;
    private Set<PartName> whole;
    private Set<PartName> partial;
    private List<StoreId> inspectedStores;

    @BeforeMethod
    public void startEntry() {
        holdsDuty = true;
        lowestRunningVersion = 1;
        silent = false;
        epoch = 1;
        whole = partNames("s.1", "s.2", "w.audit.1");
        partial = partNames("s.1", "s.2");
        inspectedStores = new ArrayList<>();
        bench = ControlBench.of(3);
        bench.onAction(this::perform);
        NamedWeightsComponent named = NamedWeightsComponent.of(Duration.ofSeconds(8), List::of);
        StoresComponent stores = StoresComponent.of(List::of);
        RetiredPartsComponent retired = RetiredPartsComponent.of(
                () -> holdsDuty, named, model -> OptionalLong.of(lowestRunningVersion), stores);
        entry = bench.start("entry-1", List.of(named, stores, retired));
        entry.offer(new ConfigurationComponent.Applied(Deployment.of(
                1,
                List.of(),
                List.of(),
                List.of(MANAGED, SELF_EVICTING),
                Optional.empty(),
                new RequestLimits(1, 1, Duration.ofSeconds(1), Duration.ofSeconds(1)))));
        nameWeights(1);
        bench.runFor(Duration.ofSeconds(1));
    }

    // A store that evicts nothing by itself keeps the parts of older weights. After a few namings no new part fits, and
    // repeated prompts are recomputed every time.
    @Test
    public void partsOfOlderWeightsAreFreedOnceNoRequestCanReadThem() {
        nameWeights(2);
        lowestRunningVersion = 2;
        bench.runFor(RetiredPartsComponent.RETIREMENT_DELAY.plusSeconds(1));
        assertEquals(whole, partNames("s.2"));
        assertEquals(partial, partNames("s.2"));
    }

    // A fetch that was planned right before an entry learned of newer weights may still be in progress; the engine
    // would read space that now holds another part.
    @Test
    public void nothingIsFreedWhileAFetchMayBeInProgress() {
        nameWeights(2);
        lowestRunningVersion = 2;
        bench.runFor(RetiredPartsComponent.RETIREMENT_DELAY.minusMillis(100));
        assertEquals(whole.size(), 3);
    }

    // One engine couldn't be updated to the newer weights. Requests that it runs still read parts of the older ones.
    @Test
    public void nothingIsFreedWhileAnEngineRunsOlderWeights() {
        nameWeights(2);
        bench.runFor(RetiredPartsComponent.RETIREMENT_DELAY.plusSeconds(5));
        assertEquals(whole.size(), 3);
        lowestRunningVersion = 2;
        bench.runFor(Duration.ofSeconds(1));
        assertEquals(whole, partNames("s.2"));
    }

    @Test
    public void onlyTheHolderOfTheDutyFreesParts() {
        holdsDuty = false;
        nameWeights(2);
        lowestRunningVersion = 2;
        bench.runFor(RetiredPartsComponent.RETIREMENT_DELAY.plusSeconds(5));
        assertTrue(inspectedStores.isEmpty());
    }

    @Test
    public void aStoreThatDidNotAnswerIsQueriedAgain() {
        silent = true;
        nameWeights(2);
        lowestRunningVersion = 2;
        bench.runFor(RetiredPartsComponent.RETIREMENT_DELAY.plusSeconds(3));
        silent = false;
        bench.runFor(Duration.ofSeconds(3));
        assertEquals(whole, partNames("s.2"));
    }

    @Test
    public void aManagedStoreIsQueriedOncePerNamingAndASelfEvictingStoreNever() {
        nameWeights(2);
        lowestRunningVersion = 2;
        bench.runFor(RetiredPartsComponent.RETIREMENT_DELAY.plusSeconds(20));
        long inspectionsBefore = inspectedStores.size();
        bench.runFor(Duration.ofSeconds(20));
        assertEquals(inspectedStores.size(), inspectionsBefore);
        assertTrue(inspectedStores.stream().allMatch(MANAGED.id()::equals));
    }

    private void nameWeights(long version) {
        entry.offer(new KeyValueRecordUpdated(
                new KeyValueRecord.WeightsNamed(new ModelWeights(MODEL, version)), version, false));
    }

    private static Set<PartName> partNames(String... salts) {
        return Set.of(salts).stream().map(salt -> new PartName(salt, "part")).collect(Collectors.toSet());
    }

    private boolean perform(ControlAction action, ControlInput input) {
        if (action instanceof StoreCall.Inspect inspect) {
            inspectedStores.add(inspect.store().id());
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
        return action instanceof Decision || action instanceof StoreCall.PollChanges;
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
