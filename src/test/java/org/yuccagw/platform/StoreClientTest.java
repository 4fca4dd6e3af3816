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

/** Tests the client of managed cache stores over a socket, against a stand-in that stores a few parts. */
public class StoreClientTest {
    private static final long TIMEOUT_SECONDS = 60;
    private static final int CONFLICT = 409;
    private static final Duration SHORT_POLL_WAIT = Duration.ofMillis(200);
    private static final Duration LONG_POLL_WAIT = Duration.ofSeconds(TIMEOUT_SECONDS);

    private final LinkedBlockingQueue<ControlEvent> answers = new LinkedBlockingQueue<>();
    private final Map<PartName, Integer> storedParts = new LinkedHashMap<>();
    private final Map<PartName, Integer> incompleteParts = new LinkedHashMap<>();
    private long epoch;
    private StandInServer server;
    private HttpClient httpClient;
    private StoreClient client;
    private CacheStore store;

    @BeforeMethod
    public void startTheStore() throws IOException {
        answers.clear();
        storedParts.clear();
        incompleteParts.clear();
        epoch = 7;
        storedParts.put(new PartName("s.1", "aa"), 800);
        storedParts.put(new PartName("s.2", "bb"), 410);
        incompleteParts.put(new PartName("s.1", "cc"), 128);
        server = StandInServer.create("store")
                .on("GET", "/kv-events", this::replyWithEvents)
                .on("GET", "/kv-list", call -> call.reply(listBody()))
                .on("POST", "/kv-free", this::freeParts)
                .listen(0);
        httpClient = HttpClient.start(1);
        client = StoreClient.of(httpClient);
        store = new CacheStore(
                StoreId.of("store"), server.address(), FailureDomain.of("a"), 10_000, 1_000, 12, true, 1);
    }

    @AfterMethod(alwaysRun = true)
    public void stopAll() {
        httpClient.stop();
        server.stop();
    }

    @Test
    public void eventsContainPartsEpochAndClock() throws Exception {
        ControlEvent answer = perform(new StoreCall.PollChanges(store, 118, LONG_POLL_WAIT));
        assertTrue(answer instanceof StoreAnswer.Changes, "answer: " + answer);
        StoreAnswer.Changes changes = (StoreAnswer.Changes) answer;
        assertEquals(changes.epoch(), 7);
        assertEquals(changes.next(), 120);
        assertEquals(changes.clockMillis(), 55_000);
        assertEquals(
                changes.changes(),
                ImmutableList.of(
                        new Change(true, "s.2", "bb", 410, "model"), new Change(false, "s.1", "dd", 0, "model")));
    }

    // Guards against following a store no further after one of its answers was lost.
    @Test
    public void aPollThatIsNotAnsweredWithinItsWaitIsReportedAsSuch() throws Exception {
        server.injectFaults(new ServiceFaults(false, true, 0));
        ControlEvent answer = perform(new StoreCall.PollChanges(store, 118, SHORT_POLL_WAIT));
        assertTrue(answer instanceof StoreAnswer.Unanswered, "answer: " + answer);
    }

    @Test
    public void theContentsOfAStoreAreItsCompleteAndItsPartialParts() throws Exception {
        StoreAnswer.Inspected inspected = (StoreAnswer.Inspected) perform(new StoreCall.Inspect(store));
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
    public void onlyTheNamedPartsAreFreed() throws Exception {
        ImmutableList<PartName> unusedParts = ImmutableList.of(new PartName("s.1", "aa"), new PartName("s.1", "cc"));
        assertTrue(((StoreAnswer.Freed) perform(new StoreCall.FreeParts(store, 7, unusedParts))).done());
        assertEquals(storedParts.keySet(), Set.of(new PartName("s.2", "bb")));
        assertTrue(incompleteParts.isEmpty());
    }

    // The store restarts between the inspection and the call that frees parts. Its present contents were saved after
    // the
    // restart, and an engine may be reading them.
    @Test
    public void noPartIsFreedInAStoreThatHasRestarted() throws Exception {
        epoch = 8;
        ImmutableList<PartName> unusedParts = ImmutableList.of(new PartName("s.1", "aa"));
        assertFalse(((StoreAnswer.Freed) perform(new StoreCall.FreeParts(store, 7, unusedParts))).done());
        assertEquals(storedParts.size(), 2);
    }

    @Test
    public void anUnreachableStoreIsReportedAsSuch() throws Exception {
        server.injectFaults(new ServiceFaults(true, false, 0));
        assertTrue(((StoreAnswer.Inspected) perform(new StoreCall.Inspect(store)))
                .contents()
                .isEmpty());
        assertFalse(((StoreAnswer.Freed) perform(new StoreCall.FreeParts(store, 7, ImmutableList.of()))).done());
    }

    private ControlEvent perform(StoreCall call) throws InterruptedException {
        assertTrue(client.perform(call, answers::add));
        return answers.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    // ---- Stand-in for the store

    private void replyWithEvents(StandInCall call) {
        assertEquals(call.parameter("since").orElseThrow(), "118");
        assertEquals(call.header("Wait-Ms"), Long.toString(LONG_POLL_WAIT.toMillis()));
        ObjectNode body = StandInJson.object();
        body.put("bootEpoch", epoch).put("nextToken", 120).put("lost", false).put("clock_ms", 55_000);
        ArrayNode events = body.putArray("events");
        events.addArray().add(119).add("+").add("s.2").add("bb").add(410).add("model");
        events.addArray().add(120).add("-").add("s.1").add("dd").add(0).add("model");
        call.reply(body);
    }

    private ObjectNode listBody() {
        ObjectNode body = StandInJson.object();
        body.put("bootEpoch", epoch).put("nextToken", 120);
        ArrayNode completeParts = body.putArray("held");
        storedParts.forEach((name, tokens) -> completeParts
                .addArray()
                .add(name.salt())
                .add(name.part())
                .add(tokens)
                .add("model"));
        ArrayNode partialParts = body.putArray("partial");
        incompleteParts.forEach((name, tokens) -> partialParts
                .addArray()
                .add(name.salt())
                .add(name.part())
                .add(tokens)
                .add(2 * tokens));
        return body;
    }

    private void freeParts(StandInCall call) {
        JsonNode request = call.json();
        if (request.path("bootEpoch").asLong() != epoch) {
            call.replyError(CONFLICT, "restarted", "another epoch");
            return;
        }
        for (JsonNode part : request.path("parts")) {
            PartName name = new PartName(part.path(0).asText(), part.path(1).asText());
            storedParts.remove(name);
            incompleteParts.remove(name);
        }
        call.reply(StandInJson.object());
    }
}
