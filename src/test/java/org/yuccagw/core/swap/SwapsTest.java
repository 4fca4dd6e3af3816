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
    private static final Duration LONG = Duration.ofMinutes(3);
    private static final Duration LOAD = Duration.ofMillis(450);
    private static final WeightVersion NEXT = WeightVersion.of("v2");
    private static final int REPLICAS = 13;
    private static final int AT_ONCE = 3;
    private static final int FLOOR = 9;
    private static final String POOL = "assistant";

    private ControlBench bench;
    private EnginePool engines;
    private Map<BenchNode, ShardsComponent> authorities;
    private List<BenchNode> nodes;

    @Test
    public void aPoolIsSwappedAFewAtATimeAboveTheFloor() {
        startWith(true, LOAD);
        swap();
        assertTrue(bench.runUntil(() -> engines.allRun(NEXT), LONG));
        assertEquals(engines.mostLoadingAtOnce(), AT_ONCE);
        assertTrue(engines.fewestServing() >= REPLICAS - AT_ONCE);
        assertEquals(engines.arrived().size(), REPLICAS);
    }

    @Test
    public void theFloorHoldsAlsoWhenReplicasAreLost() {
        startWith(true, LOAD);
        for (int lost = 0; lost < 3; lost++) {
            engines.kill("assistant-0" + lost);
        }
        bench.runFor(Duration.ofSeconds(40));
        swap();
        assertTrue(bench.runUntil(() -> engines.allRun(NEXT), LONG));
        assertTrue(engines.fewestServing() >= FLOOR, "served at least: " + engines.fewestServing());
        assertEquals(engines.mostLoadingAtOnce(), 1);
    }

    // The owner dies in the middle of a round with permits given out. The next owner must count them: otherwise more
    // replicas than allowed would load at once, and loading would take longer for all.
    @Test
    public void permitsOfAnOwnerThatDiedStillCount() {
        startWith(true, Duration.ofSeconds(60));
        swap();
        assertTrue(bench.runUntil(() -> engines.mostLoadingAtOnce() == AT_ONCE, LONG));
        owner().kill();
        bench.runFor(Duration.ofSeconds(50));
        assertEquals(engines.mostLoadingAtOnce(), AT_ONCE);
        assertTrue(bench.runUntil(() -> engines.allRun(NEXT), Duration.ofMinutes(20)));
        assertEquals(engines.mostLoadingAtOnce(), AT_ONCE);
        assertEquals(engines.arrived().size(), REPLICAS);
    }

    // The owner dies, and so does the network to the replicas that are loading: the next owner sees nothing of them,
    // but they still draw on the weight store. Only the permits in the service can tell it.
    @Test
    public void permitsCountAlsoWhileTheLoadingReplicasCannotBeSeen() {
        startWith(true, Duration.ofSeconds(90));
        swap();
        assertTrue(bench.runUntil(() -> engines.mostLoadingAtOnce() == AT_ONCE, LONG));
        List<String> loading = engines.arrived().stream()
                .map(order -> order.endpoint().value())
                .toList();
        loading.forEach(name -> engines.setUnreachable(name, true));
        BenchNode first = owner();
        first.kill();
        assertTrue(bench.runUntil(() -> ownerOrNull() != null, LONG));
        bench.runFor(Duration.ofSeconds(20));
        assertEquals(engines.arrived().size(), AT_ONCE);
        loading.forEach(name -> engines.setUnreachable(name, false));
        assertTrue(bench.runUntil(() -> engines.allRun(NEXT), Duration.ofMinutes(30)));
        assertEquals(engines.mostLoadingAtOnce(), AT_ONCE);
    }

    // An order is on its way for long while its sender loses the shard and the catalogue goes back to the old version.
    // Engines that check fencing numbers refuse the late order once they have seen one of the next owner.
    @Test
    public void anEngineThatChecksRefusesTheLateOrderOfAnEarlierOwner() {
        startWith(true, LOAD);
        engines.setOrderDelay(Duration.ofSeconds(60));
        swap();
        BenchNode first = owner();
        bench.runFor(Duration.ofSeconds(3));
        engines.setOrderDelay(Duration.ofMillis(2));
        first.kill();
        assertTrue(bench.runUntil(() -> engines.allRun(NEXT), LONG));
        edit(
                nodes.stream().filter(node -> !node.isDead()).findFirst().orElseThrow(),
                2,
                catalogue("v3", true),
                "third");
        assertTrue(bench.runUntil(() -> engines.allRun(WeightVersion.of("v3")), Duration.ofSeconds(20)));
        bench.runFor(LONG);
        long late = engines.arrived().stream()
                .filter(order -> order.fencing() < highestFencing())
                .count();
        assertEquals(late, AT_ONCE);
        assertTrue(engines.allRun(WeightVersion.of("v3")));
        assertEquals(engines.arrived().size(), AT_ONCE + 2 * REPLICAS);
    }

    // As above with engines that obey anyone. The next owner can't make them refuse, so it must not begin before the
    // last order of the earlier one can have arrived: two owners' orders would mix.
    @Test
    public void withEnginesThatIgnoreFencingTheNextOwnerWaitsUntilEarlierOrdersAreGone() {
        startWith(false, LOAD);
        engines.setOrderDelay(PoolSwap.ORDER_LIFE.minusMillis(100));
        swap();
        BenchNode first = owner();
        bench.runFor(Duration.ofSeconds(1));
        long givenAt = bench.time().nowNanos();
        first.kill();
        engines.setOrderDelay(Duration.ofMillis(2));
        assertTrue(bench.runUntil(() -> ownerOrNull() != null && ownerOrNull() != first, LONG));
        long gainedAt = bench.time().nowNanos();
        assertTrue(bench.runUntil(() -> fencingNumbers().size() == 2, LONG));
        assertTrue(bench.time().nowNanos() - gainedAt
                >= PoolSwap.earlierOrdersGone().toNanos());
        assertTrue(bench.time().nowNanos() - givenAt > PoolSwap.ORDER_LIFE.toNanos());
        assertTrue(bench.runUntil(() -> engines.allRun(NEXT), LONG));
        assertOrdersDoNotMix();
    }

    // The process is paused exactly between deciding on an order and sending it, for longer than its lease. The order
    // carries the end of authority, and the sender looks at it last: it must not go out.
    @Test
    public void anOrderInTheHandsOfAPausedOwnerIsNotSent() {
        startWith(false, LOAD);
        BenchNode first = owner();
        List<OrderEndpoint> inHand = new ArrayList<>();
        engines.holdOrdersOf(first, inHand);
        swap();
        assertTrue(bench.runUntil(() -> !inHand.isEmpty(), LONG));
        first.pause(Duration.ofSeconds(60));
        assertTrue(bench.runUntil(() -> engines.allRun(NEXT), LONG));
        int before = engines.arrived().size();
        inHand.forEach(order -> engines.perform(order, first));
        bench.runFor(Duration.ofSeconds(30));
        assertEquals(engines.arrived().size(), before);
    }

    // The answers to all orders are lost. An owner that just repeats them would make each replica load twice; it must
    // look at the replica first.
    @Test
    public void orderedAgainOnlyAfterReadingTheActualState() {
        startWith(true, LOAD);
        engines.loseOrderAnswers(true);
        swap();
        assertTrue(bench.runUntil(() -> engines.allRun(NEXT), LONG));
        Map<Object, Long> perEndpoint = engines.arrived().stream()
                .collect(Collectors.groupingBy(OrderEndpoint::endpoint, Collectors.counting()));
        perEndpoint.forEach((endpoint, count) -> assertEquals(count, Long.valueOf(1), endpoint.toString()));
    }

    // The service goes away in the middle of a round. Nothing may be ordered once the lease has run out, and the round
    // goes on by itself when the service is back.
    @Test
    public void anOutageOfAnHourStopsTheRoundAndItGoesOnAfterwards() {
        startWith(true, Duration.ofSeconds(2));
        swap();
        assertTrue(bench.runUntil(() -> engines.arrived().size() >= 5, LONG));
        bench.keyValue().setDown(true);
        bench.runFor(Duration.ofSeconds(12));
        int before = engines.arrived().size();
        bench.runFor(Duration.ofHours(1));
        assertEquals(engines.arrived().size(), before);
        bench.keyValue().setDown(false);
        assertTrue(bench.runUntil(() -> engines.allRun(NEXT), LONG));
        assertEquals(engines.mostLoadingAtOnce(), AT_ONCE);
    }

    @Test
    public void onlyTheOwnerCarriesOutAnOperatorsOrderOfARole() {
        startWith(true, LOAD);
        BenchNode other =
                nodes.stream().filter(node -> node != owner()).findFirst().orElseThrow();
        RoleOrderRequested.Result refused = order(other);
        assertEquals(((RoleOrderRequested.Result.Refused) refused).error().kind(), ErrorKind.STALE_OWNER);
        assertEquals(order(owner()), new RoleOrderRequested.Result.Accepted());
        assertEquals(engines.roleOf("assistant-04"), "prefill");
    }

    private RoleOrderRequested.Result order(BenchNode node) {
        List<RoleOrderRequested.Result> results = new ArrayList<>();
        node.offer(new RoleOrderRequested(EndpointId.of("assistant-04"), "prefill", results::add));
        assertTrue(bench.runUntil(() -> !results.isEmpty(), LONG));
        return results.get(0);
    }

    private void startWith(boolean checksFencing, Duration load) {
        bench = ControlBench.of(31);
        authorities = new HashMap<>();
        nodes = new ArrayList<>();
        engines = EnginePool.start(bench, POOL, REPLICAS, SampleCatalogues.FIRST_VERSION, checksFencing, load);
        for (int index = 0; index < 4; index++) {
            ControlComponents.WithShards parts = ControlComponents.withShards();
            BenchNode node = bench.start("entry-" + index, parts.parts());
            nodes.add(node);
            authorities.put(node, parts.shards());
        }
        bench.runFor(Duration.ofSeconds(5));
        edit(nodes.get(0), 0, catalogue("v1", checksFencing), "first");
        assertTrue(bench.runUntil(() -> ownerOrNull() != null, LONG));
        bench.runFor(Duration.ofSeconds(30));
        assertFalse(engines.allRun(NEXT));
    }

    private void swap() {
        Catalogue now = nodes.get(0).state(Catalogue.class).orElseThrow();
        boolean checks = now.services().values().iterator().next().checksFencing();
        edit(nodes.get(0), now.revision(), catalogue(NEXT.value(), checks), "swap");
    }

    private void edit(BenchNode node, long base, Catalogue wanted, String editId) {
        List<CatalogueEditRequested.Result> results = new ArrayList<>();
        node.offer(new CatalogueEditRequested(base, wanted, editId, "mari", results::add));
        assertTrue(bench.runUntil(() -> !results.isEmpty(), LONG));
        assertTrue(results.get(0) instanceof CatalogueEditRequested.Result.Accepted, results.toString());
    }

    private static Catalogue catalogue(String version, boolean checksFencing) {
        return SampleCatalogues.withPool(
                SampleCatalogues.ofWorkspaces(1), POOL, WeightVersion.of(version), checksFencing, AT_ONCE, FLOOR);
    }

    private BenchNode owner() {
        return nodes.stream().filter(this::owns).findFirst().orElseThrow();
    }

    private BenchNode ownerOrNull() {
        return nodes.stream().filter(this::owns).findFirst().orElse(null);
    }

    private boolean owns(BenchNode node) {
        ShardNumber shard = SwapsComponent.shardOf(POOL, 16);
        return !node.isDead()
                && authorities
                        .get(node)
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

    /** Once an order of a later owner arrived, none of an earlier one does. */
    private void assertOrdersDoNotMix() {
        long highest = 0;
        for (OrderEndpoint order : engines.arrived()) {
            assertTrue(order.fencing() >= highest, engines.arrived().toString());
            highest = order.fencing();
        }
    }
}
