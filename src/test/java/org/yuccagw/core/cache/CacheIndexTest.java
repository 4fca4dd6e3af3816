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

public class CacheIndexTest {
    private static final PromptScope SCOPE = new PromptScope(
            WorkspaceId.of("statistics"), "notebook", ServiceName.of("assistant"), WeightVersion.of("v1"));

    @Test
    public void blockMultimapMatchesAReferenceMapUnderRandomChanges() {
        SplittableRandom random = new SplittableRandom(11);
        BlockMultimap multimap = BlockMultimap.of(Integer.MAX_VALUE, number -> true);
        Map<Integer, Set<Integer>> reference = new HashMap<>();
        for (int step = 0; step < 200_000; step++) {
            int key = random.nextInt(2_000);
            int value = random.nextInt(5);
            if (random.nextInt(5) < 3) {
                multimap.put(key(key), value);
                reference.computeIfAbsent(key, missing -> new HashSet<>()).add(value);
            } else {
                multimap.remove(key(key), value);
                reference.getOrDefault(key, new HashSet<>()).remove(value);
            }
        }
        for (int key = 0; key < 2_000; key++) {
            Set<Integer> found = new HashSet<>();
            multimap.forEach(key(key), found::add);
            assertEquals(found, reference.getOrDefault(key, Set.of()));
        }
    }

    @Test
    public void aFullReplicaIndexDropsAndCountsFurtherPairs() {
        ReplicaIndex index = ReplicaIndex.of(100);
        index.addBlocks(EndpointId.of("a"), CacheCore.prompt("p", 150));
        assertEquals(index.pairs(), 100);
        assertEquals(index.droppedPairs(), 50);
    }

    @Test
    public void aRemovedReplicaHoldsNoBlocksEvenIfItsNumberIsReused() {
        ReplicaIndex index = ReplicaIndex.of(1_000_000);
        List<BlockKey> prompt = CacheCore.prompt("p", 300);
        for (int round = 0; round < 50; round++) {
            EndpointId endpoint = EndpointId.of("replica-" + round);
            assertEquals(index.prefixBlocks(endpoint, prompt), 0);
            index.addBlocks(endpoint, prompt);
            assertEquals(index.prefixBlocks(endpoint, prompt), 300);
            index.remove(endpoint);
        }
        assertTrue(index.pairs() < 50 * 300, "pairs of removed replicas must be deleted when the table is rebuilt");
    }

    @Test
    public void promptsWithACommonPrefixShareTheNodesOfThePrefix() {
        PromptTree tree = PromptTree.of(1_000_000, ReturnForecast.create());
        SplittableRandom random = new SplittableRandom(1);
        List<BlockKey> prefix = CacheCore.prompt("common", 10);
        tree.recordRequest(CacheCore.extended(prefix, "a", 5), SCOPE, 0, random);
        tree.recordRequest(CacheCore.extended(prefix, "b", 5), SCOPE, 1, random);
        tree.recordRequest(CacheCore.extended(prefix, "a", 5), SCOPE, 2, random);
        assertEquals(tree.nodeCount(), 3);
        assertEquals(tree.blockCount(), 20);
        List<PromptNode> path = tree.findPath(CacheCore.extended(prefix, "a", 5));
        assertEquals(path.stream().map(PromptNode::blockCount).toList(), List.of(10, 5));
        assertEquals(path.stream().map(PromptNode::uses).toList(), List.of(3, 2));
    }

    @Test
    public void aSplitNodeKeepsItsCopiesInBothNodes() {
        PromptTree tree = PromptTree.of(1_000_000, ReturnForecast.create());
        SplittableRandom random = new SplittableRandom(1);
        List<BlockKey> first = CacheCore.prompt("first", 20);
        tree.recordRequest(first, SCOPE, 0, random);
        tree.addCopy(CacheCore.store(0), StoreTier.MEMORY, CacheCore.sealed(first, 9));
        tree.recordRequest(CacheCore.extended(first.subList(0, 12), "other", 3), SCOPE, 1, random);
        List<PromptNode> path = tree.findPath(first);
        List<StoredBlock> stored = new ArrayList<>();
        path.forEach(node -> stored.addAll(node.storedBlocks(node.copies().get(0), 0, node.blockCount())));
        assertEquals(stored, CacheCore.sealed(first, 9));
    }

    @Test
    public void theTreeStaysWithinItsBlockLimit() {
        PromptTree tree = PromptTree.of(1_000, ReturnForecast.create());
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 500; i++) {
            tree.recordRequest(CacheCore.prompt("p" + i, 10), SCOPE, i, random);
            assertTrue(tree.blockCount() <= 1_000);
        }
    }

    @Test
    public void theForecastDistinguishesReturningGroupsFromOthers() {
        ReturnForecast forecast = ReturnForecast.create();
        int returning = forecast.groupNumber(WorkspaceId.of("returning"), "notebook", 2);
        int notReturning = forecast.groupNumber(WorkspaceId.of("leaving"), "notebook", 2);
        for (int i = 0; i < 500; i++) {
            ReturnForecast.Exposure exposure = forecast.addExposure(returning, 10, i * 100.0);
            forecast.addExposure(notReturning, 10, i * 100.0);
            forecast.advance(i * 100.0 + 60);
            forecast.recordReturn(exposure, 10, i * 100.0 + 60);
        }
        forecast.advance(500 * 100.0);
        assertTrue(forecast.returnProbability(returning, 20, 100) > 0.9);
        assertTrue(forecast.returnProbability(notReturning, 20, 100) < 0.1);
        assertTrue(forecast.gittinsIndex(returning, 20) > 10 * forecast.gittinsIndex(notReturning, 20));
    }

    @Test
    public void evictionDeletesThePromptsThatReturnLeastOften() {
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
        Set<BlockKey> frequent = new HashSet<>(CacheCore.prompt("often", 20));
        core.takeActions(CacheCommand.DeleteBlocks.class)
                .forEach(command -> command.blocks().forEach(block -> assertFalse(frequent.contains(block.key()))));
    }

    @Test
    public void aPrefetchHintImportsAStoredPromptIntoAnEngineOnce() {
        CacheCore core = CacheCore.withDefaults(3);
        var prompt = CacheCore.prompt("notebook", 40);
        core.serve(prompt);
        core.advance(Duration.ofSeconds(5));
        core.finishExports();
        core.evictAll(core.route(prompt).endpoint().id());
        List<Integer> startedBlocks = new ArrayList<>();
        PromptScope scope =
                new PromptScope(CacheCore.WORKSPACE, CacheCore.CLASS, CacheCore.SERVICE, WeightVersion.of("v1"));
        core.handle(new PrefetchRequested(scope, prompt, startedBlocks::add));
        core.handle(new PrefetchRequested(scope, prompt, startedBlocks::add));
        assertEquals(startedBlocks, List.of(40, 0));
        assertEquals(core.takeActions(CacheCommand.PrefetchBlocks.class).size(), 1);
    }

    private static BlockKey key(int number) {
        SplittableRandom random = new SplittableRandom(number);
        return BlockKey.of(random.nextLong(), random.nextLong());
    }
}
