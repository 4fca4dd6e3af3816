package org.yuccagw.standins.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.standins.http.ByteStream;
import org.yuccagw.standins.http.RateLimitedLink;
import org.yuccagw.standins.http.ServiceFaults;
import org.yuccagw.standins.http.StandIn;
import org.yuccagw.standins.http.StandInCall;
import org.yuccagw.standins.http.StandInJson;
import org.yuccagw.standins.http.StandInServer;

/**
 * Stand-in for a cache store, on one address, with blocks in a memory and a disk tier behind one link. The disk tier is
 * simulated in memory with a read latency.
 *
 * <p>{@code POST /knobs} accepts {@code link_bytes_per_second}, {@code full} and {@code reads} in addition to the
 * fields of {@link ServiceFaults}.
 */
public final class CacheStoreStandIn implements StandIn {
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int INSUFFICIENT_STORAGE = 507;
    private static final int DEFAULT_PAGE_SIZE = 1_000;
    private static final long ABORT_DELAY_MILLIS = 20;

    private final CacheStoreSettings settings;
    private final StandInServer server;
    private final BlockTable blockTable;
    private final RateLimitedLink link;
    private ReadFaults readFaults = ReadFaults.none();
    private boolean full;
    private long readBytes;
    private long writtenBytes;

    private CacheStoreStandIn(CacheStoreSettings settings) {
        this.settings = settings;
        this.server = StandInServer.create(settings.name());
        this.blockTable = new BlockTable(settings.memoryBytes(), settings.diskBytes());
        this.link = RateLimitedLink.of(settings.linkBytesPerSecond());
        server.on("PUT", "/v1/blocks/{block}", this::write)
                .on("POST", "/v1/blocks/{block}/seal", this::seal)
                .on("GET", "/v1/blocks/{block}", this::read)
                .on("POST", "/v1/lookup", this::lookup)
                .on("DELETE", "/v1/blocks/{block}", this::delete)
                .on("POST", "/v1/blocks/{block}/move", this::move)
                .on("GET", "/v1/unsealed", this::unsealed)
                .on("GET", "/v1/blocks", this::listSealed)
                .on("GET", "/v1/status", call -> call.reply(status()))
                .withRecord(this::status)
                .withKnobs(this::applyKnobs)
                .listen(settings.port());
    }

    public static CacheStoreStandIn start(CacheStoreSettings settings) {
        return new CacheStoreStandIn(settings);
    }

    @Override
    public NetworkAddress address() {
        return server.address();
    }

    @Override
    public NetworkAddress controlAddress() {
        return server.controlAddress();
    }

    @Override
    public void stop() {
        server.stop();
    }

    /** Simulates a crash: closes the listener and all connections. All blocks are lost. */
    public void kill() {
        server.kill();
    }

    @Override
    public void injectFaults(ServiceFaults faults) {
        server.injectFaults(faults);
    }

    /** Replaces the faults to inject into the next reads of blocks. */
    public synchronized void injectFaults(ReadFaults faults) {
        readFaults = faults;
    }

    /** Sets whether all writes are rejected as if the store was full. */
    public synchronized void setFull(boolean newFull) {
        full = newFull;
    }

    /** Sets the rate of the link for transfers that start from now on. */
    public void setLink(double bytesPerSecond) {
        link.setBytesPerSecond(bytesPerSecond);
    }

    /** Returns the bytes of blocks that were sent to readers. */
    public synchronized long readBytes() {
        return readBytes;
    }

    /** Returns the bytes of blocks that were received from writers. */
    public synchronized long writtenBytes() {
        return writtenBytes;
    }

    private static BlockKey key(StandInCall call) {
        return BlockKey.parse(call.required("block"));
    }

    private synchronized void write(StandInCall call) {
        String writer = call.required("writer");
        Optional<StoredBlock> written =
                full ? Optional.empty() : blockTable.write(System.nanoTime(), key(call), writer, call.body());
        if (written.isEmpty()) {
            call.replyError(INSUFFICIENT_STORAGE, "full", "no tier has room for " + call.body().length + " bytes");
            return;
        }
        writtenBytes += call.body().length;
        long generation = written.get().generation();
        afterLink(call.body().length, 0, () -> call.reply(StandInJson.object().put("generation", generation)));
    }

    private synchronized void seal(StandInCall call) {
        switch (blockTable.seal(key(call), call.number("generation"), call.number("length"), call.number("checksum"))) {
            case DONE -> call.reply(StandInJson.object());
            case WRONG -> call.replyError(CONFLICT, "mismatch", "length or checksum differ from the bytes written");
            default -> call.replyError(NOT_FOUND, "unknown", "there is no such generation");
        }
    }

    private synchronized void read(StandInCall call) {
        Optional<StoredBlock> found = blockTable.beginRead(key(call), call.number("generation"));
        if (found.isEmpty()) {
            call.replyError(NOT_FOUND, "unknown", "that generation isn't sealed here");
            return;
        }
        StoredBlock block = found.get();
        if (readFaults.silent() > 0) {
            readFaults = new ReadFaults(readFaults.damaged(), readFaults.cut(), readFaults.silent() - 1);
            return;
        }
        long latencyNanos = block.tier() == Tier.DISK ? settings.diskDelay().toNanos() : 0;
        afterLink(block.bytes().length, latencyNanos, () -> call.onIoThread(() -> send(call, block)));
    }

    private synchronized void send(StandInCall call, StoredBlock block) {
        call.withHeader("X-Generation", Long.toString(block.generation()));
        call.withHeader("X-Checksum", Long.toString(block.checksum()));
        call.withHeader("X-Tier", block.tier().text());
        call.withHeader("Content-Length", Integer.toString(block.bytes().length));
        byte[] bytes = block.bytes();
        ByteStream stream = call.stream("application/octet-stream");
        stream.onClose(() -> endRead(block));
        if (readFaults.cut() > 0) {
            readFaults = new ReadFaults(readFaults.damaged(), readFaults.cut() - 1, readFaults.silent());
            stream.write(Arrays.copyOf(bytes, bytes.length / 2));
            server.timer().schedule(stream::abort, ABORT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        if (readFaults.damaged() > 0) {
            readFaults = new ReadFaults(readFaults.damaged() - 1, readFaults.cut(), readFaults.silent());
            bytes = bytes.clone();
            bytes[bytes.length / 2] ^= 1;
        }
        readBytes += bytes.length;
        stream.write(bytes);
        stream.end();
    }

    private synchronized void endRead(StoredBlock block) {
        blockTable.endRead(block);
    }

    private void afterLink(long bytes, long latencyNanos, Runnable task) {
        long waitNanos = link.reserve(System.nanoTime(), bytes) + latencyNanos;
        server.timer().schedule(task, waitNanos, TimeUnit.NANOSECONDS);
    }

    private synchronized void lookup(StandInCall call) {
        List<BlockKey> keys = new ArrayList<>();
        call.json().path("blocks").forEach(key -> keys.add(BlockKey.parse(key.asText())));
        ObjectNode answer = StandInJson.object();
        appendBlocks(blockTable.lookup(keys), answer.putArray("found"));
        call.reply(answer);
    }

    private synchronized void delete(StandInCall call) {
        blockTable.delete(key(call), call.number("generation"));
        call.reply(StandInJson.object());
    }

    private synchronized void move(StandInCall call) {
        switch (blockTable.move(key(call), call.number("generation"), Tier.parse(call.required("tier")))) {
            case DONE -> call.reply(StandInJson.object());
            case FULL -> call.replyError(INSUFFICIENT_STORAGE, "full", "that tier has no room");
            default -> call.replyError(NOT_FOUND, "unknown", "that generation isn't sealed here");
        }
    }

    private synchronized void unsealed(StandInCall call) {
        ObjectNode answer = StandInJson.object();
        ArrayNode list = answer.putArray("blocks");
        long nowNanos = System.nanoTime();
        for (StoredBlock block : blockTable.unsealed()) {
            list.addObject()
                    .put("key", block.key().toString())
                    .put("generation", block.generation())
                    .put("writer", block.writer())
                    .put("age", TimeUnit.NANOSECONDS.toMillis(nowNanos - block.writtenNanos()));
        }
        call.reply(answer);
    }

    private synchronized void listSealed(StandInCall call) {
        Optional<BlockKey> after =
                call.parameter("after").filter(text -> !text.isEmpty()).map(BlockKey::parse);
        ObjectNode answer = StandInJson.object();
        appendBlocks(
                blockTable.listSealed(after, (int) call.number("limit", DEFAULT_PAGE_SIZE)), answer.putArray("found"));
        call.reply(answer);
    }

    private static void appendBlocks(List<StoredBlock> found, ArrayNode list) {
        for (StoredBlock block : found) {
            list.addObject()
                    .put("key", block.key().toString())
                    .put("generation", block.generation())
                    .put("length", block.bytes().length)
                    .put("checksum", block.checksum())
                    .put("tier", block.tier().text());
        }
    }

    private synchronized ObjectNode status() {
        ObjectNode status = StandInJson.object().put("store", settings.name());
        for (Tier tier : Tier.values()) {
            status.putObject(tier.text()).put("used", blockTable.used(tier)).put("capacity", blockTable.capacity(tier));
        }
        return status.put("read_bytes", readBytes)
                .put("written_bytes", writtenBytes)
                .put("link_bytes_per_second", (long) link.bytesPerSecond());
    }

    private synchronized void applyKnobs(JsonNode knobs) {
        if (knobs.has("link_bytes_per_second")) {
            link.setBytesPerSecond(knobs.path("link_bytes_per_second").asDouble());
        }
        full = knobs.path("full").asBoolean(full);
        if (knobs.has("reads")) {
            readFaults = ReadFaults.of(knobs.path("reads"));
        }
    }
}
