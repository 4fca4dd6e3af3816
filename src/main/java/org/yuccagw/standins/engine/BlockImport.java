package org.yuccagw.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.standins.http.StandInJson;

/**
 * Reads blocks from a store, with a limited number of concurrent reads, and commits each to the cache only after its
 * generation, length and checksum have been verified. The import is answered at the deadline at the latest; blocks that
 * arrive after it are discarded.
 */
final class BlockImport {
    private static final int MAX_CONCURRENT_READS = 4;
    private static final int NOT_FOUND = 404;

    private final HttpClient httpClient;
    private final NetworkAddress store;
    private final long deadlineNanos;
    private final BiFunction<RequestedBlock, byte[], EngineRuntime.Commit> commit;
    private final Consumer<JsonNode> reply;
    private final Deque<RequestedBlock> queue = new ArrayDeque<>();
    private final Set<RequestedBlock> activeReads = new LinkedHashSet<>();
    private final ObjectNode answer = StandInJson.object();
    private final ArrayNode failed = answer.putArray("failed");
    private int imported;
    private long importedBytes;
    private boolean answered;

    /** A block generation to import, with the length and checksum that its bytes must have. */
    record RequestedBlock(BlockKey key, long generation, long length, long checksum) {
        private static RequestedBlock of(JsonNode node) {
            return new RequestedBlock(
                    BlockKey.parse(node.path("key").asText()),
                    node.path("generation").asLong(),
                    node.path("length").asLong(),
                    node.path("checksum").asLong());
        }

        /** Returns whether the response has this generation, completely and undamaged. */
        private boolean matches(HttpResponse response) {
            return response.header("X-Generation").equals(Long.toString(generation))
                    && response.body().length == length
                    && Hashing.crc32c().hashBytes(response.body()).padToLong() == checksum;
        }
    }

    private BlockImport(
            HttpClient httpClient,
            JsonNode order,
            BiFunction<RequestedBlock, byte[], EngineRuntime.Commit> commit,
            Consumer<JsonNode> reply) {
        this.httpClient = httpClient;
        this.store = NetworkAddress.parse(order.path("store").asText());
        this.deadlineNanos = System.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos(order.path("deadline").asLong());
        this.commit = commit;
        this.reply = reply;
        order.path("blocks").forEach(node -> queue.add(RequestedBlock.of(node)));
    }

    static void start(
            HttpClient httpClient,
            ScheduledExecutorService timer,
            JsonNode order,
            BiFunction<RequestedBlock, byte[], EngineRuntime.Commit> commit,
            Consumer<JsonNode> reply) {
        BlockImport blockImport = new BlockImport(httpClient, order, commit, reply);
        timer.schedule(blockImport::onDeadline, order.path("deadline").asLong(), TimeUnit.MILLISECONDS);
        blockImport.readNext();
    }

    private synchronized void readNext() {
        if (answered) {
            return;
        }
        while (activeReads.size() < MAX_CONCURRENT_READS && !queue.isEmpty()) {
            RequestedBlock block = queue.poll();
            activeReads.add(block);
            read(block);
        }
        if (activeReads.isEmpty()) {
            finish();
        }
    }

    private void read(RequestedBlock block) {
        String path = "/v1/blocks/" + block.key() + "?generation=" + block.generation();
        Duration remaining = Duration.ofNanos(Math.max(1_000_000, deadlineNanos - System.nanoTime()));
        httpClient
                .send(HttpRequest.get(store, path).withTimeouts(remaining, remaining))
                .whenComplete((response, failure) -> onResponse(block, failure == null ? response : null));
    }

    private synchronized void onResponse(RequestedBlock block, HttpResponse response) {
        if (answered) {
            return;
        }
        activeReads.remove(block);
        if (response == null) {
            addFailure(block, System.nanoTime() >= deadlineNanos ? "late" : "store");
        } else if (response.status() == NOT_FOUND) {
            addFailure(block, "gone");
        } else if (!response.isSuccess()) {
            addFailure(block, "store");
        } else if (!block.matches(response)) {
            addFailure(block, "damaged");
        } else {
            commit(block, response.body());
        }
        readNext();
    }

    private void commit(RequestedBlock block, byte[] body) {
        switch (commit.apply(block, body)) {
            case CACHED -> {
                imported++;
                importedBytes += body.length;
            }
            case CACHE_FULL -> addFailure(block, "full");
            default -> addFailure(block, "late");
        }
    }

    private void addFailure(RequestedBlock block, String reason) {
        failed.addObject().put("key", block.key().toString()).put("reason", reason);
    }

    private synchronized void onDeadline() {
        if (answered) {
            return;
        }
        activeReads.forEach(block -> addFailure(block, "late"));
        queue.forEach(block -> addFailure(block, "late"));
        finish();
    }

    private void finish() {
        answered = true;
        reply.accept(answer.put("imported", imported).put("bytes", importedBytes));
    }
}
