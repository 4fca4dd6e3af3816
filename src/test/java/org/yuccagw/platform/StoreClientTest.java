package org.yuccagw.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.deployment.CacheStore;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.StoreId;
import org.yuccagw.core.stores.PartName;
import org.yuccagw.core.stores.StoreAnswer;
import org.yuccagw.core.stores.StoreAnswer.Change;
import org.yuccagw.core.stores.StoreCall;
import org.yuccagw.standins.http.ServiceFaults;
import org.yuccagw.standins.http.StandInCall;
import org.yuccagw.standins.http.StandInJson;
import org.yuccagw.standins.http.StandInServer;

/** The calls to a managed cache store over a real socket, against a store that holds a few parts. */
public class StoreClientTest {
    private static final long LONG_SECONDS = 60;
    private static final int CONFLICT = 409;

    private final LinkedBlockingQueue<ControlEvent> answers = new LinkedBlockingQueue<>();
    private final Map<PartName, Integer> held = new LinkedHashMap<>();
    private final Map<PartName, Integer> partial = new LinkedHashMap<>();
    private long epoch;
    private StandInServer server;
    private HttpClient caller;
    private StoreClient calls;
    private CacheStore store;

    @BeforeMethod
    public void startTheStore() throws IOException {
        answers.clear();
        held.clear();
        partial.clear();
        epoch = 7;
        held.put(new PartName("s.1", "aa"), 800);
        held.put(new PartName("s.2", "bb"), 410);
        partial.put(new PartName("s.1", "cc"), 128);
        server = StandInServer.create("store")
                .on("GET", "/kv-events", this::tellEvents)
                .on("GET", "/kv-list", call -> call.reply(list()))
                .on("POST", "/kv-free", this::free)
                .listen(0);
        caller = HttpClient.start(1);
        calls = StoreClient.of(caller);
        store = new CacheStore(
                StoreId.of("store"), server.address(), FailureDomain.of("a"), 10_000, 1_000, 12, true, 1);
    }

    @AfterMethod(alwaysRun = true)
    public void stopAll() {
        caller.stop();
        server.stop();
    }

    @Test
    public void eventsTellPartsEpochAndClock() throws Exception {
        StoreAnswer.Changes changes =
                (StoreAnswer.Changes) ask(new StoreCall.AskChanges(store, 118, Duration.ofMillis(200)));
        assertEquals(changes.epoch(), 7);
        assertEquals(changes.next(), 120);
        assertEquals(changes.clockMillis(), 55_000);
        assertEquals(
                changes.changes(),
                ImmutableList.of(
                        new Change(true, "s.2", "bb", 410, "model"), new Change(false, "s.1", "dd", 0, "model")));
    }

    @Test
    public void whatFillsAStoreIsItsWholeAndItsPartialParts() throws Exception {
        StoreAnswer.Inspected inspected = (StoreAnswer.Inspected) ask(new StoreCall.Inspect(store));
        assertEquals(
                inspected.contents().orElseThrow(),
                new StoreAnswer.Contents(
                        7,
                        ImmutableList.of(
                                new Change(true, "s.1", "aa", 800, "model"),
                                new Change(true, "s.2", "bb", 410, "model")),
                        ImmutableList.of(new PartName("s.1", "cc"))));
    }

    @Test
    public void partsThatAreNamedAreFreedAndNoOthers() throws Exception {
        ImmutableList<PartName> useless = ImmutableList.of(new PartName("s.1", "aa"), new PartName("s.1", "cc"));
        assertTrue(((StoreAnswer.Freed) ask(new StoreCall.FreeParts(store, 7, useless))).done());
        assertEquals(held.keySet(), Set.of(new PartName("s.2", "bb")));
        assertTrue(partial.isEmpty());
    }

    // The store restarts between the look at it and the call that frees. What lies there now was saved since, and an
    // engine may be reading it.
    @Test
    public void nothingIsFreedInAStoreThatHasRestarted() throws Exception {
        epoch = 8;
        ImmutableList<PartName> useless = ImmutableList.of(new PartName("s.1", "aa"));
        assertFalse(((StoreAnswer.Freed) ask(new StoreCall.FreeParts(store, 7, useless))).done());
        assertEquals(held.size(), 2);
    }

    @Test
    public void aStoreThatIsAwayIsToldAsSuch() throws Exception {
        server.order(new ServiceFaults(true, false, 0));
        assertTrue(((StoreAnswer.Inspected) ask(new StoreCall.Inspect(store)))
                .contents()
                .isEmpty());
        assertFalse(((StoreAnswer.Freed) ask(new StoreCall.FreeParts(store, 7, ImmutableList.of()))).done());
    }

    private ControlEvent ask(StoreCall call) throws InterruptedException {
        assertTrue(calls.perform(call, answers::add));
        return answers.poll(LONG_SECONDS, TimeUnit.SECONDS);
    }

    // ---- The store.

    private void tellEvents(StandInCall call) {
        assertEquals(call.parameter("since").orElseThrow(), "118");
        assertEquals(call.header("Wait-Ms"), "200");
        ObjectNode body = StandInJson.object();
        body.put("bootEpoch", epoch).put("nextToken", 120).put("lost", false).put("clock_ms", 55_000);
        ArrayNode events = body.putArray("events");
        events.addArray().add(119).add("+").add("s.2").add("bb").add(410).add("model");
        events.addArray().add(120).add("-").add("s.1").add("dd").add(0).add("model");
        call.reply(body);
    }

    private ObjectNode list() {
        ObjectNode body = StandInJson.object();
        body.put("bootEpoch", epoch).put("nextToken", 120);
        ArrayNode whole = body.putArray("held");
        held.forEach((name, tokens) ->
                whole.addArray().add(name.salt()).add(name.part()).add(tokens).add("model"));
        ArrayNode broken = body.putArray("partial");
        partial.forEach((name, tokens) ->
                broken.addArray().add(name.salt()).add(name.part()).add(tokens).add(2 * tokens));
        return body;
    }

    private void free(StandInCall call) {
        JsonNode asked = call.json();
        if (asked.path("bootEpoch").asLong() != epoch) {
            call.replyError(CONFLICT, "restarted", "another epoch");
            return;
        }
        for (JsonNode part : asked.path("parts")) {
            PartName name = new PartName(part.path(0).asText(), part.path(1).asText());
            held.remove(name);
            partial.remove(name);
        }
        call.reply(StandInJson.object());
    }
}
