package org.yuccagw.standins.keyvalue;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;
import static org.yuccagw.standins.http.TestCaller.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.standins.http.ServiceFaults;
import org.yuccagw.standins.http.StandInJson;
import org.yuccagw.standins.http.TestCaller;

public class KeyValueStandInTest {
    private static final byte[] VALUE = "value".getBytes(StandardCharsets.UTF_8);

    private KeyValueStandIn service;
    private TestCaller caller;

    @BeforeMethod
    public void start() throws Exception {
        service = KeyValueStandIn.start(KeyValueSettings.defaults());
        caller = TestCaller.to(service.address());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        caller.stop();
        service.stop();
    }

    @Test
    public void aWriteTakesEffectOnlyAtTheExpectedRevision() throws Exception {
        assertEquals(put("a", 0).status(), 200);
        HttpResponse conflict = put("a", 0);
        assertEquals(conflict.status(), 412);
        assertEquals(json(conflict).path("items").get(0).path("revision").asLong(), 1);
        assertEquals(put("a", 1).status(), 200);
        assertEquals(json(caller.call("GET", "/kv-key?key=a")).path("revision").asLong(), 2);
    }

    @Test
    public void aRestoredServiceGrantsRevisionsAndLeasesAgainInALaterEra() throws Exception {
        put("a", 0);
        service.takeCopy();
        HttpResponse lost = put("b", 0);
        long lease = grantedLease();
        service.restoreCopy();
        HttpResponse written = put("c", 0);
        assertEquals(json(written).path("revision"), json(lost).path("revision"));
        assertEquals(Long.parseLong(written.header("Store-Era")), Long.parseLong(lost.header("Store-Era")) + 1);
        assertEquals(caller.call("GET", "/kv-key?key=b").status(), 404);
        assertEquals(grantedLease(), lease);
        assertEquals(
                caller.call("GET", "/kv-watch?pathPrefix=&after=9&waitMs=10").status(), 410);
    }

    private long grantedLease() throws Exception {
        return json(caller.call("POST", "/kv-lease", StandInJson.object().put("ttlMs", 5000)))
                .path("lease")
                .asLong();
    }

    @Test
    public void aPrefixReadReturnsItsKeysInOrder() throws Exception {
        put("b/2", 0);
        put("b/1", 0);
        put("c", 0);
        assertEquals(items("b/").findValuesAsText("key"), java.util.List.of("b/1", "b/2"));
    }

    @Test
    public void aValueOverTheSizeLimitIsRejected() throws Exception {
        assertEquals(put("a", 0, new byte[1 << 20], 0).status(), 200);
        assertEquals(put("b", 0, new byte[(1 << 20) + 1], 0).status(), 413);
    }

    @Test
    public void keysAreRemovedWithTheirExpiredLeaseAndReportedToWatches() throws Exception {
        long lease = json(caller.call("POST", "/kv-lease", StandInJson.object().put("ttlMs", 150)))
                .path("lease")
                .asLong();
        long written = json(put("l/a", 0, VALUE, lease)).path("revision").asLong();
        JsonNode answer = json(caller.call("GET", "/kv-watch?pathPrefix=l/&after=" + written + "&waitMs=30000"));
        assertTrue(answer.path("events").get(0).path("removed").asBoolean());
        assertEquals(caller.call("GET", "/kv-key?key=l/a").status(), 404);
        assertEquals(
                caller.call("POST", "/kv-keep/" + lease, StandInJson.object()).status(), 404);
    }

    @Test
    public void aWatchWaitsForAChangeUnderItsPrefix() throws Exception {
        CompletableFuture<HttpResponse> watch =
                caller.send("GET", "/kv-watch?pathPrefix=a&after=0&waitMs=30000", new byte[0]);
        put("b", 0);
        assertFalse(watch.isDone());
        put("a", 0);
        JsonNode answer = json(watch.get(30, TimeUnit.SECONDS));
        assertEquals(answer.path("events").findValuesAsText("key"), java.util.List.of("a"));
    }

    @Test
    public void aWatchWithoutChangesEndsWithAnEmptyAnswer() throws Exception {
        JsonNode answer = json(caller.call("GET", "/kv-watch?pathPrefix=a&after=0&waitMs=50"));
        assertEquals(answer.path("events").size(), 0);
    }

    @Test
    public void callsOverTheRateLimitAreRejectedAndCounted() throws Exception {
        stop();
        service = KeyValueStandIn.start(KeyValueSettings.defaults().withRates(0.01, 0));
        caller = TestCaller.to(service.address());
        assertEquals(put("a", 0).status(), 200);
        assertEquals(put("b", 0).status(), 429);
        assertEquals(service.callsByKind().get("write"), Long.valueOf(2));
        assertEquals(service.callsByKind().get("refused"), Long.valueOf(1));
    }

    // Guards against a wrong fault: the connection closes before the answer, although the write took effect, so that
    // the
    // outcome is unknown to the caller.
    @Test
    public void anInjectedFaultDropsTheAnswerOfAWriteThatTookEffect() throws Exception {
        service.injectFaults(WriteFaults.dropAnswers("a", 1));
        expectThrows(ExecutionException.class, () -> put("a", 0));
        assertEquals(items("a").size(), 1);
        assertEquals(put("a", 1).status(), 200);
    }

    // A delayed write arrives after a later write was accepted. Its condition must be checked against the state at the
    // time of its effect, so that it fails instead of overwriting the later write.
    @Test
    public void aDelayedWriteIsCheckedAgainstTheRevisionAtTheTimeOfItsEffect() throws Exception {
        service.injectFaults(WriteFaults.delays("a", 1, 300));
        CompletableFuture<HttpResponse> delayed =
                caller.send("POST", "/kv-txn", StandInJson.bytes(transaction("a", 0, VALUE, 0)));
        await().until(() -> service.callsByKind().getOrDefault("write", 0L) == 1);
        assertEquals(put("a", 0).status(), 200);
        assertEquals(delayed.get(30, TimeUnit.SECONDS).status(), 412);
    }

    @Test
    public void theRecordIsAnsweredWhileTheServiceIsDown() throws Exception {
        service.injectFaults(new ServiceFaults(true, false, 0));
        expectThrows(ExecutionException.class, () -> put("a", 0));
        JsonNode record = json(caller.call("GET", "/record"));
        assertEquals(record.path("revision").asLong(), 0);
        assertEquals(
                caller.call("POST", "/knobs", StandInJson.object().put("down", false))
                        .status(),
                200);
        assertEquals(put("a", 0).status(), 200);
    }

    // A watcher was disconnected for longer than the service keeps its history. Without the error it would continue
    // with
    // keys that have been removed.
    @Test
    public void aWatchFromBeforeTheRetainedHistoryFails() throws Exception {
        put("a", 0);
        put("a", 1);
        service.compact();
        assertEquals(
                caller.call("GET", "/kv-watch?pathPrefix=a&after=1&waitMs=50").status(), 410);
        assertEquals(
                caller.call("GET", "/kv-watch?pathPrefix=a&after=2&waitMs=50").status(), 200);
    }

    @Test
    public void aTransactionWithOneFailedConditionChangesNothing() throws Exception {
        put("a", 0);
        ObjectNode both = transaction("b", 0, VALUE, 0);
        both.withArray("expected").addObject().put("key", "a").put("revision", 7);
        assertEquals(caller.call("POST", "/kv-txn", both).status(), 412);
        assertEquals(items("b").size(), 0);
    }

    private HttpResponse put(String key, long revision) throws Exception {
        return put(key, revision, VALUE, 0);
    }

    private HttpResponse put(String key, long revision, byte[] value, long lease) throws Exception {
        return caller.call("POST", "/kv-txn", transaction(key, revision, value, lease));
    }

    private static ObjectNode transaction(String key, long revision, byte[] value, long lease) {
        ObjectNode body = StandInJson.object();
        body.putArray("expected").addObject().put("key", key).put("revision", revision);
        body.putArray("puts")
                .addObject()
                .put("key", key)
                .put("value", Base64.getEncoder().encodeToString(value))
                .put("lease", lease);
        body.putArray("deletes");
        return body;
    }

    private JsonNode items(String prefix) throws Exception {
        return json(caller.call("GET", "/kv-range?pathPrefix=" + prefix)).path("items");
    }
}
