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
 * In-memory stand-in for the platform's key-value service, on one address, with the platform's protocol.
 *
 * <p>A pending watch occupies its HTTP exchange, but no thread. All state is guarded by this object's lock, which
 * handlers hold only for the duration of a map operation.
 */
public final class KeyValueStandIn implements StandIn {
    private static final String ERA_HEADER = "Store-Era";
    private static final int PAGE_SIZE = 500;
    private static final int MAX_VALUE_BYTES = 1 << 20;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;
    private static final int PRECONDITION_FAILED = 412;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final long LEASE_EXPIRY_INTERVAL_MILLIS = 5;
    private static final long MAX_WATCH_MILLIS = 60_000;

    private final StandInServer server = StandInServer.create("key-value");
    private final KeyValueState state = new KeyValueState();
    private final List<PendingWatch> pendingWatches = new ArrayList<>();
    private final Map<String, Long> callCounts = new TreeMap<>();
    private final CallRateLimit writeRateLimit;
    private final CallRateLimit readRateLimit;
    private WriteFaults writeFaults = WriteFaults.none();
    private KeyValueState.Copy copy = state.copy();
    private long era = 1;

    private record PendingWatch(StandInCall call, String prefix, long after) {}

    private KeyValueStandIn(KeyValueSettings settings) {
        writeRateLimit = CallRateLimit.of(settings.writesPerSecond());
        readRateLimit = CallRateLimit.of(settings.readsPerSecond());
        server.on("GET", "/kv-key", this::readKey)
                .on("GET", "/kv-range", this::readRange)
                .on("POST", "/kv-txn", this::write)
                .on("POST", "/kv-lease", this::grant)
                .on("POST", "/kv-keep/{lease}", this::renew)
                .on("DELETE", "/kv-lease-end/{lease}", this::revoke)
                .on("GET", "/kv-watch", this::watch)
                .withRecord(this::record)
                .withKnobs(this::applyKnobs)
                .listen(settings.port());
        server.timer()
                .scheduleWithFixedDelay(
                        this::expireLeases,
                        LEASE_EXPIRY_INTERVAL_MILLIS,
                        LEASE_EXPIRY_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
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
    public void injectFaults(ServiceFaults faults) {
        server.injectFaults(faults);
    }

    /** Replaces the faults to inject into the next writes. */
    public synchronized void injectFaults(WriteFaults faults) {
        writeFaults = faults;
    }

    /**
     * Returns the number of calls since the start by kind: {@code read}, {@code read_prefix}, {@code write}, {@code
     * grant}, {@code renew}, {@code revoke} and {@code watch}. The calls over the rate limit count as their kind and as
     * {@code refused}. Deletions are transactions and count as {@code write}.
     */
    public synchronized Map<String, Long> callsByKind() {
        return new TreeMap<>(callCounts);
    }

    private synchronized void readKey(StandInCall call) {
        if (!admit(call, "read", readRateLimit)) {
            return;
        }
        Optional<KeyValueState.Item> found = state.read(call.required("key"));
        if (found.isPresent()) {
            call.reply(toJson(found.get()).put("storeRevision", state.revision()));
        } else {
            call.reply(NOT_FOUND, StandInJson.object().put("storeRevision", state.revision()));
        }
    }

    private synchronized void readRange(StandInCall call) {
        if (!admit(call, "read_prefix", readRateLimit)) {
            return;
        }
        String after = call.parameter("after").orElse("");
        List<KeyValueState.Item> remaining = state
                .readPrefix(call.parameter("pathPrefix").orElse(""))
                .stream()
                .filter(item -> item.key().compareTo(after) > 0)
                .toList();
        List<KeyValueState.Item> page = remaining.subList(0, Math.min(PAGE_SIZE, remaining.size()));
        ObjectNode answer = itemsAnswer("items", page);
        call.reply(answer.put("truncated", page.size() < remaining.size()));
    }

    private synchronized void write(StandInCall call) {
        if (!admit(call, "write", writeRateLimit)) {
            return;
        }
        KeyValueState.Transaction transaction = Transactions.parse(call.json());
        if (transaction.puts().stream().anyMatch(put -> put.value().length > MAX_VALUE_BYTES)) {
            call.replyError(CONTENT_TOO_LARGE, "too_large", "a value holds at most " + MAX_VALUE_BYTES + " bytes");
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

    /** A change of the state, which injected faults may delay. */
    private interface Change {
        KeyValueState.Outcome apply();

        List<KeyValueState.Condition> conditions();
    }

    private void change(StandInCall call, String key, Change change) {
        if (!writeFaults.matches(key)) {
            answer(call, change, apply(change));
            return;
        }
        WriteFaults current = writeFaults;
        writeFaults = current.withOneUsed();
        if (current.delays() > 0) {
            server.timer().schedule(() -> applyDelayed(call, change), current.delayMillis(), TimeUnit.MILLISECONDS);
            return;
        }
        apply(change);
        call.closeConnection();
    }

    private synchronized void applyDelayed(StandInCall call, Change change) {
        answer(call, change, apply(change));
    }

    private KeyValueState.Outcome apply(Change change) {
        KeyValueState.Outcome outcome = change.apply();
        if (outcome.done()) {
            notifyWatches();
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
                call.reply(PRECONDITION_FAILED, itemsAnswer("items", present));
            }
        }
    }

    private synchronized void grant(StandInCall call) {
        if (admit(call, "grant", writeRateLimit)) {
            long ttlMillis = call.json().path("ttlMs").asLong();
            long lease = state.grant(System.nanoTime(), TimeUnit.MILLISECONDS.toNanos(ttlMillis));
            call.reply(StandInJson.object().put("lease", lease).put("ttlMs", ttlMillis));
        }
    }

    private synchronized void renew(StandInCall call) {
        if (admit(call, "renew", writeRateLimit)) {
            answerLease(call, state.renew(System.nanoTime(), call.number("lease")));
        }
    }

    private synchronized void revoke(StandInCall call) {
        if (admit(call, "revoke", writeRateLimit)) {
            boolean revoked = state.revoke(call.number("lease"));
            notifyWatches();
            answerLease(call, revoked);
        }
    }

    private static void answerLease(StandInCall call, boolean exists) {
        if (exists) {
            call.reply(StandInJson.object());
        } else {
            call.replyError(NOT_FOUND, "lapsed", "the lease lapsed");
        }
    }

    private synchronized void watch(StandInCall call) {
        if (!admit(call, "watch", readRateLimit)) {
            return;
        }
        PendingWatch watch = new PendingWatch(call, call.parameter("pathPrefix").orElse(""), call.number("after"));
        if (!state.hasHistorySince(watch.after())) {
            call.reply(GONE, StandInJson.object());
            return;
        }
        long waitMillis = Math.min(call.number("waitMs"), MAX_WATCH_MILLIS);
        if (!answerIfChanged(watch)) {
            pendingWatches.add(watch);
            server.timer().schedule(() -> expireWatch(watch), waitMillis, TimeUnit.MILLISECONDS);
        }
    }

    private boolean answerIfChanged(PendingWatch watch) {
        List<KeyValueState.Item> changes = state.changes(watch.prefix(), watch.after());
        if (changes.isEmpty()) {
            return false;
        }
        watch.call().reply(itemsAnswer("events", changes));
        return true;
    }

    private void notifyWatches() {
        for (Iterator<PendingWatch> iterator = pendingWatches.iterator(); iterator.hasNext(); ) {
            if (answerIfChanged(iterator.next())) {
                iterator.remove();
            }
        }
    }

    private synchronized void expireWatch(PendingWatch watch) {
        if (pendingWatches.remove(watch)) {
            watch.call().reply(itemsAnswer("events", List.of()));
        }
    }

    private synchronized void expireLeases() {
        if (state.expireLeases(System.nanoTime())) {
            notifyWatches();
        }
    }

    private boolean admit(StandInCall call, String kind, CallRateLimit rateLimit) {
        callCounts.merge(kind, 1L, Long::sum);
        call.withHeader(ERA_HEADER, Long.toString(era));
        if (rateLimit.tryAcquire(System.nanoTime())) {
            return true;
        }
        callCounts.merge("refused", 1L, Long::sum);
        call.replyError(TOO_MANY_REQUESTS, "rate", "over the rate; the call had no effect");
        return false;
    }

    private ObjectNode itemsAnswer(String field, List<KeyValueState.Item> found) {
        ObjectNode answer = StandInJson.object().put("storeRevision", state.revision());
        ArrayNode items = answer.putArray(field);
        found.forEach(item -> items.add(toJson(item)));
        return answer;
    }

    private static ObjectNode toJson(KeyValueState.Item item) {
        ObjectNode json = StandInJson.object().put("key", item.key()).put("revision", item.revision());
        if (item.deleted()) {
            return json.put("removed", true);
        }
        return json.put("value", Base64.getEncoder().encodeToString(item.value()))
                .put("lease", item.lease());
    }

    /** Writes a key unconditionally, as a write by an operator or an endpoint, and notifies watches. */
    public synchronized void put(String key, byte[] value) {
        state.apply(new KeyValueState.Transaction(List.of(), List.of(new KeyValueState.Put(key, value, 0)), List.of()));
        notifyWatches();
    }

    /** Removes a key unconditionally, as a deletion by an operator or an endpoint, and notifies watches. */
    public synchronized void remove(String key) {
        state.apply(new KeyValueState.Transaction(List.of(), List.of(), List.of(key)));
        notifyWatches();
    }

    /** Discards the history of changes. Watches from an earlier revision are answered with 410 from now on. */
    public synchronized void compact() {
        state.compact();
    }

    /** Takes the copy from which {@link #restoreCopy} restores the service. */
    public synchronized void takeCopy() {
        copy = state.copy();
    }

    /** Restores the service from its latest copy, or from its empty start, as the next era; cuts waiting watches. */
    public synchronized void restoreCopy() {
        era++;
        state.restore(copy, System.nanoTime());
        pendingWatches.forEach(watch -> watch.call().closeConnection());
        pendingWatches.clear();
    }

    private synchronized ObjectNode record() {
        ObjectNode record = StandInJson.object();
        record.set("calls_by_kind", StandInJson.tree(callCounts));
        record.put("waiting_watches", pendingWatches.size());
        record.put("revision", state.revision());
        return record;
    }

    private synchronized void applyKnobs(JsonNode knobs) {
        if (knobs.has("writes")) {
            writeFaults = WriteFaults.of(knobs.path("writes"));
        }
        if (knobs.path("copy").asBoolean(false)) {
            takeCopy();
        }
        if (knobs.path("restore").asBoolean(false)) {
            restoreCopy();
        }
        if (knobs.path("compact").asBoolean(false)) {
            compact();
        }
    }
}
