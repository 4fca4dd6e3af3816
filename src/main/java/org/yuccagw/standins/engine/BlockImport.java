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
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.standins.http.StandInJson;

/**
 * Reads blocks from a store, a few at a time, and commits each to the cache only after generation, length and checksum
 * were checked. At the deadline it answers at once; a block that arrives later is thrown away.
 */
final class BlockImport {
    private static final int AT_ONCE = 4;
    private static final int NOT_FOUND = 404;

    private final HttpClient caller;
    private final NetworkAddress store;
    private final long deadlineNanos;
    private final BiFunction<Wanted, byte[], EngineRuntime.Commit> commit;
    private final Consumer<JsonNode> reply;
    private final Deque<Wanted> waiting = new ArrayDeque<>();
    private final Set<Wanted> active = new LinkedHashSet<>();
    private final ObjectNode answer = StandInJson.object();
    private final ArrayNode failed = answer.putArray("failed");
    private int imported;
    private long bytes;
    private boolean over;

    record Wanted(BlockKey key, long generation, long length, long checksum) {
        private static Wanted of(JsonNode node) {
            return new Wanted(
                    BlockKey.parse(node.path("key").asText()),
                    node.path("generation").asLong(),
                    node.path("length").asLong(),
                    node.path("checksum").asLong());
        }

        /** Whether the answer is this very generation, whole and undamaged. */
        private boolean matches(HttpResponse answered) {
            return answered.header("X-Generation").equals(Long.toString(generation))
                    && answered.body().length == length
                    && Hashing.crc32c().hashBytes(answered.body()).padToLong() == checksum;
        }
    }

    private BlockImport(
            HttpClient caller,
            JsonNode order,
            BiFunction<Wanted, byte[], EngineRuntime.Commit> commit,
            Consumer<JsonNode> reply) {
        this.caller = caller;
        this.store = NetworkAddress.parse(order.path("store").asText());
        this.deadlineNanos = System.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos(order.path("deadline").asLong());
        this.commit = commit;
        this.reply = reply;
        order.path("blocks").forEach(block -> waiting.add(Wanted.of(block)));
    }

    static void start(
            HttpClient caller,
            ScheduledExecutorService timer,
            JsonNode order,
            BiFunction<Wanted, byte[], EngineRuntime.Commit> commit,
            Consumer<JsonNode> reply) {
        BlockImport started = new BlockImport(caller, order, commit, reply);
        timer.schedule(started::onDeadline, order.path("deadline").asLong(), TimeUnit.MILLISECONDS);
        started.next();
    }

    private synchronized void next() {
        if (over) {
            return;
        }
        while (active.size() < AT_ONCE && !waiting.isEmpty()) {
            Wanted wanted = waiting.poll();
            active.add(wanted);
            read(wanted);
        }
        if (active.isEmpty()) {
            finish();
        }
    }

    private void read(Wanted wanted) {
        String path = "/v1/blocks/" + wanted.key() + "?generation=" + wanted.generation();
        Duration left = Duration.ofNanos(Math.max(1_000_000, deadlineNanos - System.nanoTime()));
        caller.send(HttpQuery.get(store, path).withTimeouts(left, left))
                .whenComplete((answered, failure) -> onAnswer(wanted, failure == null ? answered : null));
    }

    private synchronized void onAnswer(Wanted wanted, HttpResponse answered) {
        if (over) {
            return;
        }
        active.remove(wanted);
        if (answered == null) {
            fail(wanted, System.nanoTime() >= deadlineNanos ? "late" : "store");
        } else if (answered.status() == NOT_FOUND) {
            fail(wanted, "gone");
        } else if (!answered.isSuccess()) {
            fail(wanted, "store");
        } else if (!wanted.matches(answered)) {
            fail(wanted, "damaged");
        } else {
            commit(wanted, answered.body());
        }
        next();
    }

    private void commit(Wanted wanted, byte[] body) {
        switch (commit.apply(wanted, body)) {
            case KEPT -> {
                imported++;
                bytes += body.length;
            }
            case NO_ROOM -> fail(wanted, "full");
            default -> fail(wanted, "late");
        }
    }

    private void fail(Wanted wanted, String reason) {
        failed.addObject().put("key", wanted.key().toString()).put("reason", reason);
    }

    private synchronized void onDeadline() {
        if (over) {
            return;
        }
        active.forEach(wanted -> fail(wanted, "late"));
        waiting.forEach(wanted -> fail(wanted, "late"));
        finish();
    }

    private void finish() {
        over = true;
        reply.accept(answer.put("imported", imported).put("bytes", bytes));
    }
}
