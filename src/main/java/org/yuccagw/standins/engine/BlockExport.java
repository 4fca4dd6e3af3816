package org.yuccagw.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.standins.http.StandInJson;

/**
 * Writes cached blocks to a store and seals each of them, with a limited number of concurrent writes. A block that
 * isn't cached or that the store rejects is skipped. Once the store is full, all remaining blocks are skipped.
 */
final class BlockExport {
    private static final int MAX_CONCURRENT_WRITES = 4;
    private static final int INSUFFICIENT_STORAGE = 507;

    private final HttpClient httpClient;
    private final NetworkAddress store;
    private final String writer;
    private final Source source;
    private final Consumer<JsonNode> reply;
    private final Deque<BlockKey> queue = new ArrayDeque<>();
    private final ObjectNode answer = StandInJson.object();
    private final ArrayNode exported = answer.putArray("exported");
    private final ArrayNode skipped = answer.putArray("skipped");
    private boolean storeFull;
    private int activeWrites;

    /**
     * The source of the blocks, with a hook for fault injection.
     *
     * @param isCached returns whether the block is still in the cache of the engine
     * @param blockBytes the size of a block in bytes
     * @param beforeSeal called between the write and the seal; if it returns false, the block stays unsealed and the
     *     export isn't answered
     */
    record Source(Predicate<BlockKey> isCached, int blockBytes, BooleanSupplier beforeSeal) {}

    private BlockExport(HttpClient httpClient, JsonNode order, Source source, Consumer<JsonNode> reply) {
        this.httpClient = httpClient;
        this.store = NetworkAddress.parse(order.path("store").asText());
        this.writer = order.path("writer").asText();
        this.source = source;
        this.reply = reply;
        order.path("blocks").forEach(key -> queue.add(BlockKey.parse(key.asText())));
    }

    static void start(HttpClient httpClient, JsonNode order, Source source, Consumer<JsonNode> reply) {
        new BlockExport(httpClient, order, source, reply).startNext();
    }

    private synchronized void startNext() {
        while (activeWrites < MAX_CONCURRENT_WRITES && !queue.isEmpty()) {
            BlockKey key = queue.poll();
            if (storeFull || !source.isCached().test(key)) {
                skipped.add(key.toString());
            } else {
                activeWrites++;
                write(key);
            }
        }
        if (activeWrites == 0) {
            reply.accept(answer.put("full", storeFull));
        }
    }

    private void write(BlockKey key) {
        byte[] bytes = BlockBytes.of(key, source.blockBytes());
        String path = "/v1/blocks/" + key + "?writer=" + writer;
        httpClient.send(HttpRequest.of("PUT", store, path, bytes)).whenComplete((writeResponse, failure) -> {
            if (failure != null || !writeResponse.isSuccess()) {
                skip(key, failure == null && writeResponse.status() == INSUFFICIENT_STORAGE);
            } else if (source.beforeSeal().getAsBoolean()) {
                seal(key, bytes, writeResponse);
            }
        });
    }

    private void seal(BlockKey key, byte[] bytes, HttpResponse writeResponse) {
        long generation =
                StandInJson.parse(writeResponse.body()).path("generation").asLong();
        long checksum = Hashing.crc32c().hashBytes(bytes).padToLong();
        String path = "/v1/blocks/" + key + "/seal?generation=" + generation + "&length=" + bytes.length + "&checksum="
                + checksum;
        httpClient.send(HttpRequest.of("POST", store, path)).whenComplete((sealResponse, failure) -> {
            if (failure != null || !sealResponse.isSuccess()) {
                skip(key, false);
            } else {
                onSealed(key, generation, bytes.length, checksum);
            }
        });
    }

    private synchronized void onSealed(BlockKey key, long generation, int length, long checksum) {
        exported.addObject()
                .put("key", key.toString())
                .put("generation", generation)
                .put("length", length)
                .put("checksum", checksum);
        activeWrites--;
        startNext();
    }

    private synchronized void skip(BlockKey key, boolean rejectedAsFull) {
        storeFull |= rejectedAsFull;
        skipped.add(key.toString());
        activeWrites--;
        startNext();
    }
}
