package org.yuccagw.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.standins.http.ByteStream;
import org.yuccagw.standins.http.ServiceFaults;
import org.yuccagw.standins.http.StandIn;
import org.yuccagw.standins.http.StandInCall;
import org.yuccagw.standins.http.StandInJson;
import org.yuccagw.standins.http.StandInServer;

/**
 * Stand-in for a model engine, on one address, which runs the cost model in real time behind the protocol of engines.
 *
 * <p>{@code POST /knobs} accepts {@code leaving}, {@code kill}, {@code evict_all}, {@code load_lag_ms}, {@code
 * event_lag_ms} with {@code event_lost_every}, and {@code die_before_seal} in addition to the fields of {@link
 * ServiceFaults}. With {@code die_before_seal} the engine crashes between the write and the seal of the next block that
 * it exports.
 */
public final class EngineStandIn implements StandIn {
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private final EngineSettings settings;
    private final StandInServer server;
    private final EngineRuntime runtime;
    private final HttpClient httpClient;
    private final OrderHandler orders;
    private volatile boolean leaving;
    private volatile boolean crashBeforeSeal;
    private final AtomicLong wrongBytesCommitted = new AtomicLong();

    private EngineStandIn(EngineSettings settings) {
        this.settings = settings;
        this.server = StandInServer.create(settings.name());
        this.runtime = new EngineRuntime(settings, server.timer(), this::kill);
        this.httpClient = HttpClient.onWorker(server.worker());
        this.orders = new OrderHandler(settings, runtime, httpClient, server.timer());
        server.on("POST", "/v1/completions", call -> startRun(call, PromptRequest.completions(call.json())))
                .on("POST", "/v1/chat/completions", call -> startRun(call, PromptRequest.chat(call.json())))
                .on("GET", "/v1/streams/{stream}", this::resume)
                .on("DELETE", "/v1/streams/{stream}", this::cancel)
                .on("GET", "/v1/load", call -> call.reply(StandInJson.tree(runtime.reportedLoad())))
                .on("GET", "/v1/state", call -> call.reply(state()))
                .on("GET", "/v1/cache/events", call -> call.reply(runtime.eventsAfter(call.number("after"))))
                .on("GET", "/v1/cache/snapshot", call -> call.reply(snapshot()))
                .on("POST", "/v1/cache/export", this::export)
                .on("POST", "/v1/cache/import", this::importBlocks)
                .on("POST", "/v1/orders", orders::handle)
                .withRecord(this::record)
                .withKnobs(this::applyKnobs)
                .listen(settings.port());
    }

    public static EngineStandIn start(EngineSettings settings) {
        return new EngineStandIn(settings);
    }

    /** Returns the full answer of every stand-in engine to this completions prompt. */
    public static String expectedAnswer(String promptText, int tokens) {
        return CompletionFormat.words(promptText, tokens);
    }

    /** Returns the full answer of every stand-in engine to a chat of one message with the role {@code user}. */
    public static String expectedChatAnswer(String userContent, int tokens) {
        return CompletionFormat.words(ChatText.beforeAnswer(ChatText.message("user", userContent)), tokens);
    }

    @Override
    public NetworkAddress address() {
        return server.address();
    }

    @Override
    public NetworkAddress controlAddress() {
        return server.controlAddress();
    }

    public EngineSettings settings() {
        return settings;
    }

    @Override
    public void stop() {
        kill();
        server.stop();
    }

    /** Simulates a crash: ends all runs and closes the listener and all connections. */
    public void kill() {
        runtime.terminate();
        server.kill();
    }

    @Override
    public void injectFaults(ServiceFaults faults) {
        server.injectFaults(faults);
    }

    public void setLeaving(boolean newLeaving) {
        leaving = newLeaving;
    }

    /** Evicts all cached blocks that no sequence uses. */
    public void evictAll() {
        runtime.evictAll();
    }

    public List<BlockKey> cached() {
        return runtime.cached();
    }

    /** Returns the current load, without the lag of the reported load. */
    public EngineLoad load() {
        return runtime.load();
    }

    /** Returns all runs that started, in order. */
    public List<RunRecord> runs() {
        return runtime.startedRuns();
    }

    private void startRun(StandInCall call, PromptRequest request) {
        if (leaving) {
            call.replyError(UNAVAILABLE, "leaving", "this engine is leaving");
            return;
        }
        if (request.version().isPresent()
                && !request.version().get().equals(runtime.version().value())) {
            call.replyError(CONFLICT, "wrong_version", "this engine runs " + runtime.version());
            return;
        }
        AnswerRun.Caller attempt = new AnswerRun.Caller(call.header("X-Request-Id"), call.header("Idempotency-Key"));
        Optional<AnswerRun> run = orders.loading() ? Optional.empty() : runtime.submit(request, attempt);
        if (run.isEmpty()) {
            call.replyError(UNAVAILABLE, "overloaded", "the queue is full or weights are being loaded");
            return;
        }
        addHeaders(call, run.get());
        if (request.stream()) {
            runtime.read(run.get(), call.stream("text/event-stream"), 0);
        } else {
            runtime.awaitFullAnswer(run.get(), call::reply);
        }
    }

    private void resume(StandInCall call) {
        Optional<AnswerRun> run = runtime.find(call.required("stream"));
        if (run.isEmpty()) {
            call.replyError(NOT_FOUND, "unknown_stream", "there is no such stream, or no longer");
            return;
        }
        int from = (int) call.number("from", 0);
        addHeaders(call, run.get());
        ByteStream stream = call.stream("text/event-stream");
        runtime.read(run.get(), stream, from);
    }

    private void cancel(StandInCall call) {
        Optional<AnswerRun> run = runtime.find(call.required("stream"));
        if (run.isEmpty()) {
            call.replyError(NOT_FOUND, "unknown_stream", "there is no such stream, or no longer");
            return;
        }
        runtime.cancel(run.get());
        call.reply(StandInJson.object());
    }

    private void addHeaders(StandInCall call, AnswerRun run) {
        call.withHeader("X-Stream-Id", run.stream());
        call.withHeader("X-Weight-Version", run.version());
        call.withHeader("X-Software-Version", settings.software().value());
        call.withHeader("X-Incarnation", Long.toString(settings.incarnation()));
    }

    private ObjectNode state() {
        return StandInJson.object()
                .put("endpoint", settings.name())
                .put("vm", "vm-" + settings.name())
                .put("incarnation", settings.incarnation())
                .put("leaving", leaving)
                .put("version", runtime.version().value())
                .put("software", settings.software().value())
                .put("adapter", orders.adapter())
                .put("role", orders.role())
                .put("loading", orders.loading())
                .put("fencing", orders.highestFencing());
    }

    private ObjectNode snapshot() {
        ObjectNode snapshot = StandInJson.object();
        snapshot.set(
                "blocks",
                StandInJson.tree(
                        runtime.cached().stream().map(BlockKey::toString).toList()));
        return snapshot.put("sequence", runtime.eventSequence())
                .put("version", runtime.version().value());
    }

    private void export(StandInCall call) {
        int blockBytes = settings.costs().blockTokens() * settings.bytesPerToken();
        BlockExport.Source source = new BlockExport.Source(runtime::isCached, blockBytes, this::isSealable);
        BlockExport.start(httpClient, call.json(), source, call::reply);
    }

    /** Crashes the engine if this is requested; returns whether the block may be sealed. */
    private boolean isSealable() {
        if (crashBeforeSeal) {
            server.timer().execute(this::kill);
        }
        return !crashBeforeSeal;
    }

    private void importBlocks(StandInCall call) {
        JsonNode order = call.json();
        String version = order.path("version").asText();
        if (!version.equals(runtime.version().value())) {
            call.replyError(CONFLICT, "wrong_version", "this engine runs " + runtime.version());
            return;
        }
        BlockImport.start(
                httpClient, server.timer(), order, (block, bytes) -> commit(block.key(), bytes, version), call::reply);
    }

    private EngineRuntime.Commit commit(BlockKey key, byte[] bytes, String version) {
        EngineRuntime.Commit outcome = runtime.commit(key, version);
        if (outcome == EngineRuntime.Commit.CACHED && !Arrays.equals(bytes, BlockBytes.of(key, bytes.length))) {
            wrongBytesCommitted.incrementAndGet();
        }
        return outcome;
    }

    /** Returns the number of blocks that were committed to the cache with bytes other than those of their key. */
    public long wrongBytesCommitted() {
        return wrongBytesCommitted.get();
    }

    private ObjectNode record() {
        ObjectNode record = StandInJson.object();
        record.set("runs", StandInJson.tree(runtime.startedRuns()));
        record.set("orders", StandInJson.tree(orders.orders()));
        record.put("cached_blocks", runtime.cached().size());
        record.put("wrong_bytes_committed", wrongBytesCommitted.get());
        return record;
    }

    private void applyKnobs(JsonNode knobs) {
        leaving = knobs.path("leaving").asBoolean(leaving);
        crashBeforeSeal = knobs.path("die_before_seal").asBoolean(crashBeforeSeal);
        if (knobs.has("load_lag_ms")) {
            runtime.setLoadLag(Duration.ofMillis(knobs.path("load_lag_ms").asLong()));
        }
        if (knobs.has("event_lag_ms")) {
            runtime.setEventFaults(
                    Duration.ofMillis(knobs.path("event_lag_ms").asLong()),
                    knobs.path("event_lost_every").asInt(0));
        }
        if (knobs.path("evict_all").asBoolean(false)) {
            runtime.evictAll();
        }
        if (knobs.path("kill").asBoolean(false)) {
            server.timer().execute(this::kill);
        }
    }
}
