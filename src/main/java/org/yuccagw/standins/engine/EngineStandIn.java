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
 * A model engine on one address: the cost model in real time behind the documented protocol.
 *
 * <p>{@code POST /knobs} takes beside the usual faults {@code leaving}, {@code kill}, {@code evict_all},
 * {@code load_lag_ms}, {@code event_lag_ms} with {@code event_lost_every}, and {@code die_before_seal}: the engine dies
 * between the write and the seal of the next block that it exports.
 */
public final class EngineStandIn implements StandIn {
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private final EngineSettings settings;
    private final StandInServer server;
    private final EngineRuntime runtime;
    private final HttpClient caller;
    private final OrderHandler orders;
    private volatile boolean leaving;
    private volatile boolean dieBeforeSeal;
    private final AtomicLong wrongBytesCommitted = new AtomicLong();

    private EngineStandIn(EngineSettings settings) {
        this.settings = settings;
        this.server = StandInServer.create(settings.name());
        this.runtime = new EngineRuntime(settings, server.timer(), this::kill);
        this.caller = HttpClient.on(server.worker());
        this.orders = new OrderHandler(settings, runtime, caller, server.timer());
        server.on("POST", "/v1/completions", call -> begin(call, PromptRequest.completions(call.json())))
                .on("POST", "/v1/chat/completions", call -> begin(call, PromptRequest.chat(call.json())))
                .on("GET", "/v1/streams/{stream}", this::resume)
                .on("DELETE", "/v1/streams/{stream}", this::cancel)
                .on("GET", "/v1/load", call -> call.reply(StandInJson.tree(runtime.laggingLoad())))
                .on("GET", "/v1/state", call -> call.reply(state()))
                .on("GET", "/v1/cache/events", call -> call.reply(runtime.eventsAfter(call.number("after"))))
                .on("GET", "/v1/cache/snapshot", call -> call.reply(snapshot()))
                .on("POST", "/v1/cache/export", this::export)
                .on("POST", "/v1/cache/import", this::importBlocks)
                .on("POST", "/v1/orders", orders::take)
                .withRecord(this::record)
                .withKnobs(this::turn)
                .listen(settings.port());
    }

    public static EngineStandIn start(EngineSettings settings) {
        return new EngineStandIn(settings);
    }

    /** The whole answer that any engine gives to this completions prompt. */
    public static String expectedAnswer(String promptText, int tokens) {
        return CompletionFormat.words(promptText, tokens);
    }

    /** The whole answer that any engine gives to a chat of one message of the role {@code user}. */
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

    /** Dies with everything it holds: its listener and all connections close. */
    public void kill() {
        runtime.die();
        server.kill();
    }

    @Override
    public void order(ServiceFaults faults) {
        server.order(faults);
    }

    public void setLeaving(boolean nowLeaving) {
        leaving = nowLeaving;
    }

    /** Drops every cached block that no sequence uses. */
    public void evictAll() {
        runtime.evictAll();
    }

    public List<BlockKey> cached() {
        return runtime.cached();
    }

    /** The load of this moment, without the lag. */
    public EngineLoad load() {
        return runtime.load();
    }

    /** Every run that really started, in order. */
    public List<RunRecord> runs() {
        return runtime.started();
    }

    private void begin(StandInCall call, PromptRequest request) {
        if (leaving) {
            call.replyError(UNAVAILABLE, "leaving", "this engine is leaving");
            return;
        }
        if (request.version().isPresent()
                && !request.version().get().equals(runtime.version().value())) {
            call.replyError(CONFLICT, "wrong_version", "this engine runs " + runtime.version());
            return;
        }
        AnswerRun.Caller from = new AnswerRun.Caller(call.header("X-Request-Id"), call.header("Idempotency-Key"));
        Optional<AnswerRun> run = orders.loading() ? Optional.empty() : runtime.submit(request, from);
        if (run.isEmpty()) {
            call.replyError(UNAVAILABLE, "overloaded", "the queue is full or weights are being loaded");
            return;
        }
        addHeaders(call, run.get());
        if (request.stream()) {
            runtime.read(run.get(), call.stream("text/event-stream"), 0);
        } else {
            runtime.awaitWhole(run.get(), call::reply);
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
        call.withHeader("X-Incarnation", Long.toString(settings.incarnation()));
    }

    private ObjectNode state() {
        return StandInJson.object()
                .put("endpoint", settings.name())
                .put("vm", "vm-" + settings.name())
                .put("incarnation", settings.incarnation())
                .put("leaving", leaving)
                .put("version", runtime.version().value())
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
        BlockExport.Source source = new BlockExport.Source(runtime::isCached, blockBytes, this::survivesWrite);
        BlockExport.start(caller, call.json(), source, call::reply);
    }

    private boolean survivesWrite() {
        if (dieBeforeSeal) {
            server.timer().execute(this::kill);
        }
        return !dieBeforeSeal;
    }

    private void importBlocks(StandInCall call) {
        JsonNode order = call.json();
        String version = order.path("version").asText();
        if (!version.equals(runtime.version().value())) {
            call.replyError(CONFLICT, "wrong_version", "this engine runs " + runtime.version());
            return;
        }
        BlockImport.start(
                caller, server.timer(), order, (wanted, bytes) -> commit(wanted.key(), bytes, version), call::reply);
    }

    private EngineRuntime.Commit commit(BlockKey key, byte[] bytes, String version) {
        EngineRuntime.Commit outcome = runtime.commit(key, version);
        if (outcome == EngineRuntime.Commit.KEPT && !Arrays.equals(bytes, BlockBytes.of(key, bytes.length))) {
            wrongBytesCommitted.incrementAndGet();
        }
        return outcome;
    }

    /** Blocks in the cache whose bytes were not those of their key when they were committed. */
    public long wrongBytesCommitted() {
        return wrongBytesCommitted.get();
    }

    private ObjectNode record() {
        ObjectNode record = StandInJson.object();
        record.set("runs", StandInJson.tree(runtime.started()));
        record.set("orders", StandInJson.tree(orders.orders()));
        record.put("cached_blocks", runtime.cached().size());
        record.put("wrong_bytes_committed", wrongBytesCommitted.get());
        return record;
    }

    private void turn(JsonNode knobs) {
        leaving = knobs.path("leaving").asBoolean(leaving);
        dieBeforeSeal = knobs.path("die_before_seal").asBoolean(dieBeforeSeal);
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
