package org.yuccagw.standins.store;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;
import static org.yuccagw.standins.http.TestCaller.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.standins.http.StandInJson;
import org.yuccagw.standins.http.TestCaller;

public class CacheStoreStandInTest {
    private static final BlockKey KEY = BlockKey.of(1, 2);
    private static final byte[] BYTES = bytes(1_000);
    private static final long CHECKSUM = Hashing.crc32c().hashBytes(BYTES).padToLong();

    private CacheStoreStandIn store;
    private TestCaller caller;

    @BeforeMethod
    public void start() throws Exception {
        store = CacheStoreStandIn.start(CacheStoreSettings.usual("store-1").withCapacity(1_500, 1_000));
        caller = TestCaller.to(store.address());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        caller.stop();
        store.stop();
    }

    @Test
    public void aBlockIsReadOnlyOnceItIsSealed() throws Exception {
        long generation = write(KEY);
        assertEquals(read(KEY, generation).status(), 404);
        assertEquals(lookup().size(), 0);
        assertEquals(seal(KEY, generation, CHECKSUM).status(), 200);
        HttpResponse answer = read(KEY, generation);
        assertEquals(answer.body(), BYTES);
        assertEquals(answer.header("X-Generation"), Long.toString(generation));
        assertEquals(answer.header("X-Checksum"), Long.toString(CHECKSUM));
        assertEquals(answer.header("X-Tier"), "memory");
        assertEquals(lookup().get(0).path("checksum").asLong(), CHECKSUM);
    }

    @Test
    public void aSealWithAnotherChecksumIsRefused() throws Exception {
        long generation = write(KEY);
        assertEquals(seal(KEY, generation, CHECKSUM + 1).status(), 409);
        assertEquals(read(KEY, generation).status(), 404);
        assertEquals(seal(KEY, generation + 1, CHECKSUM).status(), 404);
    }

    @Test
    public void memoryOverflowsToDiskAndThenTheStoreIsFull() throws Exception {
        seal(KEY, write(KEY), CHECKSUM);
        BlockKey second = BlockKey.of(1, 3);
        long generation = write(second);
        seal(second, generation, CHECKSUM);
        assertEquals(read(second, generation).header("X-Tier"), "disk");
        assertEquals(
                caller.call("PUT", "/v1/blocks/" + BlockKey.of(1, 4) + "?writer=w", BYTES)
                        .status(),
                507);
        assertEquals(
                caller.call("POST", "/v1/blocks/" + second + "/move?tier=memory&generation=" + generation)
                        .status(),
                507);
    }

    // An operator's eviction deletes a block while an engine reads it over a slow link. The reader would be handed
    // zeros or another block's bytes if the memory were used again before the read ended.
    @Test
    public void aDeleteLetsAReadInProgressFinish() throws Exception {
        long generation = write(KEY);
        seal(KEY, generation, CHECKSUM);
        store.setLink(4_000);
        CompletableFuture<HttpResponse> slow =
                caller.send("GET", "/v1/blocks/" + KEY + "?generation=" + generation, new byte[0]);
        await().until(() -> calls("GET /v1/blocks/{block}") == 1);
        assertEquals(
                caller.call("DELETE", "/v1/blocks/" + KEY + "?generation=" + generation)
                        .status(),
                200);
        assertEquals(read(KEY, generation).status(), 404);
        assertEquals(slow.get(30, TimeUnit.SECONDS).body(), BYTES);
        await().until(() -> json(caller.call("GET", "/v1/status"))
                        .path("memory")
                        .path("used")
                        .asLong()
                == 0);
    }

    @Test
    public void unsealedBlocksAreListedWithTheirWriter() throws Exception {
        long generation = write(KEY);
        JsonNode row = json(caller.call("GET", "/v1/unsealed")).path("blocks").get(0);
        assertEquals(row.path("writer").asText(), "w");
        assertEquals(row.path("generation").asLong(), generation);
    }

    @Test
    public void pagesListTheSealedBlocksInTheOrderOfKeys() throws Exception {
        seal(KEY, write(KEY), CHECKSUM);
        BlockKey second = BlockKey.of(1, 3);
        seal(second, write(second), CHECKSUM);
        JsonNode first = json(caller.call("GET", "/v1/blocks?limit=1")).path("found");
        assertEquals(first.findValuesAsText("key"), java.util.List.of(KEY.toString()));
        JsonNode next =
                json(caller.call("GET", "/v1/blocks?limit=5&after=" + KEY)).path("found");
        assertEquals(next.findValuesAsText("key"), java.util.List.of(second.toString()));
    }

    @Test
    public void readsCanBeOrderedToComeDamagedOrCut() throws Exception {
        long generation = write(KEY);
        seal(KEY, generation, CHECKSUM);
        order("damaged");
        assertTrue(!Arrays.equals(read(KEY, generation).body(), BYTES));
        order("cut");
        expectThrows(ExecutionException.class, () -> read(KEY, generation));
        assertEquals(read(KEY, generation).body(), BYTES);
    }

    private void order(String fault) throws Exception {
        JsonNode knobs = StandInJson.object().set("reads", StandInJson.object().put(fault, 1));
        caller.call("POST", "/knobs", knobs);
    }

    private long calls(String label) throws Exception {
        return json(caller.call("GET", "/record")).path("calls").path(label).asLong();
    }

    private long write(BlockKey key) throws Exception {
        return json(caller.call("PUT", "/v1/blocks/" + key + "?writer=w", BYTES))
                .path("generation")
                .asLong();
    }

    private HttpResponse seal(BlockKey key, long generation, long checksum) throws Exception {
        return caller.call(
                "POST",
                "/v1/blocks/" + key + "/seal?generation=" + generation + "&length=" + BYTES.length + "&checksum="
                        + checksum);
    }

    private HttpResponse read(BlockKey key, long generation) throws Exception {
        return caller.call("GET", "/v1/blocks/" + key + "?generation=" + generation);
    }

    private JsonNode lookup() throws Exception {
        JsonNode asked = StandInJson.object().set("blocks", StandInJson.tree(java.util.List.of(KEY.toString())));
        return json(caller.call("POST", "/v1/lookup", asked)).path("found");
    }

    private static byte[] bytes(int count) {
        byte[] bytes = new byte[count];
        for (int i = 0; i < count; i++) {
            bytes[i] = (byte) (i * 31);
        }
        return bytes;
    }
}
