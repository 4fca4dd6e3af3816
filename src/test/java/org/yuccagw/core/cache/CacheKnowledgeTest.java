package org.yuccagw.core.cache;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.testng.annotations.Test;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.core.routing.CacheCore;

public class CacheKnowledgeTest {
    private static final PromptScope SCOPE = new PromptScope(
            WorkspaceId.of("statistics"), "notebook", ServiceName.of("assistant"), WeightVersion.of("v1"));

    @Test
    public void theBlockTableAgreesWithAPlainOneUnderRandomChanges() {
        SplittableRandom random = new SplittableRandom(11);
        BlockMultimap table = BlockMultimap.of(Integer.MAX_VALUE, number -> true);
        Map<Integer, Set<Integer>> plain = new HashMap<>();
        for (int step = 0; step < 200_000; step++) {
            int key = random.nextInt(2_000);
            int value = random.nextInt(5);
            if (random.nextInt(5) < 3) {
                table.put(key(key), value);
                plain.computeIfAbsent(key, absent -> new HashSet<>()).add(value);
            } else {
                table.remove(key(key), value);
                plain.getOrDefault(key, new HashSet<>()).remove(value);
            }
        }
        for (int key = 0; key < 2_000; key++) {
            Set<Integer> found = new HashSet<>();
            table.forEach(key(key), found::add);
            assertEquals(found, plain.getOrDefault(key, Set.of()));
        }
    }

    @Test
    public void aFullBlockTableDropsAndCounts() {
        ReplicaIndex index = ReplicaIndex.of(100);
        index.learn(EndpointId.of("a"), CacheCore.prompt("p", 150));
        assertEquals(index.pairs(), 100);
        assertEquals(index.droppedPairs(), 50);
    }

    @Test
    public void aForgottenReplicaHoldsNothingThoughItsNumberIsUsedAgain() {
        ReplicaIndex index = ReplicaIndex.of(1_000_000);
        List<BlockKey> prompt = CacheCore.prompt("p", 300);
        for (int round = 0; round < 50; round++) {
            EndpointId endpoint = EndpointId.of("replica-" + round);
            assertEquals(index.prefix(endpoint, prompt), 0);
            index.learn(endpoint, prompt);
            assertEquals(index.prefix(endpoint, prompt), 300);
            index.forget(endpoint);
        }
        assertTrue(index.pairs() < 50 * 300, "pairs of forgotten replicas are swept out");
    }

    @Test
    public void promptsThatShareABeginningShareItsNodes() {
        PromptTree tree = PromptTree.of(1_000_000, ReturnForecast.create());
        SplittableRandom random = new SplittableRandom(1);
        List<BlockKey> common = CacheCore.prompt("common", 10);
        tree.arrive(CacheCore.extended(common, "a", 5), SCOPE, 0, random);
        tree.arrive(CacheCore.extended(common, "b", 5), SCOPE, 1, random);
        tree.arrive(CacheCore.extended(common, "a", 5), SCOPE, 2, random);
        assertEquals(tree.nodes(), 3);
        assertEquals(tree.blocks(), 20);
        List<PromptNode> path = tree.walk(CacheCore.extended(common, "a", 5));
        assertEquals(path.stream().map(PromptNode::blocks).toList(), List.of(10, 5));
        assertEquals(path.stream().map(PromptNode::uses).toList(), List.of(3, 2));
    }

    @Test
    public void aCutNodeKeepsItsCopiesInBothParts() {
        PromptTree tree = PromptTree.of(1_000_000, ReturnForecast.create());
        SplittableRandom random = new SplittableRandom(1);
        List<BlockKey> first = CacheCore.prompt("first", 20);
        tree.arrive(first, SCOPE, 0, random);
        tree.addCopy(CacheCore.store(0), StoreTier.MEMORY, CacheCore.sealed(first, 9));
        tree.arrive(CacheCore.extended(first.subList(0, 12), "other", 3), SCOPE, 1, random);
        List<PromptNode> path = tree.walk(first);
        List<StoredBlock> stored = new ArrayList<>();
        path.forEach(node -> stored.addAll(node.stored(node.copies().get(0), 0, node.blocks())));
        assertEquals(stored, CacheCore.sealed(first, 9));
    }

    @Test
    public void theTreeStaysWithinItsBound() {
        PromptTree tree = PromptTree.of(1_000, ReturnForecast.create());
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 500; i++) {
            tree.arrive(CacheCore.prompt("p" + i, 10), SCOPE, i, random);
            assertTrue(tree.blocks() <= 1_000);
        }
    }

    @Test
    public void theForecastTellsGroupsThatReturnFromGroupsThatDoNot() {
        ReturnForecast forecast = ReturnForecast.create();
        int returning = forecast.group(WorkspaceId.of("returning"), "notebook", 2);
        int leaving = forecast.group(WorkspaceId.of("leaving"), "notebook", 2);
        for (int i = 0; i < 500; i++) {
            ReturnForecast.Exposure back = forecast.begin(returning, 10, i * 100.0);
            forecast.begin(leaving, 10, i * 100.0);
            forecast.advance(i * 100.0 + 60);
            forecast.returned(back, 10, i * 100.0 + 60);
        }
        forecast.advance(500 * 100.0);
        assertTrue(forecast.chanceWithin(returning, 20, 100) > 0.9);
        assertTrue(forecast.chanceWithin(leaving, 20, 100) < 0.1);
        assertTrue(forecast.index(returning, 20) > 10 * forecast.index(leaving, 20));
    }

    @Test
    public void evictionTakesWhatReturnsLeast() {
        CacheCore core = CacheCore.withDefaults(2);
        for (int i = 0; i < 40; i++) {
            core.serve(CacheCore.prompt("once" + i, 20));
            core.serve(CacheCore.prompt("often", 20));
            core.advance(Duration.ofSeconds(30));
            core.finishExports();
        }
        core.handle(new StoreUpdate.StatusRead(
                CacheCore.store(0), new StoreUpdate.Usage(0, 1), new StoreUpdate.Usage(96, 100), 1_000));
        core.handle(new StoreUpdate.StatusRead(
                CacheCore.store(1), new StoreUpdate.Usage(0, 1), new StoreUpdate.Usage(96, 100), 1_000));
        Set<BlockKey> often = new HashSet<>(CacheCore.prompt("often", 20));
        core.takeActions(CacheOrder.DeleteBlocks.class)
                .forEach(order -> order.blocks().forEach(block -> assertFalse(often.contains(block.key()))));
    }

    @Test
    public void aHintBringsAStoredPromptToAnEngineOnce() {
        CacheCore core = CacheCore.withDefaults(3);
        var prompt = CacheCore.prompt("notebook", 40);
        core.serve(prompt);
        core.advance(Duration.ofSeconds(5));
        core.finishExports();
        core.evictAll(core.route(prompt).endpoint().id());
        List<Integer> begun = new ArrayList<>();
        PromptScope scope =
                new PromptScope(CacheCore.WORKSPACE, CacheCore.CLASS, CacheCore.SERVICE, WeightVersion.of("v1"));
        core.handle(new PrefetchRequested(scope, prompt, begun::add));
        core.handle(new PrefetchRequested(scope, prompt, begun::add));
        assertEquals(begun, List.of(40, 0));
        assertEquals(core.takeActions(CacheOrder.PrefetchBlocks.class).size(), 1);
    }

    private static BlockKey key(int number) {
        SplittableRandom random = new SplittableRandom(number);
        return BlockKey.of(random.nextLong(), random.nextLong());
    }
}
