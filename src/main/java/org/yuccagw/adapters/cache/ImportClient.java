package org.yuccagw.adapters.cache;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.core.cache.CacheCommand;
import org.yuccagw.core.cache.EngineCacheUpdate;
import org.yuccagw.core.cache.EngineCacheUpdate.FailedBlock;
import org.yuccagw.core.cache.EngineCacheUpdate.ImportFailure;
import org.yuccagw.core.cache.StoredBlock;
import org.yuccagw.core.control.ControlInput;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.StoreId;
import org.yuccagw.core.routing.ImportPlan;

/**
 * Orders engines to import blocks from a store before a request is sent to them.
 *
 * <p>It always ends by the plan's deadline, and always well: whatever goes wrong, the outcome says how many blocks are
 * there, and the request computes the rest. The engine is told the deadline too, and commits no block after it; the
 * entry's own timer guards against an engine or a link that falls silent and would never say so.
 *
 * <p>A plan that joins waits for the running import of its blocks to the same engine, and puts no second one on the
 * link.
 */
public final class ImportClient {
    private static final Duration CONNECT = Duration.ofSeconds(1);
    private static final double NANOS_PER_MILLI = 1e6;

    private final HttpClient caller;
    private final ControlInput input;
    private final List<Running> running = new ArrayList<>();

    private ImportClient(HttpClient caller, ControlInput input) {
        this.caller = caller;
        this.input = input;
    }

    /** Imports over this caller; what they show of stores and engines goes to the control core. */
    public static ImportClient of(HttpClient caller, ControlInput input) {
        return new ImportClient(caller, input);
    }

    private record Running(EndpointId endpoint, Set<BlockKey> blocks, CompletableFuture<ImportOutcome> outcome) {}

    /** What one import shall do. */
    private record Job(EndpointStatus endpoint, StoreId store, String version, List<StoredBlock> blocks) {}

    /**
     * Imports, or waits for the running import that the plan joins; {@code done} is called once, on any thread.
     *
     * @param version weight version that the engine must run for a block to be committed
     */
    public void importBlocks(EndpointStatus endpoint, ImportPlan plan, String version, Consumer<ImportOutcome> done) {
        Optional<Running> other = plan.joinsRunningImport() ? find(endpoint.id(), plan.blocks()) : Optional.empty();
        if (other.isPresent()) {
            join(other.get(), plan.deadline(), done);
        } else if (plan.joinsRunningImport()) {
            // The import to join has ended meanwhile: what it brought is there, the engine computes the rest.
            done.accept(new ImportOutcome(plan.blocks().size(), 0, 0));
        } else {
            Job job = new Job(endpoint, plan.store(), version, plan.blocks());
            start(job, plan.address().toString(), plan.deadline()).thenAccept(done);
        }
    }

    /** Imports ahead of any request. */
    void prefetch(CacheCommand.PrefetchBlocks order) {
        Job job = new Job(order.endpoint(), order.store().id(), order.version().value(), order.blocks());
        start(job, order.store().address().toString(), order.deadline());
    }

    private static void join(Running other, Duration deadline, Consumer<ImportOutcome> done) {
        long began = System.nanoTime();
        other.outcome()
                .copy()
                .completeOnTimeout(
                        new ImportOutcome(0, 0, deadline.toMillis()), deadline.toMillis(), TimeUnit.MILLISECONDS)
                .thenAccept(outcome -> done.accept(new ImportOutcome(outcome.blocks(), 0, millisSince(began))));
    }

    private CompletableFuture<ImportOutcome> start(Job job, String storeAddress, Duration deadline) {
        ObjectNode body = CacheJson.object()
                .put("store", storeAddress)
                .put("version", job.version())
                .put("deadline", deadline.toMillis());
        body.set("blocks", CacheJson.storedBlocks(job.blocks()));
        HttpQuery query = HttpQuery.json("POST", job.endpoint().address(), "/v1/cache/import", CacheJson.write(body))
                .withTimeouts(CONNECT, deadline);
        CompletableFuture<ImportOutcome> outcome = new CompletableFuture<>();
        Running entry = new Running(job.endpoint().id(), keysOf(job.blocks()), outcome);
        add(entry);
        long began = System.nanoTime();
        caller.send(query)
                .orTimeout(deadline.toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((answer, failure) -> end(job, entry, answer, failure, millisSince(began)));
        return outcome;
    }

    private void end(Job job, Running entry, HttpResponse answer, Throwable failure, long millis) {
        remove(entry);
        EngineCacheUpdate.ImportEnded ended = read(job, answer, failure, millis);
        input.offer(ended);
        entry.outcome().complete(new ImportOutcome(ended.imported(), ended.bytes(), millis));
    }

    private static EngineCacheUpdate.ImportEnded read(Job job, HttpResponse answer, Throwable failure, long millis) {
        if (failure != null) {
            return none(job, millis, ImportFailure.LATE);
        }
        if (!answer.isSuccess()) {
            // The engine refused as a whole, such as for running other weights now: that says nothing of the store.
            return none(job, millis, ImportFailure.FULL);
        }
        try {
            JsonNode body = CacheJson.read(answer.body());
            return new EngineCacheUpdate.ImportEnded(
                    job.endpoint().id(),
                    job.store(),
                    job.blocks(),
                    body.path("imported").asInt(),
                    body.path("bytes").asLong(),
                    millis,
                    CacheJson.failed(body));
        } catch (IOException | IllegalArgumentException e) {
            return none(job, millis, ImportFailure.FULL);
        }
    }

    private static EngineCacheUpdate.ImportEnded none(Job job, long millis, ImportFailure reason) {
        List<FailedBlock> failed = job.blocks().stream()
                .map(block -> new FailedBlock(block.key(), reason))
                .toList();
        return new EngineCacheUpdate.ImportEnded(job.endpoint().id(), job.store(), job.blocks(), 0, 0, millis, failed);
    }

    private synchronized Optional<Running> find(EndpointId endpoint, List<StoredBlock> blocks) {
        return running.stream()
                .filter(other -> other.endpoint().equals(endpoint))
                .filter(other ->
                        blocks.stream().anyMatch(block -> other.blocks().contains(block.key())))
                .findFirst();
    }

    private synchronized void add(Running entry) {
        running.add(entry);
    }

    private synchronized void remove(Running entry) {
        running.remove(entry);
    }

    private static Set<BlockKey> keysOf(List<StoredBlock> blocks) {
        Set<BlockKey> keys = new HashSet<>();
        blocks.forEach(block -> keys.add(block.key()));
        return keys;
    }

    private static long millisSince(long nanos) {
        return Math.round((System.nanoTime() - nanos) / NANOS_PER_MILLI);
    }
}
