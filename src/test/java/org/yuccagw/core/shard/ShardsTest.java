package org.yuccagw.core.shard;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.bench.control.ControlBench;
import org.yuccagw.bench.control.ControlComponents;
import org.yuccagw.bench.control.SampleCatalogues;
import org.yuccagw.core.catalogue.CatalogueEditRequested;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.membership.StopRequested;
import org.yuccagw.core.port.KeyValueCall;

public class ShardsTest {
    private static final int SHARDS = 16;
    private static final int ENTRIES = 6;
    private static final Duration LONG = Duration.ofMinutes(2);
    private static final Duration STEP = Duration.ofMillis(50);

    private ControlBench bench;
    private Map<BenchNode, ShardsComponent> authorities;
    private List<BenchNode> nodes;
    private Map<ShardNumber, Long> highestEpochs;

    @BeforeMethod
    public void startEntries() {
        bench = ControlBench.of(21);
        authorities = new HashMap<>();
        nodes = new ArrayList<>();
        highestEpochs = new HashMap<>();
        for (int index = 0; index < ENTRIES; index++) {
            nodes.add(start(index));
        }
        bench.runFor(Duration.ofSeconds(5));
        nodes.get(0)
                .offer(new CatalogueEditRequested(0, SampleCatalogues.ofWorkspaces(1), "first", "mari", result -> {}));
        assertTrue(bench.runUntil(this::everyShardIsOwned, LONG));
        bench.runFor(Duration.ofSeconds(10));
    }

    @Test
    public void everyShardHasOneOwnerThatAllEntriesKnow() {
        assertTrue(everyShardIsOwned());
        for (int number = 0; number < SHARDS; number++) {
            ShardNumber shard = ShardNumber.of(number);
            BenchNode owner = ownersOf(shard).get(0);
            for (BenchNode node : nodes) {
                assertEquals(
                        node.state(ShardsSnapshot.class)
                                .orElseThrow()
                                .owner(shard)
                                .orElseThrow()
                                .owner(),
                        owner.entry());
            }
        }
    }

    @Test
    public void atRestOnlyLeasesAndTheCatalogueAreAskedFor() {
        bench.keyValue().forgetCalls();
        bench.runFor(Duration.ofMinutes(1));
        Map<String, Long> calls = bench.keyValue().callsByKind();
        assertEquals(calls.getOrDefault("CompareAndSwap", 0L), 0L, calls.toString());
        assertEquals(calls.getOrDefault("GrantLease", 0L), 0L, calls.toString());
        assertTrue(calls.get("RenewLease") <= ENTRIES * 25, calls.toString());
        assertTrue(calls.getOrDefault("Read", 0L) <= ENTRIES * 6, calls.toString());
    }

    // The owner's process is stopped by its hypervisor for longer than its lease and another entry takes over. When it
    // goes on, its first act must not be one of an owner, although nobody told it yet.
    @Test
    public void anOwnerThatWasPausedPastItsLeaseHasNoAuthorityWhenItWakes() {
        BenchNode paused = ownersOf(ShardNumber.of(0)).get(0);
        paused.pause(Duration.ofSeconds(40));
        assertTrue(bench.runUntil(() -> ownersOf(ShardNumber.of(0)).stream().anyMatch(node -> node != paused), LONG));
        assertFalse(ownersOf(ShardNumber.of(0)).contains(paused));
        assertTrue(bench.runUntil(this::everyShardIsOwned, LONG));
    }

    @Test
    public void aStoppingEntryHandsItsShardsOverWithinSeconds() {
        BenchNode stopping = ownersOf(ShardNumber.of(3)).get(0);
        stopping.offer(new StopRequested());
        assertTrue(bench.runUntil(
                () -> everyShardIsOwned() && !ownersOf(ShardNumber.of(3)).contains(stopping), Duration.ofSeconds(5)));
    }

    // A failure domain loses power, and with it a third of the entries at once, owners among them. Without new owners
    // every claim of their shards would be refused until somebody mends it.
    @Test
    public void theLossOfAFailureDomainMovesItsShardsToTheOthers() {
        List<BenchNode> lost = List.copyOf(nodes.subList(0, ENTRIES / 3));
        lost.forEach(BenchNode::kill);
        nodes.removeAll(lost);
        assertTrue(bench.runUntil(this::everyShardIsOwned, Duration.ofSeconds(30)));
    }

    // The service goes away for an hour. No lease can be renewed, so nobody may act as an owner; when it comes back,
    // every shard has an owner again.
    @Test
    public void duringAnOutageNobodyIsOwnerAndAfterItEveryShardHasOne() {
        bench.keyValue().setDown(true);
        bench.runFor(ShardsComponent.LEASE.timeToLive());
        for (int number = 0; number < SHARDS; number++) {
            assertTrue(ownersOf(ShardNumber.of(number)).isEmpty());
        }
        bench.runFor(Duration.ofHours(1));
        bench.keyValue().setDown(false);
        assertTrue(bench.runUntil(this::everyShardIsOwned, Duration.ofSeconds(30)));
    }

    @Test
    public void renewalsThatTakeSecondsKeepTheOwners() {
        bench.keyValue().setLatency(Duration.ofSeconds(4));
        bench.runFor(Duration.ofSeconds(10));
        for (int second = 0; second < 180; second++) {
            bench.runFor(Duration.ofSeconds(1));
            assertTrue(everyShardIsOwned(), "in second " + second);
        }
    }

    // The service is slow: a renewal reaches it two seconds before its answer is back. Then the owner is cut off from
    // everybody. The service counts from when the renewal arrived; an owner that counts from the answer believes in its
    // lease for two seconds too long, beside the next owner.
    @Test
    public void anOwnerCutOffWhileTheServiceIsSlowStopsBeforeTheNextOneBegins() {
        for (int round = 0; round < ENTRIES; round++) {
            BenchNode owner = nodes.get(round);
            bench.keyValue().setLatency(Duration.ofSeconds(4));
            bench.runFor(Duration.ofMillis(20_000 + 100L * round));
            bench.cutFromAll(owner);
            bench.keyValue().cutOff(owner.entry());
            bench.keyValue().setLatency(Duration.ofMillis(4));
            for (int step = 0; step < 500; step++) {
                bench.runFor(STEP);
                checkOwners();
            }
            heal();
            assertTrue(bench.runUntil(this::everyShardIsOwned, LONG));
        }
    }

    // Whatever fails, and in whatever order: at no moment do two entries hold authority for one shard, and each new
    // owner's fencing number is higher than all before it.
    @Test(dataProvider = "seeds")
    public void neverDoTwoEntriesOwnAShardAtTheSameTime(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int fault = 0; fault < 25; fault++) {
            inflict(random);
            long steps = random.nextLong(20, 300);
            for (long step = 0; step < steps; step++) {
                bench.runFor(STEP);
                checkOwners();
            }
        }
        heal();
        assertTrue(bench.runUntil(this::everyShardIsOwned, LONG));
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}, {6L}, {7L}, {8L}};
    }

    private void inflict(SplittableRandom random) {
        BenchNode node = nodes.get(random.nextInt(ENTRIES));
        switch (random.nextInt(9)) {
            case 0 -> node.pause(Duration.ofMillis(random.nextLong(500, 25_000)));
            case 1 -> bench.keyValue().setLatency(Duration.ofMillis(random.nextLong(1, 7_000)));
            case 2 -> bench.keyValue().loseAnswersOf(call -> call instanceof KeyValueCall.CompareAndSwap);
            case 3 -> bench.keyValue().loseAnswersOf(call -> call instanceof KeyValueCall.RenewLease);
            case 4 -> bench.keyValue().cutOff(node.entry());
            case 5 -> bench.cutFromAll(node);
            case 6 -> {
                int index = nodes.indexOf(node);
                node.kill();
                nodes.set(index, start(index));
            }
            case 7 -> bench.keyValue().setDown(true);
            default -> heal();
        }
    }

    private void heal() {
        bench.healNetwork();
        bench.keyValue().setDown(false);
        bench.keyValue().setLatency(Duration.ofMillis(4));
        bench.keyValue().loseAnswersOf(call -> false);
        nodes.forEach(node -> bench.keyValue().reach(node.entry()));
    }

    private void checkOwners() {
        for (int number = 0; number < SHARDS; number++) {
            ShardNumber shard = ShardNumber.of(number);
            List<BenchNode> owners = ownersOf(shard);
            assertTrue(owners.size() <= 1, shard + " is owned by " + owners.size());
            for (BenchNode owner : owners) {
                long epoch = epochOf(owner, shard).getAsLong();
                assertTrue(epoch >= highestEpochs.getOrDefault(shard, 0L), "epoch of " + shard + " went back");
                highestEpochs.put(shard, epoch);
            }
        }
    }

    private BenchNode start(int index) {
        ControlComponents.WithShards parts = ControlComponents.withShards();
        BenchNode node = bench.start("entry-" + index, parts.parts());
        authorities.put(node, parts.shards());
        return node;
    }

    private boolean everyShardIsOwned() {
        for (int number = 0; number < SHARDS; number++) {
            if (ownersOf(ShardNumber.of(number)).size() != 1) {
                return false;
            }
        }
        return true;
    }

    private List<BenchNode> ownersOf(ShardNumber shard) {
        return nodes.stream().filter(node -> epochOf(node, shard).isPresent()).toList();
    }

    private OptionalLong epochOf(BenchNode node, ShardNumber shard) {
        return authorities.get(node).epochIfHeld(shard, bench.time().nowNanos());
    }
}
