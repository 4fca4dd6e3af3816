package org.yuccagw.core.cache;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.routing.AttemptReport;
import org.yuccagw.core.routing.CacheCore;
import org.yuccagw.core.routing.ImportPlan;
import org.yuccagw.core.routing.RouteRequested.Answer;

public class CacheFailureTest {
    private static final List<BlockKey> PREAMBLE = CacheCore.prompt("notebook", 60);
    private static final Duration LONG_ABSENCE = Duration.ofMinutes(30);

    // An engine fails while it writes blocks to a store. The blocks stay unsealed: no reader can use them, but they
    // occupy storage until the store reports that it is full. No other engine deletes the blocks of the failed writer,
    // so the entry that maintains the store must delete exactly these generations once no export can still be running.
    @Test
    public void unsealedBlocksOfAFailedWriterAreDeleted() {
        CacheCore core = CacheCore.withDefaults(3);
        core.advance(Duration.ofSeconds(31));
        assertTrue(core.takeActions(CacheCommand.ReadUnsealed.class).size() >= 2);
        core.handle(new StoreUpdate.UnsealedRead(
                CacheCore.store(0),
                List.of(
                        new StoreUpdate.Unsealed(PREAMBLE.get(0), 5, "entry-1-1-1", 3_600_000),
                        new StoreUpdate.Unsealed(PREAMBLE.get(1), 6, "entry-1-1-2", 1_000))));
        List<CacheCommand.DeleteBlocks> deletions = core.takeActions(CacheCommand.DeleteBlocks.class);
        assertEquals(deletions.size(), 1);
        assertEquals(deletions.get(0).blocks(), List.of(new CacheCommand.Generation(PREAMBLE.get(0), 5)));
    }

    // A store fails during an import. If the router kept planning fetches from it, each further prompt would wait for a
    // deadline as well. After the first failure the router must not use the store until its back-off has passed, and
    // prompts are prefilled without a fetch.
    @Test
    public void aStoreThatFailsDuringAnImportIsNotUsedDuringItsBackOff() {
        CacheCore core = coreWithStoredPreamble();
        Answer.Chosen chosen = core.route(PREAMBLE);
        ImportPlan plan = chosen.importPlan().orElseThrow();
        core.handle(importFailed(chosen.endpoint().id(), plan, EngineCacheUpdate.ImportFailure.STORE));
        core.handle(new AttemptReport.Imported(chosen.attempt(), 0, 0, 40));
        assertFalse(core.route(PREAMBLE).importPlan().isPresent());
        core.advance(Duration.ofSeconds(2));
        assertTrue(core.route(PREAMBLE).importPlan().isPresent(), "the store must be used again after the back-off");
    }

    // A store deletes a block while an engine reads it. The read in progress completes, but a later one fails and the
    // prompt is prefilled, because the entry's state of the store is out of date. The entry must remove the block and
    // all blocks that follow it in the copy; otherwise each return of the prompt requests the block without success.
    @Test
    public void aBlockThatTheStoreLostIsNotRequestedAgain() {
        CacheCore core = coreWithStoredPreamble();
        Answer.Chosen chosen = core.route(PREAMBLE);
        ImportPlan plan = chosen.importPlan().orElseThrow();
        assertEquals(plan.blocks().size(), PREAMBLE.size());
        BlockKey lostKey = plan.blocks().get(20).key();
        core.handle(new EngineCacheUpdate.ImportEnded(
                chosen.endpoint().id(),
                plan.store(),
                plan.blocks(),
                20,
                1,
                50,
                List.of(new EngineCacheUpdate.FailedBlock(lostKey, EngineCacheUpdate.ImportFailure.GONE))));
        core.handle(new AttemptReport.Ended(chosen.attempt(), false, 0, 0));
        core.evictAll(chosen.endpoint().id());
        assertEquals(core.route(PREAMBLE).importPlan().orElseThrow().blocks().size(), 20);
    }

    // A memory fault of the store damages the bytes of a stored block. The engine rejects the block because of its
    // checksum and prefills the prompt, so the answer is correct. The damaged copy must not be used again.
    @Test
    public void aDamagedCopyIsNotUsedAgain() {
        CacheCore core = coreWithStoredPreamble();
        Answer.Chosen chosen = core.route(PREAMBLE);
        ImportPlan plan = chosen.importPlan().orElseThrow();
        core.handle(new EngineCacheUpdate.ImportEnded(
                chosen.endpoint().id(),
                plan.store(),
                plan.blocks(),
                0,
                0,
                50,
                List.of(new EngineCacheUpdate.FailedBlock(
                        plan.blocks().get(0).key(), EngineCacheUpdate.ImportFailure.DAMAGED))));
        core.handle(new AttemptReport.Ended(chosen.attempt(), false, 0, 0));
        core.evictAll(chosen.endpoint().id());
        assertFalse(core.route(PREAMBLE).importPlan().isPresent());
    }

    // Other writers fill the store during an export: half of the blocks are sealed and the others are refused. The
    // sealed half must be kept, no further export may be sent to the store, and the least valuable blocks must be
    // evicted.
    @Test
    public void aStoreThatFillsUpDuringAnExportKeepsTheSealedBlocks() {
        CacheCore core = CacheCore.withDefaults(3);
        EndpointId first = core.serve(PREAMBLE).endpoint().id();
        core.advance(Duration.ofSeconds(5));
        CacheCommand.ExportBlocks export =
                core.takeActions(CacheCommand.ExportBlocks.class).get(0);
        List<StoredBlock> half = CacheCore.sealed(export.blocks().subList(0, 30), 1);
        core.handle(new EngineCacheUpdate.ExportEnded(export.number(), first, half, true, Optional.empty()));
        assertFalse(core.takeActions(CacheCommand.MoveBlocks.class).isEmpty()
                && core.takeActions(CacheCommand.DeleteBlocks.class).isEmpty());
        core.serve(CacheCore.prompt("other", 60));
        core.advance(Duration.ofMillis(900));
        assertTrue(core.takeActions(CacheCommand.ExportBlocks.class).stream()
                .noneMatch(command -> command.store().id().equals(export.store().id())));
    }

    // An engine evicts the blocks of a prompt, and the event of the eviction is lost. The router would send the prompt
    // to the engine as if its cache were warm, and the request would wait for the whole prefill. After a gap in the
    // events the state of the replica is stale and only half of its apparent prefix counts, until a snapshot replaces
    // the state.
    @Test
    public void aGapThatHidesAnEvictionMakesTheReplicaStateStaleUntilASnapshot() {
        CacheCore core = CacheCore.withDefaults(3);
        EndpointId warm = core.serve(PREAMBLE).endpoint().id();
        core.handle(new EngineCacheUpdate.EventsRead(warm, 1, List.of(new ReplicaIndex.Event(1, true, PREAMBLE))));
        assertEquals(recomputedBlocks(core.route(PREAMBLE)), 0);
        core.takeActions(CacheCommand.ReadCacheSnapshot.class);
        core.handle(new EngineCacheUpdate.EventsRead(
                warm, 3, List.of(new ReplicaIndex.Event(3, true, CacheCore.prompt("other", 1)))));
        assertEquals(core.takeActions(CacheCommand.ReadCacheSnapshot.class).size(), 1);
        assertEquals(recomputedBlocks(core.route(PREAMBLE)), 30);
        core.handle(new EngineCacheUpdate.SnapshotRead(warm, 3, Optional.empty(), CacheCore.prompt("other", 1)));
        assertEquals(recomputedBlocks(core.route(PREAMBLE)), 60);
    }

    // Two workspaces send the same text. If blocks of one workspace served the other, the response times would reveal
    // the contents of its prompts. The secret of the workspace is part of the hash chain, so all keys must differ from
    // the first block on and neither workspace can address the blocks of the other.
    @Test
    public void twoWorkspacesWithTheSamePreambleShareNoKey() {
        byte[] text = "the same survey text, over and over. ".repeat(200).getBytes(StandardCharsets.UTF_8);
        List<BlockKey> first = BlockChain.keys(BlockChain.salt("secret one", "assistant", "v1", ""), text, 16);
        List<BlockKey> second = BlockChain.keys(BlockChain.salt("secret two", "assistant", "v1", ""), text, 16);
        assertEquals(first.size(), second.size());
        for (int i = 0; i < first.size(); i++) {
            assertNotEquals(first.get(i), second.get(i));
        }
        List<BlockKey> newVersion = BlockChain.keys(BlockChain.salt("secret one", "assistant", "v2", ""), text, 16);
        assertTrue(newVersion.stream().noneMatch(first::contains));
    }

    // The weights of an endpoint are swapped between the import of blocks and the prefill, so the import was planned
    // for the old version. Blocks of the old version must not be used under the new one. The engine commits only blocks
    // of its current version; the entry must remove the blocks held under the old weights, and the keys of the new
    // version must match none of them.
    @Test
    public void aWeightSwapBetweenImportAndPrefillRemovesTheBlocksOfTheOldVersion() {
        CacheCore core = coreWithStoredPreamble();
        Answer.Chosen chosen = core.route(PREAMBLE);
        ImportPlan plan = chosen.importPlan().orElseThrow();
        core.handle(importFailed(chosen.endpoint().id(), plan, EngineCacheUpdate.ImportFailure.FULL));
        core.setCatalogue("v2");
        core.addEndpoints(3, "v2");
        assertEquals(core.state().replicas().prefixBlocks(chosen.endpoint().id(), PREAMBLE), 0);
        List<BlockKey> newVersionPrompt = CacheCore.prompt("notebook under v2", 60);
        Answer.Chosen afterSwap = core.route(newVersionPrompt);
        assertFalse(afterSwap.importPlan().isPresent());
        assertEquals(recomputedBlocks(afterSwap), 60);
    }

    // The connection between store and engine is lost during a fetch without an error, and no more bytes arrive.
    // Without a deadline the request would wait forever. The import plan must have a deadline of about twice the
    // predicted time; when it passes, the store backs off and the next prompt is prefilled without waiting.
    @Test
    public void aSilentLinkDelaysOneRequestUntilABoundedDeadline() {
        CacheCore core = coreWithStoredPreamble();
        Answer.Chosen chosen = core.route(PREAMBLE);
        ImportPlan plan = chosen.importPlan().orElseThrow();
        double predictedMillis = chosen.explanation().candidates().get(0).fetchMillis();
        assertTrue(plan.deadline().toMillis() <= 2 * predictedMillis + 400);
        core.handle(importFailed(chosen.endpoint().id(), plan, EngineCacheUpdate.ImportFailure.LATE));
        core.handle(new AttemptReport.Imported(
                chosen.attempt(), 0, 0, plan.deadline().toMillis()));
        assertFalse(core.route(PREAMBLE).importPlan().isPresent());
    }

    // Two requests for the same preamble arrive within a second. With two fetches of the same bytes the link would be
    // overloaded and the second request would wait for both. The second request must join the import of the first.
    @Test
    public void twoRequestsForOnePreambleShareOneImport() {
        CacheCore core = coreWithStoredPreamble();
        Answer.Chosen first = core.route(CacheCore.extended(PREAMBLE, "first", 1));
        Answer.Chosen second = core.route(CacheCore.extended(PREAMBLE, "second", 1));
        assertFalse(first.importPlan().orElseThrow().joinsRunningImport());
        assertTrue(second.importPlan().orElseThrow().joinsRunningImport());
        assertEquals(second.endpoint().id(), first.endpoint().id());
        long bytes = core.state().stores().all().stream()
                .mapToLong(StoreTable.Store::foregroundBytes)
                .sum();
        assertEquals(bytes, 60L * CacheCore.BLOCK_TOKENS * CacheCore.BYTES_PER_TOKEN);
    }

    // The VM of a store is replaced and its blocks are lost, but the platform lists the store under the same name. The
    // entry would plan fetches that all fail. A new incarnation of the VM must remove all recorded copies of the store.
    @Test
    public void aReplacedStoreIsTreatedAsEmpty() {
        CacheCore core = coreWithStoredPreamble();
        Answer.Chosen chosen = core.route(PREAMBLE);
        assertTrue(chosen.importPlan().isPresent());
        core.handle(new AttemptReport.Ended(chosen.attempt(), false, 0, 0));
        core.setStores(2);
        assertFalse(core.route(PREAMBLE).importPlan().isPresent());
    }

    // All entries are replaced while the stores are full. No entry has a record of the stored blocks, all exports are
    // refused, and each preamble is prefilled on its return. The entry that maintains the store must read a page of its
    // blocks and delete the blocks of that page.
    @Test
    public void aStoreFullOfUntrackedBlocksIsFreedPageByPage() {
        CacheCore core = CacheCore.withDefaults(2);
        core.handle(new StoreUpdate.StatusRead(
                CacheCore.store(0),
                new StoreUpdate.Usage(0, 100_000),
                new StoreUpdate.Usage(1_000_000, 1_000_000),
                1_000));
        assertEquals(core.takeActions(CacheCommand.ReadStorePage.class).size(), 1);
        List<StoreUpdate.Found> page = CacheCore.sealed(PREAMBLE, 4).stream()
                .map(block -> new StoreUpdate.Found(block, StoreTier.DISK))
                .toList();
        core.handle(new StoreUpdate.PageRead(CacheCore.store(0), page));
        assertEquals(
                core.takeActions(CacheCommand.DeleteBlocks.class)
                        .get(0)
                        .blocks()
                        .size(),
                1);
    }

    /** Returns a core in whose state the preamble is stored and all replicas are empty. */
    private static CacheCore coreWithStoredPreamble() {
        CacheCore core = CacheCore.withDefaults(3);
        core.serve(PREAMBLE);
        core.advance(Duration.ofSeconds(5));
        core.finishExports();
        core.advance(LONG_ABSENCE);
        core.finishExports();
        for (int i = 0; i < 3; i++) {
            core.evictAll(CacheCore.endpointId(i));
        }
        return core;
    }

    private static EngineCacheUpdate.ImportEnded importFailed(
            EndpointId endpoint, ImportPlan plan, EngineCacheUpdate.ImportFailure reason) {
        List<EngineCacheUpdate.FailedBlock> failed = plan.blocks().stream()
                .map(block -> new EngineCacheUpdate.FailedBlock(block.key(), reason))
                .toList();
        return new EngineCacheUpdate.ImportEnded(endpoint, plan.store(), plan.blocks(), 0, 0, 100, failed);
    }

    private static long recomputedBlocks(Answer.Chosen chosen) {
        return chosen.explanation().candidates().get(0).recomputedTokens() / CacheCore.BLOCK_TOKENS;
    }
}
