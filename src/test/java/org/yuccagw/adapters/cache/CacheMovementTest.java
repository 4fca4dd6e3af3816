package org.yuccagw.adapters.cache;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.core.cache.BlockChain;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.core.cache.CacheCommand;
import org.yuccagw.core.cache.EngineCacheUpdate;
import org.yuccagw.core.cache.EngineCacheUpdate.ImportFailure;
import org.yuccagw.core.cache.StoreUpdate;
import org.yuccagw.core.cache.StoredBlock;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.StoreId;
import org.yuccagw.core.id.VmId;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.routing.ImportPlan;
import org.yuccagw.standins.engine.EngineCosts;
import org.yuccagw.standins.engine.EngineSettings;
import org.yuccagw.standins.engine.EngineStandIn;
import org.yuccagw.standins.store.CacheStoreSettings;
import org.yuccagw.standins.store.CacheStoreStandIn;
import org.yuccagw.standins.store.ReadFaults;

/** Orders against the stand-ins of an engine and a store, over HTTP in one process. */
public class CacheMovementTest {
    private static final WeightVersion VERSION = WeightVersion.of("v1");
    private static final String SALT = BlockChain.salt("secret", "assistant", "v1", "");
    private static final String PROMPT = "a notebook's context, cell after cell. ".repeat(60);
    private static final Duration LIMIT = Duration.ofSeconds(30);
    private static final Duration SHORT = Duration.ofMillis(400);

    private final List<ControlEvent> events = new CopyOnWriteArrayList<>();
    private EngineStandIn engine;
    private CacheStoreStandIn store;
    private HttpClient caller;
    private ImportClient imports;
    private CacheCommandHandler actions;

    @BeforeMethod
    public void start() throws Exception {
        engine = EngineStandIn.start(EngineSettings.usual("engine-1", "model", VERSION)
                .withCosts(EngineCosts.usual().faster(10))
                .withLags(new EngineSettings.Lags(Duration.ZERO, Duration.ZERO, 0)));
        store = CacheStoreStandIn.start(CacheStoreSettings.usual("store-0"));
        caller = HttpClient.start(2);
        events.clear();
        imports = ImportClient.of(caller, events::add);
        actions = CacheCommandHandler.of(caller, imports);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        caller.stop();
        engine.stop();
        store.stop();
    }

    @Test
    public void blocksGoToTheStoreAndComeBackAfterEviction() throws Exception {
        List<StoredBlock> stored = export();
        engine.evictAll();
        assertEquals(importNow(plan(stored, LIMIT, false)).blocks(), stored.size());
        assertTrue(engine.cached().containsAll(keys()));
        EngineCacheUpdate.ImportEnded ended = only(EngineCacheUpdate.ImportEnded.class);
        assertEquals(ended.imported(), stored.size());
        assertTrue(ended.failed().isEmpty());
    }

    @Test
    public void whatTheStoreAndTheEngineTellIsRead() throws Exception {
        List<StoredBlock> stored = export();
        perform(new CacheCommand.LookUpBlocks(7, storeAddress(), keys()));
        assertEquals(only(StoreUpdate.BlocksFound.class).found().size(), stored.size());
        perform(new CacheCommand.ReadStoreStatus(storeAddress()));
        assertTrue(only(StoreUpdate.StatusRead.class).memory().usedBytes() > 0);
        perform(new CacheCommand.ReadCacheEvents(endpoint().id(), engine.address(), 0));
        assertTrue(only(EngineCacheUpdate.EventsRead.class).lastSequence() > 0);
        perform(new CacheCommand.ReadCacheSnapshot(endpoint().id(), engine.address()));
        assertTrue(only(EngineCacheUpdate.SnapshotRead.class).blocks().containsAll(keys()));
    }

    @Test
    public void aDeletionIsIdempotent() throws Exception {
        List<StoredBlock> stored = export();
        List<CacheCommand.Generation> generations = stored.stream()
                .map(block -> new CacheCommand.Generation(block.key(), block.generation()))
                .toList();
        for (int i = 0; i < 2; i++) {
            perform(new CacheCommand.DeleteBlocks(storeAddress(), generations));
            await().atMost(LIMIT).until(() -> {
                events.clear();
                perform(new CacheCommand.LookUpBlocks(1, storeAddress(), keys()));
                return only(StoreUpdate.BlocksFound.class).found().isEmpty();
            });
        }
    }

    // A byte of a stored block changed in the store's memory. The analyst must never get an answer made from it. The
    // engine compares the checksum before it commits the block, and says which one failed.
    @Test
    public void aBlockWithAWrongChecksumIsNotCommitted() throws Exception {
        List<StoredBlock> stored = export();
        engine.evictAll();
        store.order(new ReadFaults(1, 0, 0));
        assertEquals(importNow(plan(stored, LIMIT, false)).blocks(), stored.size() - 1);
        EngineCacheUpdate.ImportEnded ended = only(EngineCacheUpdate.ImportEnded.class);
        assertEquals(ended.failed().size(), 1);
        assertEquals(ended.failed().get(0).reason(), ImportFailure.DAMAGED);
        assertTrue(!engine.cached().contains(ended.failed().get(0).key()));
    }

    // The store dies while an engine fetches from it. The request must go on, with whatever has arrived. The outcome
    // says how many blocks are there, and none of the others was committed.
    @Test
    public void aStoreThatDiesEndsTheImportWithWhatArrived() throws Exception {
        List<StoredBlock> stored = export();
        engine.evictAll();
        store.setLink(20_000);
        CompletableFuture<ImportOutcome> outcome = begin(plan(stored, LIMIT, false));
        store.kill();
        int arrived = outcome.get(LIMIT.toSeconds(), TimeUnit.SECONDS).blocks();
        assertTrue(arrived < stored.size());
        assertTrue(engine.cached().stream().filter(keys()::contains).count() <= arrived);
    }

    // A link falls silent in the middle of a fetch: no error, no end. The request would wait for good. The deadline of
    // the plan ends the wait at the entry and at the engine.
    @Test
    public void aSilentLinkEndsAtTheDeadline() throws Exception {
        List<StoredBlock> stored = export();
        engine.evictAll();
        store.order(new ReadFaults(0, 0, stored.size()));
        ImportOutcome outcome = importNow(plan(stored, SHORT, false));
        assertEquals(outcome.blocks(), 0);
        assertTrue(only(EngineCacheUpdate.ImportEnded.class).failed().stream()
                .allMatch(block -> block.reason() == ImportFailure.LATE));
    }

    // Two callers return to one notebook at the same time. The second must not put the same bytes on the link again.
    @Test
    public void aPlanThatJoinsMovesNothingTwice() throws Exception {
        List<StoredBlock> stored = export();
        engine.evictAll();
        store.setLink(50_000);
        CompletableFuture<ImportOutcome> first = begin(plan(stored, LIMIT, false));
        CompletableFuture<ImportOutcome> second = begin(plan(stored, LIMIT, true));
        assertEquals(first.get(LIMIT.toSeconds(), TimeUnit.SECONDS).blocks(), stored.size());
        ImportOutcome joined = second.get(LIMIT.toSeconds(), TimeUnit.SECONDS);
        assertEquals(joined.blocks(), stored.size());
        assertEquals(joined.bytes(), 0);
        long length = stored.stream().mapToLong(StoredBlock::length).sum();
        assertEquals(store.readBytes(), length);
    }

    // The replica goes over to new weights between the plan and the import. Blocks of the old ones must not come in.
    @Test
    public void anImportForOtherWeightsIsRefusedAsAWhole() throws Exception {
        List<StoredBlock> stored = export();
        engine.evictAll();
        CompletableFuture<ImportOutcome> done = new CompletableFuture<>();
        imports.importBlocks(endpoint(), plan(stored, LIMIT, false), "v2", done::complete);
        assertEquals(done.get(LIMIT.toSeconds(), TimeUnit.SECONDS).blocks(), 0);
        assertTrue(engine.cached().isEmpty());
    }

    // The store has no room in the middle of an export. What was sealed is of use, the order says that it is full.
    @Test
    public void anExportToAFullStoreSaysSo() throws Exception {
        complete();
        store.setFull(true);
        perform(exportOrder());
        EngineCacheUpdate.ExportEnded ended = only(EngineCacheUpdate.ExportEnded.class);
        assertTrue(ended.full());
        assertTrue(ended.exported().isEmpty());
    }

    private List<StoredBlock> export() throws Exception {
        complete();
        perform(exportOrder());
        List<StoredBlock> stored = only(EngineCacheUpdate.ExportEnded.class).exported();
        assertEquals(stored.size(), keys().size());
        events.clear();
        return keys().stream()
                .map(key -> stored.stream()
                        .filter(block -> block.key().equals(key))
                        .findFirst()
                        .orElseThrow())
                .toList();
    }

    private CacheCommand.ExportBlocks exportOrder() {
        return new CacheCommand.ExportBlocks(1, endpoint(), storeAddress(), "writer-1", keys(), LIMIT);
    }

    private void complete() throws Exception {
        String body = CacheJson.write(CacheJson.object()
                .put("model", "model")
                .put("prompt", PROMPT)
                .put("max_tokens", 2)
                .put("cache_salt", SALT));
        assertTrue(caller.send(HttpQuery.json("POST", engine.address(), "/v1/completions", body))
                .get(LIMIT.toSeconds(), TimeUnit.SECONDS)
                .isSuccess());
        await().atMost(LIMIT).until(() -> engine.cached().containsAll(keys()));
    }

    private List<BlockKey> keys() {
        return BlockChain.keys(
                SALT,
                PROMPT.getBytes(StandardCharsets.UTF_8),
                EngineCosts.usual().blockTokens());
    }

    private ImportPlan plan(List<StoredBlock> stored, Duration deadline, boolean joins) {
        return new ImportPlan(StoreId.of("store-0"), store.address(), ImmutableList.copyOf(stored), deadline, joins);
    }

    private ImportOutcome importNow(ImportPlan plan) throws Exception {
        return begin(plan).get(LIMIT.toSeconds(), TimeUnit.SECONDS);
    }

    private CompletableFuture<ImportOutcome> begin(ImportPlan plan) {
        CompletableFuture<ImportOutcome> done = new CompletableFuture<>();
        imports.importBlocks(endpoint(), plan, VERSION.value(), done::complete);
        return done;
    }

    private void perform(CacheCommand order) {
        assertTrue(actions.perform(order, events::add));
    }

    private <T extends ControlEvent> T only(Class<T> kind) {
        await().atMost(LIMIT).until(() -> events.stream().anyMatch(kind::isInstance));
        return events.stream()
                .filter(kind::isInstance)
                .map(kind::cast)
                .findFirst()
                .orElseThrow();
    }

    private CacheCommand.StoreAddress storeAddress() {
        return new CacheCommand.StoreAddress(StoreId.of("store-0"), store.address());
    }

    private EndpointStatus endpoint() {
        return new EndpointStatus(
                EndpointId.of("engine-1"),
                VmId.of("vm-1"),
                1,
                "pool",
                engine.address(),
                FailureDomain.of("lac"),
                true,
                Optional.of(VERSION));
    }
}
