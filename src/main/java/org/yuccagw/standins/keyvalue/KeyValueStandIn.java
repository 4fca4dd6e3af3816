package org.yuccagw.standins.keyvalue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.standins.http.ServiceFaults;
import org.yuccagw.standins.http.StandIn;
import org.yuccagw.standins.http.StandInCall;
import org.yuccagw.standins.http.StandInJson;
import org.yuccagw.standins.http.StandInServer;

/**
 * The platform's key-value service on one address, in memory, in the platform's own protocol.
 *
 * <p>A waiting watch holds its exchange and no thread. All state is under this object's lock; handlers hold it for as
 * long as a map operation takes.
 */
public final class KeyValueStandIn implements StandIn {
    private static final int PAGE = 500;
    private static final int MOST_VALUE_BYTES = 1 << 20;
    private static final int NOT_FOUND = 404;
    private static final int HISTORY_GONE = 410;
    private static final int CONDITION_FAILED = 412;
    private static final int TOO_LARGE = 413;
    private static final int TOO_MANY = 429;
    private static final long LAPSE_CHECK_MILLIS = 5;
    private static final long MOST_WAIT_MILLIS = 60_000;

    private final StandInServer server = StandInServer.create("key-value");
    private final KeyValueState state = new KeyValueState();
    private final List<Watch> watches = new ArrayList<>();
    private final Map<String, Long> counts = new TreeMap<>();
    private final CallRate writeRate;
    private final CallRate readRate;
    private WriteFaults writeFaults = WriteFaults.none();

    private record Watch(StandInCall call, String prefix, long after) {}

    private KeyValueStandIn(KeyValueSettings settings) {
        writeRate = CallRate.of(settings.writesPerSecond());
        readRate = CallRate.of(settings.readsPerSecond());
        server.on("GET", "/kv-key", this::read)
                .on("GET", "/kv-range", this::readRange)
                .on("POST", "/kv-txn", this::write)
                .on("POST", "/kv-lease", this::grant)
                .on("POST", "/kv-keep/{lease}", this::renew)
                .on("DELETE", "/kv-lease-end/{lease}", this::revoke)
                .on("GET", "/kv-watch", this::watch)
                .withRecord(this::record)
                .withKnobs(this::turn)
                .listen(settings.port());
        server.timer()
                .scheduleWithFixedDelay(this::lapse, LAPSE_CHECK_MILLIS, LAPSE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    public static KeyValueStandIn start(KeyValueSettings settings) {
        return new KeyValueStandIn(settings);
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

    @Override
    public void order(ServiceFaults faults) {
        server.order(faults);
    }

    public synchronized void order(WriteFaults faults) {
        writeFaults = faults;
    }

    /** Calls so far by kind: read, read_prefix, write, delete, grant, renew, revoke, watch, and the refused ones. */
    public synchronized Map<String, Long> callsByKind() {
        return new TreeMap<>(counts);
    }

    private synchronized void read(StandInCall call) {
        if (!admit(call, "read", readRate)) {
            return;
        }
        Optional<KeyValueState.Item> found = state.read(call.required("key"));
        if (found.isPresent()) {
            call.reply(describe(found.get()).put("storeRevision", state.revision()));
        } else {
            call.reply(NOT_FOUND, StandInJson.object().put("storeRevision", state.revision()));
        }
    }

    private synchronized void readRange(StandInCall call) {
        if (!admit(call, "read_prefix", readRate)) {
            return;
        }
        String after = call.parameter("after").orElse("");
        List<KeyValueState.Item> rest = state
                .readPrefix(call.parameter("pathPrefix").orElse(""))
                .stream()
                .filter(item -> item.key().compareTo(after) > 0)
                .toList();
        List<KeyValueState.Item> page = rest.subList(0, Math.min(PAGE, rest.size()));
        ObjectNode answer = answer("items", page);
        call.reply(answer.put("truncated", page.size() < rest.size()));
    }

    private synchronized void write(StandInCall call) {
        if (!admit(call, "write", writeRate)) {
            return;
        }
        KeyValueState.Transaction transaction = Transactions.read(call.json());
        if (transaction.puts().stream().anyMatch(put -> put.value().length > MOST_VALUE_BYTES)) {
            call.replyError(TOO_LARGE, "too_large", "a value holds at most " + MOST_VALUE_BYTES + " bytes");
            return;
        }
        String key = Transactions.firstKey(transaction);
        change(call, key, new Change() {
            @Override
            public KeyValueState.Outcome apply() {
                return state.apply(transaction);
            }

            @Override
            public List<KeyValueState.Condition> conditions() {
                return transaction.conditions();
            }
        });
    }

    /** A change of the state that the ordered faults may make late. */
    private interface Change {
        KeyValueState.Outcome apply();

        List<KeyValueState.Condition> conditions();
    }

    private void change(StandInCall call, String key, Change change) {
        if (!writeFaults.covers(key)) {
            answer(call, change, apply(change));
            return;
        }
        WriteFaults now = writeFaults;
        writeFaults = now.oneLess();
        if (now.delays() > 0) {
            server.timer().schedule(() -> land(call, change), now.delayMillis(), TimeUnit.MILLISECONDS);
            return;
        }
        apply(change);
        call.cut();
    }

    private synchronized void land(StandInCall call, Change change) {
        answer(call, change, apply(change));
    }

    private KeyValueState.Outcome apply(Change change) {
        KeyValueState.Outcome outcome = change.apply();
        if (outcome.done()) {
            tellWatches();
        }
        return outcome;
    }

    private void answer(StandInCall call, Change change, KeyValueState.Outcome outcome) {
        switch (outcome.result()) {
            case DONE -> call.reply(StandInJson.object().put("revision", outcome.revision()));
            case NO_LEASE -> call.reply(NOT_FOUND, StandInJson.object());
            default -> {
                List<KeyValueState.Item> present = change.conditions().stream()
                        .flatMap(condition -> state.read(condition.key()).stream())
                        .toList();
                call.reply(CONDITION_FAILED, answer("items", present));
            }
        }
    }

    private synchronized void grant(StandInCall call) {
        if (admit(call, "grant", writeRate)) {
            long millis = call.json().path("ttlMs").asLong();
            long lease = state.grant(System.nanoTime(), TimeUnit.MILLISECONDS.toNanos(millis));
            call.reply(StandInJson.object().put("lease", lease).put("ttlMs", millis));
        }
    }

    private synchronized void renew(StandInCall call) {
        if (admit(call, "renew", writeRate)) {
            answerLease(call, state.renew(System.nanoTime(), call.number("lease")));
        }
    }

    private synchronized void revoke(StandInCall call) {
        if (admit(call, "revoke", writeRate)) {
            boolean done = state.revoke(call.number("lease"));
            tellWatches();
            answerLease(call, done);
        }
    }

    private static void answerLease(StandInCall call, boolean done) {
        if (done) {
            call.reply(StandInJson.object());
        } else {
            call.replyError(NOT_FOUND, "lapsed", "the lease lapsed");
        }
    }

    private synchronized void watch(StandInCall call) {
        if (!admit(call, "watch", readRate)) {
            return;
        }
        Watch watch = new Watch(call, call.parameter("pathPrefix").orElse(""), call.number("after"));
        if (state.isCompacted(watch.after())) {
            call.reply(HISTORY_GONE, StandInJson.object());
            return;
        }
        long wait = Math.min(call.number("waitMs"), MOST_WAIT_MILLIS);
        if (!tell(watch)) {
            watches.add(watch);
            server.timer().schedule(() -> endWatch(watch), wait, TimeUnit.MILLISECONDS);
        }
    }

    private boolean tell(Watch watch) {
        List<KeyValueState.Item> changes = state.changes(watch.prefix(), watch.after());
        if (changes.isEmpty()) {
            return false;
        }
        watch.call().reply(answer("events", changes));
        return true;
    }

    private void tellWatches() {
        for (Iterator<Watch> waiting = watches.iterator(); waiting.hasNext(); ) {
            if (tell(waiting.next())) {
                waiting.remove();
            }
        }
    }

    private synchronized void endWatch(Watch watch) {
        if (watches.remove(watch)) {
            watch.call().reply(answer("events", List.of()));
        }
    }

    private synchronized void lapse() {
        if (state.lapse(System.nanoTime())) {
            tellWatches();
        }
    }

    private boolean admit(StandInCall call, String kind, CallRate rate) {
        counts.merge(kind, 1L, Long::sum);
        if (rate.take(System.nanoTime())) {
            return true;
        }
        counts.merge("refused", 1L, Long::sum);
        call.replyError(TOO_MANY, "rate", "over the rate; the call had no effect");
        return false;
    }

    private ObjectNode answer(String field, List<KeyValueState.Item> found) {
        ObjectNode answer = StandInJson.object().put("storeRevision", state.revision());
        ArrayNode items = answer.putArray(field);
        found.forEach(item -> items.add(describe(item)));
        return answer;
    }

    private static ObjectNode describe(KeyValueState.Item item) {
        ObjectNode described = StandInJson.object().put("key", item.key()).put("revision", item.revision());
        if (item.deleted()) {
            return described.put("removed", true);
        }
        return described
                .put("value", Base64.getEncoder().encodeToString(item.value()))
                .put("lease", item.lease());
    }

    /** Writes a key as operators and endpoints do, whatever it holds. */
    public synchronized void put(String key, byte[] value) {
        state.apply(new KeyValueState.Transaction(List.of(), List.of(new KeyValueState.Put(key, value, 0)), List.of()));
        tellWatches();
    }

    /** Removes a key as operators and endpoints do. */
    public synchronized void remove(String key) {
        state.apply(new KeyValueState.Transaction(List.of(), List.of(), List.of(key)));
        tellWatches();
    }

    /** Drops the history: watches from before are told that it is gone. */
    public synchronized void compact() {
        state.compact();
    }

    private synchronized ObjectNode record() {
        ObjectNode record = StandInJson.object();
        record.set("calls_by_kind", StandInJson.tree(counts));
        record.put("waiting_watches", watches.size());
        record.put("revision", state.revision());
        return record;
    }

    private synchronized void turn(JsonNode knobs) {
        if (knobs.has("writes")) {
            writeFaults = WriteFaults.of(knobs.path("writes"));
        }
        if (knobs.path("compact").asBoolean(false)) {
            compact();
        }
    }
}
