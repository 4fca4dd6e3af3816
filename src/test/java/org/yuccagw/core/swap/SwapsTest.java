package org.yuccagw.core.swap;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.bench.control.ControlBench;
import org.yuccagw.bench.control.ControlComponents;
import org.yuccagw.bench.control.EnginePool;
import org.yuccagw.bench.control.SampleCatalogues;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.CatalogueEditRequested;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.shard.ShardsComponent;

public class SwapsTest {
    private static final Duration LONG_TIMEOUT = Duration.ofMinutes(3);
    private static final Duration LOADING_TIME = Duration.ofMillis(450);
    private static final WeightVersion NEW_VERSION = WeightVersion.of("v2");
    private static final int REPLICAS = 13;
    private static final int MAX_SWAPS_AT_ONCE = 3;
    private static final int REPLICA_FLOOR = 9;
    private static final String POOL = "assistant";

    private ControlBench bench;
    private EnginePool engines;
    private Map<BenchNode, ShardsComponent> authorities;
    private List<BenchNode> entries;

    @Test
    public void aPoolIsSwappedAFewReplicasAtATimeAboveTheFloor() {
        startPool(true, LOADING_TIME);
        editToNewVersion();
        assertTrue(bench.runUntil(() -> engines.allRun(NEW_VERSION), LONG_TIMEOUT));
        assertEquals(engines.mostLoadingAtOnce(), MAX_SWAPS_AT_ONCE);
        assertTrue(engines.fewestServing() >= REPLICAS - MAX_SWAPS_AT_ONCE);
        assertEquals(engines.arrived().size(), REPLICAS);
    }

    @Test
    public void theFloorIsKeptWhenReplicasAreLost() {
        startPool(true, LOADING_TIME);
        for (int lost = 0; lost < 3; lost++) {
            engines.kill("assistant-0" + lost);
        }
        bench.runFor(Duration.ofSeconds(40));
        editToNewVersion();
        assertTrue(bench.runUntil(() -> engines.allRun(NEW_VERSION), LONG_TIMEOUT));
        assertTrue(engines.fewestServing() >= REPLICA_FLOOR, "served at least: " + engines.fewestServing());
        assertEquals(engines.mostLoadingAtOnce(), 1);
    }

    // The owner fails during a swap while permits are in use. The next owner must count them; otherwise more replicas
    // than allowed would load at once, and loading would take longer for all.
    @Test
    public void permitsOfAFailedOwnerStillCount() {
        startPool(true, Duration.ofSeconds(60));
        editToNewVersion();
        assertTrue(bench.runUntil(() -> engines.mostLoadingAtOnce() == MAX_SWAPS_AT_ONCE, LONG_TIMEOUT));
        owner().kill();
        bench.runFor(Duration.ofSeconds(50));
        assertEquals(engines.mostLoadingAtOnce(), MAX_SWAPS_AT_ONCE);
        assertTrue(bench.runUntil(() -> engines.allRun(NEW_VERSION), Duration.ofMinutes(20)));
        assertEquals(engines.mostLoadingAtOnce(), MAX_SWAPS_AT_ONCE);
        assertEquals(engines.arrived().size(), REPLICAS);
    }

    // The owner fails and the replicas that are loading become unreachable: the next owner gets no report from them,
    // but they still use the weight store. Only the permits in the key-value service show that they are loading.
    @Test
    public void permitsCountWhileTheLoadingReplicasAreUnreachable() {
        startPool(true, Duration.ofSeconds(90));
        editToNewVersion();
        assertTrue(bench.runUntil(() -> engines.mostLoadingAtOnce() == MAX_SWAPS_AT_ONCE, LONG_TIMEOUT));
        List<String> loading = engines.arrived().stream()
                .map(order -> order.endpoint().value())
                .toList();
        loading.forEach(name -> engines.setUnreachable(name, true));
        BenchNode firstOwner = owner();
        firstOwner.kill();
        assertTrue(bench.runUntil(() -> ownerOrNull() != null, LONG_TIMEOUT));
        bench.runFor(Duration.ofSeconds(20));
        assertEquals(engines.arrived().size(), MAX_SWAPS_AT_ONCE);
        loading.forEach(name -> engines.setUnreachable(name, false));
        assertTrue(bench.runUntil(() -> engines.allRun(NEW_VERSION), Duration.ofMinutes(30)));
        assertEquals(engines.mostLoadingAtOnce(), MAX_SWAPS_AT_ONCE);
    }

    // An order is delayed for long while its sender loses the shard and the catalogue returns to the old version.
    // Engines that check fencing numbers refuse the late order once they have received one of the next owner.
    @Test
    public void anEngineThatChecksFencingRefusesALateOrderOfAnEarlierOwner() {
        startPool(true, LOADING_TIME);
        engines.setOrderDelay(Duration.ofSeconds(60));
        editToNewVersion();
        BenchNode firstOwner = owner();
        bench.runFor(Duration.ofSeconds(3));
        engines.setOrderDelay(Duration.ofMillis(2));
        firstOwner.kill();
        assertTrue(bench.runUntil(() -> engines.allRun(NEW_VERSION), LONG_TIMEOUT));
        edit(
                entries.stream().filter(entry -> !entry.isDead()).findFirst().orElseThrow(),
                2,
                catalogue("v3", true),
                "third");
        assertTrue(bench.runUntil(() -> engines.allRun(WeightVersion.of("v3")), Duration.ofSeconds(20)));
        bench.runFor(LONG_TIMEOUT);
        long lateOrders = engines.arrived().stream()
                .filter(order -> order.fencing() < highestFencing())
                .count();
        assertEquals(lateOrders, MAX_SWAPS_AT_ONCE);
        assertTrue(engines.allRun(WeightVersion.of("v3")));
        assertEquals(engines.arrived().size(), MAX_SWAPS_AT_ONCE + 2 * REPLICAS);
    }

    // The same with engines that accept orders of any owner. The next owner can't make them refuse, so it must not
    // begin before the last order of the earlier owner can have arrived; otherwise the orders of two owners would mix.
    @Test
    public void withEnginesThatIgnoreFencingTheNextOwnerWaitsUntilEarlierOrdersHaveExpired() {
        startPool(false, LOADING_TIME);
        engines.setOrderDelay(PoolSwap.ORDER_LIFETIME.minusMillis(100));
        editToNewVersion();
        BenchNode firstOwner = owner();
        bench.runFor(Duration.ofSeconds(1));
        long killedAtNanos = bench.time().nowNanos();
        firstOwner.kill();
        engines.setOrderDelay(Duration.ofMillis(2));
        assertTrue(bench.runUntil(() -> ownerOrNull() != null && ownerOrNull() != firstOwner, LONG_TIMEOUT));
        long gainedAtNanos = bench.time().nowNanos();
        assertTrue(bench.runUntil(() -> fencingNumbers().size() == 2, LONG_TIMEOUT));
        assertTrue(bench.time().nowNanos() - gainedAtNanos
                >= PoolSwap.earlierOrdersTimeout().toNanos());
        assertTrue(bench.time().nowNanos() - killedAtNanos > PoolSwap.ORDER_LIFETIME.toNanos());
        assertTrue(bench.runUntil(() -> engines.allRun(NEW_VERSION), LONG_TIMEOUT));
        assertOrdersDoNotMix();
    }

    // The process is suspended between deciding on an order and sending it, for longer than its lease. The order
    // contains the end of the sender's authority, which is checked right before sending, so the order must not be sent.
    @Test
    public void anOrderOfASuspendedOwnerIsNotSent() {
        startPool(false, LOADING_TIME);
        BenchNode firstOwner = owner();
        List<OrderEndpoint> heldOrders = new ArrayList<>();
        engines.holdOrdersOf(firstOwner, heldOrders);
        editToNewVersion();
        assertTrue(bench.runUntil(() -> !heldOrders.isEmpty(), LONG_TIMEOUT));
        firstOwner.pause(Duration.ofSeconds(60));
        assertTrue(bench.runUntil(() -> engines.allRun(NEW_VERSION), LONG_TIMEOUT));
        int ordersBefore = engines.arrived().size();
        heldOrders.forEach(order -> engines.perform(order, firstOwner));
        bench.runFor(Duration.ofSeconds(30));
        assertEquals(engines.arrived().size(), ordersBefore);
    }

    // The answers to all orders are lost. An owner that simply retries them would make each replica load twice; it must
    // query the replica's state first.
    @Test
    public void anOrderIsRetriedOnlyAfterReadingTheActualState() {
        startPool(true, LOADING_TIME);
        engines.loseOrderAnswers(true);
        editToNewVersion();
        assertTrue(bench.runUntil(() -> engines.allRun(NEW_VERSION), LONG_TIMEOUT));
        Map<Object, Long> perEndpoint = engines.arrived().stream()
                .collect(Collectors.groupingBy(OrderEndpoint::endpoint, Collectors.counting()));
        perEndpoint.forEach((endpoint, count) -> assertEquals(count, Long.valueOf(1), endpoint.toString()));
    }

    // The key-value service becomes unavailable during a swap. No order may be sent once the lease has expired, and the
    // swap continues by itself when the service is available again.
    @Test
    public void anHourLongOutageStopsTheSwapAndItContinuesAfterwards() {
        startPool(true, Duration.ofSeconds(2));
        editToNewVersion();
        assertTrue(bench.runUntil(() -> engines.arrived().size() >= 5, LONG_TIMEOUT));
        bench.keyValue().setDown(true);
        bench.runFor(Duration.ofSeconds(12));
        int ordersBefore = engines.arrived().size();
        bench.runFor(Duration.ofHours(1));
        assertEquals(engines.arrived().size(), ordersBefore);
        bench.keyValue().setDown(false);
        assertTrue(bench.runUntil(() -> engines.allRun(NEW_VERSION), LONG_TIMEOUT));
        assertEquals(engines.mostLoadingAtOnce(), MAX_SWAPS_AT_ONCE);
    }

    @Test
    public void onlyTheOwnerCarriesOutAnOperatorsRoleOrder() {
        startPool(true, LOADING_TIME);
        BenchNode other =
                entries.stream().filter(entry -> entry != owner()).findFirst().orElseThrow();
        RoleOrderRequested.Result refused = requestRole(other);
        assertEquals(((RoleOrderRequested.Result.Refused) refused).error().kind(), ErrorKind.STALE_OWNER);
        assertEquals(requestRole(owner()), new RoleOrderRequested.Result.Accepted());
        assertEquals(engines.roleOf("assistant-04"), "prefill");
    }

    private RoleOrderRequested.Result requestRole(BenchNode entry) {
        List<RoleOrderRequested.Result> results = new ArrayList<>();
        entry.offer(new RoleOrderRequested(EndpointId.of("assistant-04"), "prefill", results::add));
        assertTrue(bench.runUntil(() -> !results.isEmpty(), LONG_TIMEOUT));
        return results.get(0);
    }

    private void startPool(boolean checksFencing, Duration loadingTime) {
        bench = ControlBench.of(31);
        authorities = new HashMap<>();
        entries = new ArrayList<>();
        engines = EnginePool.start(bench, POOL, REPLICAS, SampleCatalogues.FIRST_VERSION, checksFencing, loadingTime);
        for (int index = 0; index < 4; index++) {
            ControlComponents.WithShards components = ControlComponents.withShards();
            BenchNode entry = bench.start("entry-" + index, components.parts());
            entries.add(entry);
            authorities.put(entry, components.shards());
        }
        bench.runFor(Duration.ofSeconds(5));
        edit(entries.get(0), 0, catalogue("v1", checksFencing), "first");
        assertTrue(bench.runUntil(() -> ownerOrNull() != null, LONG_TIMEOUT));
        bench.runFor(Duration.ofSeconds(30));
        assertFalse(engines.allRun(NEW_VERSION));
    }

    private void editToNewVersion() {
        Catalogue current = entries.get(0).state(Catalogue.class).orElseThrow();
        boolean checksFencing = current.services().values().iterator().next().checksFencing();
        edit(entries.get(0), current.revision(), catalogue(NEW_VERSION.value(), checksFencing), "swap");
    }

    private void edit(BenchNode entry, long base, Catalogue wanted, String editId) {
        List<CatalogueEditRequested.Result> results = new ArrayList<>();
        entry.offer(new CatalogueEditRequested(base, wanted, editId, "mari", results::add));
        assertTrue(bench.runUntil(() -> !results.isEmpty(), LONG_TIMEOUT));
        assertTrue(results.get(0) instanceof CatalogueEditRequested.Result.Accepted, results.toString());
    }

    private static Catalogue catalogue(String version, boolean checksFencing) {
        return SampleCatalogues.withPool(
                SampleCatalogues.ofWorkspaces(1),
                POOL,
                WeightVersion.of(version),
                checksFencing,
                MAX_SWAPS_AT_ONCE,
                REPLICA_FLOOR);
    }

    private BenchNode owner() {
        return entries.stream().filter(this::isOwner).findFirst().orElseThrow();
    }

    private BenchNode ownerOrNull() {
        return entries.stream().filter(this::isOwner).findFirst().orElse(null);
    }

    private boolean isOwner(BenchNode entry) {
        ShardNumber shard = SwapsComponent.shardOf(POOL, 16);
        return !entry.isDead()
                && authorities
                        .get(entry)
                        .epochIfHeld(shard, bench.time().nowNanos())
                        .isPresent();
    }

    private long highestFencing() {
        return engines.arrived().stream()
                .mapToLong(OrderEndpoint::fencing)
                .max()
                .orElseThrow();
    }

    private List<Long> fencingNumbers() {
        return engines.arrived().stream().map(OrderEndpoint::fencing).distinct().toList();
    }

    /** Asserts that no order of an earlier owner arrives after an order of a later one. */
    private void assertOrdersDoNotMix() {
        long highest = 0;
        for (OrderEndpoint order : engines.arrived()) {
            assertTrue(order.fencing() >= highest, engines.arrived().toString());
            highest = order.fencing();
        }
    }
}
