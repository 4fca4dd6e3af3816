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
import org.yuccagw.standins.http.PacedLink;
import org.yuccagw.standins.http.ServiceFaults;
import org.yuccagw.standins.http.StandIn;
import org.yuccagw.standins.http.StandInCall;
import org.yuccagw.standins.http.StandInJson;
import org.yuccagw.standins.http.StandInServer;

/**
 * A cache store on one address: blocks in memory and on "disk" (memory too, with a delay), behind one link.
 *
 * <p>{@code POST /knobs} takes beside the usual faults {@code link_bytes_per_second}, {@code full} and {@code reads}.
 */
public final class CacheStoreStandIn implements StandIn {
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int FULL = 507;
    private static final int USUAL_PAGE = 1_000;
    private static final long CUT_AFTER_MILLIS = 20;

    private final CacheStoreSettings settings;
    private final StandInServer server;
    private final BlockTable shelf;
    private final PacedLink link;
    private ReadFaults readFaults = ReadFaults.none();
    private boolean full;
    private long readBytes;
    private long writtenBytes;

    private CacheStoreStandIn(CacheStoreSettings settings) {
        this.settings = settings;
        this.server = StandInServer.create(settings.name());
        this.shelf = new BlockTable(settings.memoryBytes(), settings.diskBytes());
        this.link = PacedLink.of(settings.linkBytesPerSecond());
        server.on("PUT", "/v1/blocks/{block}", this::write)
                .on("POST", "/v1/blocks/{block}/seal", this::seal)
                .on("GET", "/v1/blocks/{block}", this::read)
                .on("POST", "/v1/lookup", this::lookup)
                .on("DELETE", "/v1/blocks/{block}", this::delete)
                .on("POST", "/v1/blocks/{block}/move", this::move)
                .on("GET", "/v1/unsealed", this::unsealed)
                .on("GET", "/v1/blocks", this::page)
                .on("GET", "/v1/status", call -> call.reply(status()))
                .withRecord(this::status)
                .withKnobs(this::turn)
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

    /** Dies with everything in it. */
    public void kill() {
        server.kill();
    }

    @Override
    public void order(ServiceFaults faults) {
        server.order(faults);
    }

    public synchronized void order(ReadFaults faults) {
        readFaults = faults;
    }

    /** Whether each write is answered as if there were no room. */
    public synchronized void setFull(boolean answerFull) {
        full = answerFull;
    }

    public void setLink(double bytesPerSecond) {
        link.setRate(bytesPerSecond);
    }

    /** Bytes of blocks that readers were sent. */
    public synchronized long readBytes() {
        return readBytes;
    }

    /** Bytes of blocks that writers sent. */
    public synchronized long writtenBytes() {
        return writtenBytes;
    }

    private static BlockKey key(StandInCall call) {
        return BlockKey.parse(call.required("block"));
    }

    private synchronized void write(StandInCall call) {
        String writer = call.required("writer");
        Optional<StoredBlock> written =
                full ? Optional.empty() : shelf.write(System.nanoTime(), key(call), writer, call.body());
        if (written.isEmpty()) {
            call.replyError(FULL, "full", "no tier has room for " + call.body().length + " bytes");
            return;
        }
        writtenBytes += call.body().length;
        long generation = written.get().generation();
        afterLink(call.body().length, 0, () -> call.reply(StandInJson.object().put("generation", generation)));
    }

    private synchronized void seal(StandInCall call) {
        switch (shelf.seal(key(call), call.number("generation"), call.number("length"), call.number("checksum"))) {
            case DONE -> call.reply(StandInJson.object());
            case WRONG -> call.replyError(CONFLICT, "mismatch", "length or checksum differ from the bytes written");
            default -> call.replyError(NOT_FOUND, "unknown", "there is no such generation");
        }
    }

    private synchronized void read(StandInCall call) {
        Optional<StoredBlock> found = shelf.beginRead(key(call), call.number("generation"));
        if (found.isEmpty()) {
            call.replyError(NOT_FOUND, "unknown", "that generation isn't sealed here");
            return;
        }
        StoredBlock block = found.get();
        if (readFaults.silent() > 0) {
            readFaults = new ReadFaults(readFaults.damaged(), readFaults.cut(), readFaults.silent() - 1);
            return;
        }
        long delay = block.tier() == Tier.DISK ? settings.diskDelay().toNanos() : 0;
        afterLink(block.bytes().length, delay, () -> call.onIoThread(() -> send(call, block)));
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
            server.timer().schedule(stream::cut, CUT_AFTER_MILLIS, TimeUnit.MILLISECONDS);
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
        shelf.endRead(block);
    }

    private void afterLink(long bytes, long delayNanos, Runnable task) {
        long wait = link.reserve(System.nanoTime(), bytes) + delayNanos;
        server.timer().schedule(task, wait, TimeUnit.NANOSECONDS);
    }

    private synchronized void lookup(StandInCall call) {
        List<BlockKey> keys = new ArrayList<>();
        call.json().path("blocks").forEach(key -> keys.add(BlockKey.parse(key.asText())));
        ObjectNode answer = StandInJson.object();
        describe(shelf.lookup(keys), answer.putArray("found"));
        call.reply(answer);
    }

    private synchronized void delete(StandInCall call) {
        shelf.delete(key(call), call.number("generation"));
        call.reply(StandInJson.object());
    }

    private synchronized void move(StandInCall call) {
        switch (shelf.move(key(call), call.number("generation"), Tier.parse(call.required("tier")))) {
            case DONE -> call.reply(StandInJson.object());
            case FULL -> call.replyError(FULL, "full", "that tier has no room");
            default -> call.replyError(NOT_FOUND, "unknown", "that generation isn't sealed here");
        }
    }

    private synchronized void unsealed(StandInCall call) {
        ObjectNode answer = StandInJson.object();
        ArrayNode list = answer.putArray("blocks");
        long now = System.nanoTime();
        for (StoredBlock block : shelf.unsealed()) {
            list.addObject()
                    .put("key", block.key().toString())
                    .put("generation", block.generation())
                    .put("writer", block.writer())
                    .put("age", TimeUnit.NANOSECONDS.toMillis(now - block.writtenNanos()));
        }
        call.reply(answer);
    }

    private synchronized void page(StandInCall call) {
        Optional<BlockKey> after =
                call.parameter("after").filter(text -> !text.isEmpty()).map(BlockKey::parse);
        ObjectNode answer = StandInJson.object();
        describe(shelf.page(after, (int) call.number("limit", USUAL_PAGE)), answer.putArray("found"));
        call.reply(answer);
    }

    private static void describe(List<StoredBlock> blocks, ArrayNode list) {
        for (StoredBlock block : blocks) {
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
            status.putObject(tier.text()).put("used", shelf.used(tier)).put("capacity", shelf.capacity(tier));
        }
        return status.put("read_bytes", readBytes)
                .put("written_bytes", writtenBytes)
                .put("link_bytes_per_second", (long) link.rate());
    }

    private synchronized void turn(JsonNode knobs) {
        if (knobs.has("link_bytes_per_second")) {
            link.setRate(knobs.path("link_bytes_per_second").asDouble());
        }
        full = knobs.path("full").asBoolean(full);
        if (knobs.has("reads")) {
            readFaults = ReadFaults.of(knobs.path("reads"));
        }
    }
}
