package org.yuccagw.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.yuccagw.core.cache.BlockChain;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.standins.http.ByteStream;
import org.yuccagw.standins.http.Markers;

/**
 * Runs the cost model in real time. A timer advances the model to each of its events, from which the runtime produces
 * the words for the readers of runs, the cache events and the record of started runs. One lock guards all state.
 */
final class EngineRuntime {
    private static final long STREAM_EXPIRY_INTERVAL_MILLIS = 100;

    private final EngineSettings settings;
    private final ScheduledExecutorService timer;
    private final Runnable crash;
    private final EngineModel model;
    private final CacheEventLog eventLog;
    private final LoadHistory loadHistory;
    private final Map<Long, AnswerRun> runsById = new HashMap<>();
    private final Map<String, AnswerRun> runsByStream = new HashMap<>();
    private final List<RunRecord> startedRuns = new ArrayList<>();
    private long lastRunId;
    private long scheduledForNanos = Long.MAX_VALUE;
    private ScheduledFuture<?> scheduled;
    private boolean terminated;

    EngineRuntime(EngineSettings settings, ScheduledExecutorService timer, Runnable crash) {
        this.settings = settings;
        this.timer = timer;
        this.crash = crash;
        this.model = EngineModel.of(settings.costs(), settings.version());
        this.eventLog = new CacheEventLog(
                settings.lags().events().toNanos(), settings.lags().lostEvery());
        this.loadHistory = new LoadHistory(settings.lags().load().toNanos());
        timer.scheduleWithFixedDelay(
                this::expireStreams,
                STREAM_EXPIRY_INTERVAL_MILLIS,
                STREAM_EXPIRY_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Submits a request. Returns empty if the queue is full or the engine has been terminated. */
    synchronized Optional<AnswerRun> submit(PromptRequest request, AnswerRun.Caller caller) {
        advance();
        long id = ++lastRunId;
        byte[] prompt = request.keyText().getBytes(StandardCharsets.UTF_8);
        List<BlockKey> blocks =
                BlockChain.keys(request.salt(), prompt, settings.costs().blockTokens());
        EngineRequest engineRequest =
                new EngineRequest(id, request.priority(), blocks, request.promptTokens(), request.answerTokens());
        AnswerRun run = new AnswerRun(
                id,
                settings.name() + "-" + settings.incarnation() + "-" + id,
                request,
                caller,
                model.version().value(),
                settings.model());
        runsById.put(id, run);
        if (terminated || !model.submit(System.nanoTime(), engineRequest)) {
            runsById.remove(id);
            return Optional.empty();
        }
        runsByStream.put(run.stream(), run);
        onModelChanged();
        return Optional.of(run);
    }

    synchronized Optional<AnswerRun> find(String stream) {
        return Optional.ofNullable(runsByStream.get(stream));
    }

    synchronized void read(AnswerRun run, ByteStream reader, int from) {
        reader.onClose(() -> removeReader(run, reader));
        run.addReader(reader, from);
    }

    synchronized void awaitFullAnswer(AnswerRun run, Consumer<JsonNode> reply) {
        run.awaitFullAnswer(reply);
    }

    synchronized void cancel(AnswerRun run) {
        advance();
        model.cancel(run.id());
        runsById.remove(run.id());
        runsByStream.remove(run.stream());
        run.abortReaders();
        onModelChanged();
    }

    synchronized WeightVersion version() {
        return model.version();
    }

    synchronized void switchVersion(WeightVersion version) {
        advance();
        model.switchVersion(System.nanoTime(), version);
        onModelChanged();
    }

    /** The result of committing a verified block to the cache. */
    enum Commit {
        CACHED,
        CACHE_FULL,
        OTHER_VERSION
    }

    /** Commits a block, provided that the engine still runs the weight version with which the block was computed. */
    synchronized Commit commit(BlockKey key, String version) {
        advance();
        if (!model.version().value().equals(version)) {
            return Commit.OTHER_VERSION;
        }
        boolean stored = !model.importBlocks(System.nanoTime(), List.of(key)).isEmpty();
        onModelChanged();
        return stored ? Commit.CACHED : Commit.CACHE_FULL;
    }

    synchronized boolean isCached(BlockKey key) {
        return model.isCached(key);
    }

    synchronized List<BlockKey> cached() {
        advance();
        return model.cached();
    }

    synchronized void evictAll() {
        advance();
        model.evict(System.nanoTime(), model.cached());
        onModelChanged();
    }

    /** Returns the load with the configured lag. */
    synchronized EngineLoad reportedLoad() {
        return loadHistory.reportedAt(System.nanoTime());
    }

    synchronized EngineLoad load() {
        return model.load();
    }

    synchronized ObjectNode eventsAfter(long sequence) {
        advance();
        onModelChanged();
        return eventLog.after(System.nanoTime(), sequence);
    }

    synchronized long eventSequence() {
        return eventLog.sequence();
    }

    synchronized void setEventFaults(Duration lag, int lostEvery) {
        eventLog.setLag(lag.toNanos());
        eventLog.setLostEvery(lostEvery);
    }

    synchronized void setLoadLag(Duration lag) {
        loadHistory.setLag(lag.toNanos());
    }

    synchronized List<RunRecord> startedRuns() {
        return List.copyOf(startedRuns);
    }

    /** Ends all runs without further events. */
    synchronized void terminate() {
        terminated = true;
        runsById.clear();
        runsByStream.clear();
    }

    private void advance() {
        if (!terminated) {
            model.advanceTo(System.nanoTime(), this::onEvent);
        }
    }

    private void onModelChanged() {
        advance();
        loadHistory.add(System.nanoTime(), model.load());
        long nextNanos = terminated ? Long.MAX_VALUE : model.nextEventNanos();
        if (nextNanos == scheduledForNanos) {
            return;
        }
        if (scheduled != null) {
            scheduled.cancel(false);
        }
        scheduledForNanos = nextNanos;
        if (nextNanos != Long.MAX_VALUE) {
            scheduled = timer.schedule(this::onTimer, nextNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
        }
    }

    private synchronized void onTimer() {
        scheduledForNanos = Long.MAX_VALUE;
        onModelChanged();
    }

    private void onEvent(EngineEvent event) {
        if (event instanceof EngineEvent.Started startedEvent) {
            onStarted(runsById.get(startedEvent.id()));
        } else if (event instanceof EngineEvent.Token token && runsById.containsKey(token.id())) {
            runsById.get(token.id()).onToken();
        } else if (event instanceof EngineEvent.Finished finished && runsById.containsKey(finished.id())) {
            runsById.remove(finished.id()).onFinished(finished.nanos(), finished.cachedTokens());
        } else if (event instanceof EngineEvent.BlocksStored stored) {
            eventLog.add(stored.nanos(), "stored", stored.blocks());
        } else if (event instanceof EngineEvent.BlocksRemoved removed) {
            eventLog.add(removed.nanos(), "removed", removed.blocks());
        }
    }

    private void onStarted(AnswerRun run) {
        if (run == null || terminated) {
            return;
        }
        PromptRequest request = run.request();
        startedRuns.add(new RunRecord(
                settings.name(),
                settings.incarnation(),
                run.caller().attempt(),
                run.caller().idempotencyKey(),
                Hashing.sha256()
                        .hashString(request.keyText(), StandardCharsets.UTF_8)
                        .toString(),
                request.salt(),
                Markers.in(request.keyText()),
                run.version(),
                run.stream(),
                System.currentTimeMillis()));
        if (settings.crashMarker().filter(request.keyText()::contains).isPresent()) {
            terminate();
            timer.execute(crash);
        }
    }

    private synchronized void removeReader(AnswerRun run, ByteStream reader) {
        run.removeReader(reader, System.nanoTime());
    }

    /** Removes the streams that have had no reader for the retention time, and cancels them if they still run. */
    private synchronized void expireStreams() {
        long nowNanos = System.nanoTime();
        List<AnswerRun> expired = runsByStream.values().stream()
                .filter(run -> !run.hasReader()
                        && nowNanos - run.unreadSinceNanos()
                                > settings.streamRetention().toNanos())
                .toList();
        expired.forEach(this::cancel);
    }
}
