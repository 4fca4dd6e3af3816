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
    private static final Duration AWAY = Duration.ofMinutes(30);

    // An engine dies while it writes a notebook's blocks to a store. The blocks stay unsealed: no reader sees them, but
    // they take room, and in the end the store answers that it is full. Cause: nobody else knows of the dead writer's
    // blocks. The entry that keeps the store deletes exactly those generations once no export can still be running.
    @Test
    public void blocksOfAWriterThatDiedBeforeSealingAreCollected() {
        CacheCore core = CacheCore.withDefaults(3);
        core.advance(Duration.ofSeconds(31));
        assertTrue(core.takeActions(CacheOrder.ReadUnsealed.class).size() >= 2);
        core.handle(new StoreUpdate.UnsealedRead(
                CacheCore.store(0),
                List.of(
                        new StoreUpdate.Unsealed(PREAMBLE.get(0), 5, "entry-1-1-1", 3_600_000),
                        new StoreUpdate.Unsealed(PREAMBLE.get(1), 6, "entry-1-1-2", 1_000))));
        List<CacheOrder.DeleteBlocks> deletions = core.takeActions(CacheOrder.DeleteBlocks.class);
        assertEquals(deletions.size(), 1);
        assertEquals(deletions.get(0).blocks(), List.of(new CacheOrder.Generation(PREAMBLE.get(0), 5)));
    }

    // A recruiter's dossier returns, its blocks are fetched, and the store dies in the middle. The recruiter would wait
    // for each further dossier too, deadline after deadline. Cause: the router still counts on the store. After the
    // first failure it leaves the store alone, and the next dossiers are computed at once.
    @Test
    public void aStoreThatDiesDuringAnImportIsLeftAloneAtOnce() {
        CacheCore core = storedAndGone();
        Answer.Chosen chosen = core.route(PREAMBLE);
        ImportPlan plan = chosen.importPlan().orElseThrow();
        core.handle(failed(chosen.endpoint().id(), plan, EngineCacheUpdate.ImportFailure.STORE));
        core.handle(new AttemptReport.Imported(chosen.attempt(), 0, 0, 40));
        assertFalse(core.route(PREAMBLE).importPlan().isPresent());
        core.advance(Duration.ofSeconds(2));
        assertTrue(core.route(PREAMBLE).importPlan().isPresent(), "it is tried again after a while");
    }

    // A store frees a block while an engine reads it. The read that goes on finishes, a later one finds the block gone
    // and the prompt is computed. Cause: the entry's knowledge is older than the store's. It must forget the block and
    // all that follows it in that copy, else each return of the notebook asks for it in vain.
    @Test
    public void aBlockThatIsGoneIsNotAskedForAgain() {
        CacheCore core = storedAndGone();
        Answer.Chosen chosen = core.route(PREAMBLE);
        ImportPlan plan = chosen.importPlan().orElseThrow();
        assertEquals(plan.blocks().size(), PREAMBLE.size());
        BlockKey gone = plan.blocks().get(20).key();
        core.handle(new EngineCacheUpdate.ImportEnded(
                chosen.endpoint().id(),
                plan.store(),
                plan.blocks(),
                20,
                1,
                50,
                List.of(new EngineCacheUpdate.FailedBlock(gone, EngineCacheUpdate.ImportFailure.GONE))));
        core.handle(new AttemptReport.Ended(chosen.attempt(), false, 0, 0));
        core.evictAll(chosen.endpoint().id());
        assertEquals(core.route(PREAMBLE).importPlan().orElseThrow().blocks().size(), 20);
    }

    // Bytes of a stored block were damaged. The engine sees the wrong checksum and refuses the block; the analyst's
    // answer is computed and right. Cause: a fault of the store's memory. The copy must not be used again.
    @Test
    public void aDamagedCopyIsForgotten() {
        CacheCore core = storedAndGone();
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

    // The store fills up in the middle of an export. Half a notebook is sealed, the rest is refused. Cause: other
    // writers were faster. The sealed half is of use, nothing more is sent there, and the least valuable blocks go.
    @Test
    public void aStoreThatFillsUpDuringAnExportKeepsTheSealedPart() {
        CacheCore core = CacheCore.withDefaults(3);
        EndpointId first = core.serve(PREAMBLE).endpoint().id();
        core.advance(Duration.ofSeconds(5));
        CacheOrder.ExportBlocks export =
                core.takeActions(CacheOrder.ExportBlocks.class).get(0);
        List<StoredBlock> half = CacheCore.sealed(export.blocks().subList(0, 30), 1);
        core.handle(new EngineCacheUpdate.ExportEnded(export.number(), first, half, true, Optional.empty()));
        assertFalse(core.takeActions(CacheOrder.MoveBlocks.class).isEmpty()
                && core.takeActions(CacheOrder.DeleteBlocks.class).isEmpty());
        core.serve(CacheCore.prompt("other", 60));
        core.advance(Duration.ofMillis(900));
        assertTrue(core.takeActions(CacheOrder.ExportBlocks.class).stream()
                .noneMatch(order -> order.store().id().equals(export.store().id())));
    }

    // An engine evicts a notebook, and the event that says so is lost. The router sends the notebook there as if it
    // were warm, and the analyst waits for all of it to be computed. Cause: a gap in the events. From the gap on the
    // replica is doubtful and counts for half, until a snapshot shows what it holds.
    @Test
    public void aGapThatHidesAnEvictionMakesTheReplicaDoubtfulUntilASnapshot() {
        CacheCore core = CacheCore.withDefaults(3);
        EndpointId warm = core.serve(PREAMBLE).endpoint().id();
        core.handle(new EngineCacheUpdate.EventsRead(warm, 1, List.of(new ReplicaIndex.Event(1, true, PREAMBLE))));
        assertEquals(recomputedBlocks(core.route(PREAMBLE)), 0);
        core.takeActions(CacheOrder.ReadCacheSnapshot.class);
        core.handle(new EngineCacheUpdate.EventsRead(
                warm, 3, List.of(new ReplicaIndex.Event(3, true, CacheCore.prompt("other", 1)))));
        assertEquals(core.takeActions(CacheOrder.ReadCacheSnapshot.class).size(), 1);
        assertEquals(recomputedBlocks(core.route(PREAMBLE)), 30);
        core.handle(new EngineCacheUpdate.SnapshotRead(warm, 3, Optional.empty(), CacheCore.prompt("other", 1)));
        assertEquals(recomputedBlocks(core.route(PREAMBLE)), 60);
    }

    // Two ministries paste the same survey text into their notebooks. If one's blocks served the other, its timing
    // would tell what the other works on. Cause: equal content. The keys differ from the first block on, because the
    // workspace's secret goes into the chain, so neither can even name the other's blocks.
    @Test
    public void twoWorkspacesWithTheSamePreambleShareNoKey() {
        byte[] text = "the same survey text, over and over. ".repeat(200).getBytes(StandardCharsets.UTF_8);
        List<BlockKey> one = BlockChain.keys(BlockChain.salt("secret one", "assistant", "v1", ""), text, 16);
        List<BlockKey> other = BlockChain.keys(BlockChain.salt("secret two", "assistant", "v1", ""), text, 16);
        assertEquals(one.size(), other.size());
        for (int i = 0; i < one.size(); i++) {
            assertNotEquals(one.get(i), other.get(i));
        }
        List<BlockKey> newer = BlockChain.keys(BlockChain.salt("secret one", "assistant", "v2", ""), text, 16);
        assertTrue(newer.stream().noneMatch(one::contains));
    }

    // A swap of weights lands between the import and the run. Blocks of the old version must not serve the new one.
    // Cause: the plan was made for the old version. The engine commits only blocks of the version that it runs; here,
    // what was held under the old weights is forgotten, and the keys of the new version name none of it.
    @Test
    public void aSwapBetweenImportAndRunLeavesNothingOfTheOldVersion() {
        CacheCore core = storedAndGone();
        Answer.Chosen chosen = core.route(PREAMBLE);
        ImportPlan plan = chosen.importPlan().orElseThrow();
        core.handle(failed(chosen.endpoint().id(), plan, EngineCacheUpdate.ImportFailure.FULL));
        core.setCatalogue("v2");
        core.addEndpoints(3, "v2");
        assertEquals(core.state().replicas().prefix(chosen.endpoint().id(), PREAMBLE), 0);
        List<BlockKey> underNewWeights = CacheCore.prompt("notebook under v2", 60);
        Answer.Chosen after = core.route(underNewWeights);
        assertFalse(after.importPlan().isPresent());
        assertEquals(recomputedBlocks(after), 60);
    }

    // A link falls silent in the middle of a fetch, with no error. The recruiter would wait for good. Cause: something
    // between store and engine lost the connection. The plan carries a deadline of about twice the predicted time; the
    // outcome is late, the store rests for a while, and the next dossier is computed without waiting.
    @Test
    public void aSilentLinkCostsOneBoundedDeadline() {
        CacheCore core = storedAndGone();
        Answer.Chosen chosen = core.route(PREAMBLE);
        ImportPlan plan = chosen.importPlan().orElseThrow();
        double predicted = chosen.explanation().candidates().get(0).fetchMillis();
        assertTrue(plan.deadline().toMillis() <= 2 * predicted + 400);
        core.handle(failed(chosen.endpoint().id(), plan, EngineCacheUpdate.ImportFailure.LATE));
        core.handle(new AttemptReport.Imported(
                chosen.attempt(), 0, 0, plan.deadline().toMillis()));
        assertFalse(core.route(PREAMBLE).importPlan().isPresent());
    }

    // Two analysts return to one shared notebook within a second of each other. Fetched twice, the same bytes would
    // fill the link, and the second one would wait for both. The second plan joins the first one's import.
    @Test
    public void twoReturningCallersOfOnePreambleShareOneFetch() {
        CacheCore core = storedAndGone();
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

    // A store's VM is replaced. Its blocks are gone, but the entry would plan fetches of them, each in vain. Cause: the
    // platform lists the store under the same name. A new incarnation empties what is known of it.
    @Test
    public void aReplacedStoreStartsEmpty() {
        CacheCore core = storedAndGone();
        Answer.Chosen chosen = core.route(PREAMBLE);
        assertTrue(chosen.importPlan().isPresent());
        core.handle(new AttemptReport.Ended(chosen.attempt(), false, 0, 0));
        core.setStores(2);
        assertFalse(core.route(PREAMBLE).importPlan().isPresent());
    }

    // All entries are replaced while the stores are full. Nothing of what the stores hold is known any more, exports
    // are
    // refused for good, and every preamble is computed on its return. The keeper reads a page and frees what it names.
    @Test
    public void aStoreFullOfBlocksThatNobodyKnowsIsFreedPageByPage() {
        CacheCore core = CacheCore.withDefaults(2);
        core.handle(new StoreUpdate.StatusRead(
                CacheCore.store(0),
                new StoreUpdate.Usage(0, 100_000),
                new StoreUpdate.Usage(1_000_000, 1_000_000),
                1_000));
        assertEquals(core.takeActions(CacheOrder.ReadStorePage.class).size(), 1);
        List<StoreUpdate.Found> page = CacheCore.sealed(PREAMBLE, 4).stream()
                .map(block -> new StoreUpdate.Found(block, StoreTier.DISK))
                .toList();
        core.handle(new StoreUpdate.PageRead(CacheCore.store(0), page));
        assertEquals(
                core.takeActions(CacheOrder.DeleteBlocks.class).get(0).blocks().size(), 1);
    }

    /** A core that knows the preamble as stored, and every replica as empty. */
    private static CacheCore storedAndGone() {
        CacheCore core = CacheCore.withDefaults(3);
        core.serve(PREAMBLE);
        core.advance(Duration.ofSeconds(5));
        core.finishExports();
        core.advance(AWAY);
        core.finishExports();
        for (int i = 0; i < 3; i++) {
            core.evictAll(CacheCore.endpointId(i));
        }
        return core;
    }

    private static EngineCacheUpdate.ImportEnded failed(
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
