package org.yuccagw.standins.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.core.cache.BlockChain;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.core.id.WeightVersion;

public class EngineModelTest {
    private static final WeightVersion OLD_VERSION = WeightVersion.of("old");
    private static final WeightVersion NEW_VERSION = WeightVersion.of("new");
    private static final EngineCosts COSTS = EngineCosts.defaults();

    private List<EngineEvent> events;

    @BeforeMethod
    public void clearEvents() {
        events = new ArrayList<>();
    }

    @Test
    public void theFirstTokenTakesThePrefillOfTheUncachedPromptAndEachFurtherTokenOneIteration() {
        EngineModel model = EngineModel.of(COSTS, OLD_VERSION);
        List<BlockKey> blocks = blocks("a", 125);
        model.importBlocks(0, blocks.subList(0, 100));
        model.submit(0, new EngineRequest(1, 0, blocks, 2_000, 2));
        model.advanceTo(Duration.ofSeconds(1).toNanos(), events::add);
        assertEquals(
                tokenTimes(1),
                List.of(
                        Duration.ofNanos(62_250_000).toNanos(),
                        Duration.ofNanos(74_500_000).toNanos()));
        assertEquals(finished(1).cachedTokens(), 1_600);
    }

    @Test
    public void aSecondRunOfAPromptReusesItsBlocks() {
        EngineModel model = EngineModel.of(COSTS, OLD_VERSION);
        run(model, new EngineRequest(1, 0, blocks("a", 10), 165, 3));
        run(model, new EngineRequest(2, 0, blocks("a", 10), 165, 3));
        assertEquals(finished(1).cachedTokens(), 0);
        assertEquals(finished(2).cachedTokens(), 160);
    }

    @Test
    public void blocksAreNotReusedWithAnotherSalt() {
        EngineModel model = EngineModel.of(COSTS, OLD_VERSION);
        run(model, new EngineRequest(1, 0, blocks("a", 10), 165, 3));
        run(model, new EngineRequest(2, 0, blocks("b", 10), 165, 3));
        assertEquals(finished(2).cachedTokens(), 0);
    }

    @Test
    public void theLeastRecentlyUsedBlocksAreEvictedFirstAndTheEndOfAPromptBeforeItsStart() {
        EngineModel model = EngineModel.of(COSTS.withCacheBlocks(10), OLD_VERSION);
        run(model, new EngineRequest(1, 0, blocks("a", 8), 128, 1));
        run(model, new EngineRequest(2, 0, blocks("b", 6), 96, 1));
        assertEquals(model.cachedPrefixBlocks(blocks("a", 8)), 4);
        assertEquals(model.cachedPrefixBlocks(blocks("b", 6)), 6);
        assertEquals(
                events.stream()
                        .filter(EngineEvent.BlocksRemoved.class::isInstance)
                        .mapToInt(event ->
                                ((EngineEvent.BlocksRemoved) event).blocks().size())
                        .sum(),
                4);
    }

    @Test
    public void blocksOfARunningSequenceAreNotEvicted() {
        EngineModel model = EngineModel.of(COSTS.withCacheBlocks(4), OLD_VERSION);
        model.importBlocks(0, blocks("a", 4));
        model.submit(0, new EngineRequest(1, 0, blocks("a", 4), 70, 100));
        assertEquals(model.importBlocks(1, blocks("b", 4)), List.of());
        assertEquals(model.cachedPrefixBlocks(blocks("a", 4)), 4);
    }

    @Test
    public void requestsWithLowerPriorityNumbersAreAdmittedFirst() {
        EngineModel model = EngineModel.of(COSTS.withBatch(1, 10), OLD_VERSION);
        model.submit(0, new EngineRequest(1, 5, List.of(), 10, 2));
        model.submit(0, new EngineRequest(2, 5, List.of(), 10, 2));
        model.submit(0, new EngineRequest(3, 1, List.of(), 10, 2));
        model.advanceTo(Duration.ofSeconds(1).toNanos(), events::add);
        assertEquals(
                events.stream()
                        .filter(EngineEvent.Started.class::isInstance)
                        .map(event -> ((EngineEvent.Started) event).id())
                        .toList(),
                List.of(1L, 3L, 2L));
    }

    @Test
    public void aFullQueueRejectsRequests() {
        EngineModel model = EngineModel.of(COSTS.withBatch(1, 1), OLD_VERSION);
        assertTrue(model.submit(0, new EngineRequest(1, 0, List.of(), 10, 2)));
        assertTrue(model.submit(0, new EngineRequest(2, 0, List.of(), 10, 2)));
        assertFalse(model.submit(0, new EngineRequest(3, 0, List.of(), 10, 2)));
    }

    @Test
    public void aLongPromptIsProcessedInChunksWhileOtherSequencesGenerateTokens() {
        EngineModel model = EngineModel.of(COSTS, OLD_VERSION);
        model.submit(0, new EngineRequest(1, 0, List.of(), 1, 1_000));
        model.submit(0, new EngineRequest(2, 0, List.of(), 20_480, 1));
        model.advanceTo(Duration.ofSeconds(60).toNanos(), events::add);
        long firstTokenOfLongPrompt = tokenTimes(2).get(0);
        long tokensBefore = tokenTimes(1).stream()
                .filter(time -> time < firstTokenOfLongPrompt)
                .count();
        assertEquals(tokensBefore, 10);
    }

    @Test
    public void aCancelledRequestHasNoFurtherEventsAndFreesItsSlot() {
        EngineModel model = EngineModel.of(COSTS.withBatch(1, 5), OLD_VERSION);
        model.submit(0, new EngineRequest(1, 0, blocks("a", 4), 64, 1_000));
        model.submit(0, new EngineRequest(2, 0, List.of(), 10, 1));
        model.advanceTo(Duration.ofMillis(100).toNanos(), events::add);
        assertTrue(model.cancel(1));
        events.clear();
        model.advanceTo(Duration.ofSeconds(5).toNanos(), events::add);
        assertEquals(tokenTimes(1), List.of());
        assertEquals(tokenTimes(2).size(), 1);
        assertEquals(model.cached(), List.of());
        assertEquals(model.nextEventNanos(), Long.MAX_VALUE);
    }

    @Test
    public void aSwitchOfVersionsClearsTheCacheAndRunningSequencesStoreNoBlocks() {
        EngineModel model = EngineModel.of(COSTS, OLD_VERSION);
        run(model, new EngineRequest(1, 0, blocks("a", 4), 64, 1));
        long now = Duration.ofSeconds(20).toNanos();
        model.submit(now, new EngineRequest(2, 0, blocks("c", 4), 64, 10));
        model.switchVersion(now, NEW_VERSION);
        assertEquals(model.cached(), List.of());
        model.advanceTo(now + Duration.ofSeconds(5).toNanos(), events::add);
        assertEquals(finished(2).id(), 2);
        assertEquals(model.cached(), List.of());
    }

    private void run(EngineModel model, EngineRequest request) {
        long start = Duration.ofSeconds(request.id()).toNanos();
        model.submit(start, request);
        model.advanceTo(start + Duration.ofMillis(900).toNanos(), events::add);
    }

    private static List<BlockKey> blocks(String salt, int count) {
        byte[] text = "0123456789abcdef".repeat(4 * count).getBytes(StandardCharsets.UTF_8);
        return BlockChain.keys(salt, text, COSTS.blockTokens());
    }

    private List<Long> tokenTimes(long id) {
        return events.stream()
                .filter(EngineEvent.Token.class::isInstance)
                .map(EngineEvent.Token.class::cast)
                .filter(token -> token.id() == id)
                .map(EngineEvent.Token::nanos)
                .toList();
    }

    private EngineEvent.Finished finished(long id) {
        return events.stream()
                .filter(EngineEvent.Finished.class::isInstance)
                .map(EngineEvent.Finished.class::cast)
                .filter(event -> event.id() == id)
                .findFirst()
                .orElseThrow();
    }
}
