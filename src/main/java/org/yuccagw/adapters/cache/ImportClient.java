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
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponse;
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
 * Makes engines import blocks from a store before a request is sent to them.
 *
 * <p>An import always ends by the plan's deadline and never fails the request: after any error the outcome states how
 * many blocks are available, and the engine computes the rest. The deadline is also sent to the engine, which commits
 * no block after it. The entry's own timer guards against an engine or a link that becomes silent.
 *
 * <p>A plan that joins waits for the running import of its blocks to the same engine instead of transferring them a
 * second time.
 */
public final class ImportClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final double NANOS_PER_MILLI = 1e6;

    private final HttpClient httpClient;
    private final ControlInput input;
    private final List<RunningImport> runningImports = new ArrayList<>();

    private ImportClient(HttpClient httpClient, ControlInput input) {
        this.httpClient = httpClient;
        this.input = input;
    }

    /** Returns a client that reports the end of each import to the control core. */
    public static ImportClient of(HttpClient httpClient, ControlInput input) {
        return new ImportClient(httpClient, input);
    }

    private record RunningImport(EndpointId endpoint, Set<BlockKey> blocks, CompletableFuture<ImportOutcome> outcome) {}

    /** The parameters of one import. */
    private record ImportJob(EndpointStatus endpoint, StoreId store, String version, List<StoredBlock> blocks) {}

    /**
     * Imports blocks, or waits for the running import that the plan joins. {@code done} is called exactly once, on any
     * thread.
     *
     * @param version weight version that the engine must run for a block to be committed
     */
    public void importBlocks(EndpointStatus endpoint, ImportPlan plan, String version, Consumer<ImportOutcome> done) {
        Optional<RunningImport> runningImport =
                plan.joinsRunningImport() ? findRunning(endpoint.id(), plan.blocks()) : Optional.empty();
        if (runningImport.isPresent()) {
            join(runningImport.get(), plan.deadline(), done);
        } else if (plan.joinsRunningImport()) {
            // The import to join has already ended. Its blocks are at the engine, which computes the rest.
            done.accept(new ImportOutcome(plan.blocks().size(), 0, 0));
        } else {
            ImportJob job = new ImportJob(endpoint, plan.store(), version, plan.blocks());
            start(job, plan.address().toString(), plan.deadline()).thenAccept(done);
        }
    }

    /** Imports blocks for a prompt that is expected to be sent again. */
    void prefetch(CacheCommand.PrefetchBlocks command) {
        ImportJob job = new ImportJob(
                command.endpoint(), command.store().id(), command.version().value(), command.blocks());
        start(job, command.store().address().toString(), command.deadline());
    }

    private static void join(RunningImport runningImport, Duration deadline, Consumer<ImportOutcome> done) {
        long startedNanos = System.nanoTime();
        runningImport
                .outcome()
                .copy()
                .completeOnTimeout(
                        new ImportOutcome(0, 0, deadline.toMillis()), deadline.toMillis(), TimeUnit.MILLISECONDS)
                .thenAccept(outcome -> done.accept(new ImportOutcome(outcome.blocks(), 0, millisSince(startedNanos))));
    }

    private CompletableFuture<ImportOutcome> start(ImportJob job, String storeAddress, Duration deadline) {
        ObjectNode body = CacheJson.object()
                .put("store", storeAddress)
                .put("version", job.version())
                .put("deadline", deadline.toMillis());
        body.set("blocks", CacheJson.storedBlocks(job.blocks()));
        HttpRequest httpRequest = HttpRequest.json(
                        "POST", job.endpoint().address(), "/v1/cache/import", CacheJson.write(body))
                .withTimeouts(CONNECT_TIMEOUT, deadline);
        CompletableFuture<ImportOutcome> outcome = new CompletableFuture<>();
        RunningImport thisImport = new RunningImport(job.endpoint().id(), keysOf(job.blocks()), outcome);
        add(thisImport);
        long startedNanos = System.nanoTime();
        httpClient
                .send(httpRequest)
                .orTimeout(deadline.toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((answer, failure) -> finish(job, thisImport, answer, failure, millisSince(startedNanos)));
        return outcome;
    }

    private void finish(
            ImportJob job, RunningImport thisImport, HttpResponse answer, Throwable failure, long durationMillis) {
        remove(thisImport);
        EngineCacheUpdate.ImportEnded ended = readOutcome(job, answer, failure, durationMillis);
        input.offer(ended);
        thisImport.outcome().complete(new ImportOutcome(ended.imported(), ended.bytes(), durationMillis));
    }

    private static EngineCacheUpdate.ImportEnded readOutcome(
            ImportJob job, HttpResponse answer, Throwable failure, long durationMillis) {
        if (failure != null) {
            return importFailed(job, durationMillis, ImportFailure.LATE);
        }
        if (!answer.isSuccess()) {
            // The engine refused the whole import, for example because it now runs other weights. This is no failure of
            // the store.
            return importFailed(job, durationMillis, ImportFailure.FULL);
        }
        try {
            JsonNode body = CacheJson.read(answer.body());
            return new EngineCacheUpdate.ImportEnded(
                    job.endpoint().id(),
                    job.store(),
                    job.blocks(),
                    body.path("imported").asInt(),
                    body.path("bytes").asLong(),
                    durationMillis,
                    CacheJson.failed(body));
        } catch (IOException | IllegalArgumentException e) {
            return importFailed(job, durationMillis, ImportFailure.FULL);
        }
    }

    private static EngineCacheUpdate.ImportEnded importFailed(
            ImportJob job, long durationMillis, ImportFailure reason) {
        List<FailedBlock> failed = job.blocks().stream()
                .map(block -> new FailedBlock(block.key(), reason))
                .toList();
        return new EngineCacheUpdate.ImportEnded(
                job.endpoint().id(), job.store(), job.blocks(), 0, 0, durationMillis, failed);
    }

    private synchronized Optional<RunningImport> findRunning(EndpointId endpoint, List<StoredBlock> blocks) {
        return runningImports.stream()
                .filter(runningImport -> runningImport.endpoint().equals(endpoint))
                .filter(runningImport ->
                        blocks.stream().anyMatch(block -> runningImport.blocks().contains(block.key())))
                .findFirst();
    }

    private synchronized void add(RunningImport thisImport) {
        runningImports.add(thisImport);
    }

    private synchronized void remove(RunningImport thisImport) {
        runningImports.remove(thisImport);
    }

    private static Set<BlockKey> keysOf(List<StoredBlock> blocks) {
        Set<BlockKey> keys = new HashSet<>();
        blocks.forEach(block -> keys.add(block.key()));
        return keys;
    }

    private static long millisSince(long startedNanos) {
        return Math.round((System.nanoTime() - startedNanos) / NANOS_PER_MILLI);
    }
}
