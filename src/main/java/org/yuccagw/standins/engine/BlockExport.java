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
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.standins.http.StandInJson;

/**
 * Writes cached blocks to a store and seals each, a few at a time. A block that isn't cached, or that the store doesn't
 * take, is skipped; once the store is full, so are all that follow.
 */
final class BlockExport {
    private static final int AT_ONCE = 4;
    private static final int FULL = 507;

    private final HttpClient caller;
    private final NetworkAddress store;
    private final String writer;
    private final Source source;
    private final Consumer<JsonNode> reply;
    private final Deque<BlockKey> waiting = new ArrayDeque<>();
    private final ObjectNode answer = StandInJson.object();
    private final ArrayNode exported = answer.putArray("exported");
    private final ArrayNode skipped = answer.putArray("skipped");
    private boolean full;
    private int active;

    /**
     * Where the bytes come from and what a test wants to happen on the way.
     *
     * @param isCached whether the engine still has the block
     * @param beforeSeal runs between write and seal; false gives the block up unsealed
     */
    record Source(Predicate<BlockKey> isCached, int blockBytes, BooleanSupplier beforeSeal) {}

    private BlockExport(HttpClient caller, JsonNode order, Source source, Consumer<JsonNode> reply) {
        this.caller = caller;
        this.store = NetworkAddress.parse(order.path("store").asText());
        this.writer = order.path("writer").asText();
        this.source = source;
        this.reply = reply;
        order.path("blocks").forEach(key -> waiting.add(BlockKey.parse(key.asText())));
    }

    static void start(HttpClient caller, JsonNode order, Source source, Consumer<JsonNode> reply) {
        new BlockExport(caller, order, source, reply).next();
    }

    private synchronized void next() {
        while (active < AT_ONCE && !waiting.isEmpty()) {
            BlockKey key = waiting.poll();
            if (full || !source.isCached().test(key)) {
                skipped.add(key.toString());
            } else {
                active++;
                write(key);
            }
        }
        if (active == 0) {
            reply.accept(answer.put("full", full));
        }
    }

    private void write(BlockKey key) {
        byte[] bytes = BlockBytes.of(key, source.blockBytes());
        String path = "/v1/blocks/" + key + "?writer=" + writer;
        caller.send(HttpQuery.of("PUT", store, path, bytes)).whenComplete((written, failure) -> {
            if (failure != null || !written.isSuccess()) {
                skip(key, failure == null && written.status() == FULL);
            } else if (source.beforeSeal().getAsBoolean()) {
                seal(key, bytes, written);
            }
        });
    }

    private void seal(BlockKey key, byte[] bytes, HttpResponse written) {
        long generation = StandInJson.parse(written.body()).path("generation").asLong();
        long checksum = Hashing.crc32c().hashBytes(bytes).padToLong();
        String path = "/v1/blocks/" + key + "/seal?generation=" + generation + "&length=" + bytes.length + "&checksum="
                + checksum;
        caller.send(HttpQuery.of("POST", store, path)).whenComplete((answered, failure) -> {
            if (failure != null || !answered.isSuccess()) {
                skip(key, false);
            } else {
                done(key, generation, bytes.length, checksum);
            }
        });
    }

    private synchronized void done(BlockKey key, long generation, int length, long checksum) {
        exported.addObject()
                .put("key", key.toString())
                .put("generation", generation)
                .put("length", length)
                .put("checksum", checksum);
        active--;
        next();
    }

    private synchronized void skip(BlockKey key, boolean storeIsFull) {
        full |= storeIsFull;
        skipped.add(key.toString());
        active--;
        next();
    }
}
