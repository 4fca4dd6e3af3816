package org.yuccagw.standins.engine;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;
import static org.yuccagw.standins.http.TestCaller.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.standins.http.StandInJson;
import org.yuccagw.standins.http.TestCaller;
import org.yuccagw.standins.store.CacheStoreSettings;
import org.yuccagw.standins.store.CacheStoreStandIn;

public class EngineStandInTest {
    private static final String PROMPT = "one two three four five six seven eight ".repeat(40) + "marker-a-1";
    private static final EngineSettings SETTINGS = EngineSettings.usual("engine-1", "model", WeightVersion.of("v1"))
            .withCosts(EngineCosts.usual().faster(10))
            .withLags(new EngineSettings.Lags(Duration.ZERO, Duration.ZERO, 0));

    private EngineStandIn engine;
    private TestCaller caller;

    @BeforeMethod
    public void start() throws Exception {
        engine = EngineStandIn.start(SETTINGS.withCrashMarker("marker-crash").withFencingCheck(true));
        caller = TestCaller.to(engine.address());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        caller.stop();
        engine.stop();
    }

    @Test
    public void aWholeAnswerHasTheExpectedWordsAndItsUsage() throws Exception {
        JsonNode answer = json(complete(PROMPT, 5, false));
        assertEquals(answer.path("choices").get(0).path("text").asText(), EngineStandIn.expectedAnswer(PROMPT, 5));
        assertEquals(answer.path("usage").path("completion_tokens").asLong(), 5);
        assertEquals(answer.path("usage").path("cached_tokens").asLong(), 0);
    }

    @Test
    public void aStreamCarriesNumberedTokensUsageAndAnEndMark() throws Exception {
        SseText answer = SseText.of(complete(PROMPT, 5, true));
        assertEquals(answer.text(), EngineStandIn.expectedAnswer(PROMPT, 5));
        assertEquals(answer.ids(), List.of(1, 2, 3, 4, 5));
        assertTrue(answer.isWhole());
        assertEquals(answer.usage().path("completion_tokens").asLong(), 5);
    }

    @Test
    public void aPromptWithAPartOfTheAnswerGoesOnWithTheSameWords() throws Exception {
        String whole = EngineStandIn.expectedAnswer(PROMPT, 8);
        String part = EngineStandIn.expectedAnswer(PROMPT, 3);
        SseText rest = SseText.of(complete(PROMPT + part, 5, true));
        assertEquals(part + rest.text(), whole);
    }

    @Test
    public void aChatGoesOnWithTheSameWords() throws Exception {
        String whole = EngineStandIn.expectedChatAnswer(PROMPT, 8);
        String part = EngineStandIn.expectedChatAnswer(PROMPT, 3);
        ObjectNode body = StandInJson.object().put("model", "model").put("max_tokens", 5);
        body.put("continue_final_message", true);
        body.putArray("messages")
                .add(StandInJson.object().put("role", "user").put("content", PROMPT))
                .add(StandInJson.object().put("role", "assistant").put("content", part));
        JsonNode answer = json(caller.call("POST", "/v1/chat/completions", body));
        String rest =
                answer.path("choices").get(0).path("message").path("content").asText();
        assertEquals(part + rest, whole);
    }

    @Test
    public void aSecondRunReusesTheBlocksOfItsSaltOnly() throws Exception {
        complete(PROMPT, 1, false);
        assertTrue(cachedTokens(complete(PROMPT, 1, false)) > 300);
        HttpResponse other =
                caller.call("POST", "/v1/completions", body(PROMPT, 1, false).put("cache_salt", "other"));
        assertEquals(cachedTokens(other), 0);
    }

    // The reader's connection ends in the middle. The stream goes on by itself and is read again from where the reader
    // was, whether or not it has finished meanwhile.
    @Test
    public void aStreamIsResumedBehindAnyToken() throws Exception {
        HttpResponse first = complete(PROMPT, 20, true);
        String stream = first.header("X-Stream-Id");
        SseText rest = SseText.of(caller.call("GET", "/v1/streams/" + stream + "?from=15"));
        assertEquals(rest.ids(), List.of(16, 17, 18, 19, 20));
        assertTrue(rest.isWhole());
        assertEquals(engine.runs().size(), 1);
    }

    @Test
    public void aCancelledStreamIsForgottenAndItsReaderCut() throws Exception {
        CompletableFuture<HttpResponse> reading =
                caller.send("POST", "/v1/completions", StandInJson.bytes(body(PROMPT, 100_000, true)));
        await().until(() -> engine.runs().size() == 1);
        String path = "/v1/streams/" + engine.runs().get(0).stream();
        assertEquals(caller.call("DELETE", path).status(), 200);
        expectThrows(ExecutionException.class, () -> reading.get(30, TimeUnit.SECONDS));
        assertEquals(caller.call("GET", path).status(), 404);
        assertEquals(engine.load().running(), 0);
    }

    @Test
    public void refusalsThatSayNotRunLeaveNoRun() throws Exception {
        HttpResponse wrong =
                caller.call("POST", "/v1/completions", body(PROMPT, 1, false).put("weight_version", "v2"));
        assertEquals(wrong.status(), 409);
        engine.setLeaving(true);
        HttpResponse leaving = complete(PROMPT, 1, false);
        assertEquals(leaving.status(), 503);
        assertEquals(json(leaving).path("error").path("code").asText(), "leaving");
        assertEquals(
                caller.call("POST", "/v1/completions", StandInJson.object()).status(), 400);
        assertEquals(engine.runs().size(), 0);
    }

    // One request crashes the engine that runs it: every connection ends, nothing listens any more. What really ran
    // stays to be read at the control address.
    @Test
    public void aCrashMarkerEndsTheEngineOnceItRuns() throws Exception {
        expectThrows(ExecutionException.class, () -> complete(PROMPT + " marker-crash", 5, false));
        expectThrows(ExecutionException.class, () -> complete(PROMPT, 5, false));
        TestCaller control = TestCaller.to(engine.controlAddress());
        JsonNode run = json(control.call("GET", "/record")).path("runs").get(0);
        assertEquals(run.path("markers").get(1).asText(), "marker-crash");
        control.stop();
    }

    @Test
    public void cacheEventsAreLateAndLostOnesLeaveAGap() throws Exception {
        caller.call(
                "POST", "/knobs", StandInJson.object().put("event_lag_ms", 0).put("event_lost_every", 2));
        complete("first " + PROMPT, 1, false);
        complete("second " + PROMPT, 1, false);
        complete("third " + PROMPT, 1, false);
        JsonNode events = json(caller.call("GET", "/v1/cache/events?after=0"));
        assertEquals(events.path("sequence").asLong(), 3);
        assertEquals(events.path("events").findValuesAsText("sequence"), List.of("1", "3"));
        caller.call("POST", "/knobs", StandInJson.object().put("event_lag_ms", 3_600_000));
        assertEquals(
                json(caller.call("GET", "/v1/cache/events?after=0"))
                        .path("events")
                        .size(),
                0);
        JsonNode snapshot = json(caller.call("GET", "/v1/cache/snapshot"));
        assertEquals(snapshot.path("blocks").size(), engine.cached().size());
    }

    @Test
    public void exportedBlocksComeBackByImportAfterEviction() throws Exception {
        CacheStoreStandIn store = CacheStoreStandIn.start(CacheStoreSettings.usual("store-1"));
        complete(PROMPT, 1, false);
        JsonNode exported = export(store);
        int blocks = exported.path("exported").size();
        assertEquals(blocks, engine.cached().size());
        engine.evictAll();
        assertEquals(engine.cached().size(), 0);
        JsonNode imported = json(caller.call("POST", "/v1/cache/import", importOrder(store, exported, 30_000)));
        assertEquals(imported.path("imported").asInt(), blocks);
        assertTrue(cachedTokens(complete(PROMPT, 1, false)) > 300);
        store.stop();
    }

    // The link falls silent in the middle of an import. The answer comes at the deadline and says which blocks are
    // late.
    @Test
    public void anImportEndsAtItsDeadline() throws Exception {
        CacheStoreStandIn store = CacheStoreStandIn.start(CacheStoreSettings.usual("store-1"));
        complete(PROMPT, 1, false);
        JsonNode exported = export(store);
        engine.evictAll();
        TestCaller toStore = TestCaller.to(store.address());
        toStore.call(
                "POST",
                "/knobs",
                StandInJson.object().set("reads", StandInJson.object().put("silent", 1)));
        JsonNode imported = json(caller.call("POST", "/v1/cache/import", importOrder(store, exported, 500)));
        assertEquals(imported.path("failed").findValuesAsText("reason"), List.of("late"));
        toStore.call(
                "POST",
                "/knobs",
                StandInJson.object().set("reads", StandInJson.object().put("damaged", 1)));
        engine.evictAll();
        imported = json(caller.call("POST", "/v1/cache/import", importOrder(store, exported, 30_000)));
        assertEquals(imported.path("failed").findValuesAsText("reason"), List.of("damaged"));
        assertEquals(engine.wrongBytesCommitted(), 0);
        toStore.stop();
        store.stop();
    }

    @Test
    public void anOrderWithAnOldFencingNumberIsRefusedByAnEngineThatChecks() throws Exception {
        assertEquals(order("load_version", "v2", 7).status(), 200);
        await().until(() -> state().path("version").asText().equals("v2"));
        HttpResponse stale = order("load_version", "v1", 6);
        assertEquals(json(stale).path("error").path("code").asText(), "stale_fencing");
        assertEquals(state().path("fencing").asLong(), 7);
        assertEquals(engine.cached().size(), 0);
    }

    @Test
    public void oneOrderAtATimeAndNoNewWorkWhileLoading() throws Exception {
        engine.stop();
        engine = EngineStandIn.start(SETTINGS.withLoadTime(Duration.ofMinutes(10)));
        caller = TestCaller.to(engine.address());
        assertEquals(order("load_adapter", "a", 1).status(), 200);
        HttpResponse busy = order("change_role", "prefill", 2);
        assertEquals(json(busy).path("error").path("code").asText(), "busy");
        assertEquals(complete(PROMPT, 1, false).status(), 503);
    }

    private JsonNode state() throws Exception {
        return json(caller.call("GET", "/v1/state"));
    }

    private HttpResponse order(String order, String value, long fencing) throws Exception {
        return caller.call(
                "POST",
                "/v1/orders",
                StandInJson.object().put("order", order).put("value", value).put("fencing", fencing));
    }

    private JsonNode export(CacheStoreStandIn store) throws Exception {
        ObjectNode order =
                StandInJson.object().put("store", store.address().toString()).put("writer", "w");
        order.set(
                "blocks",
                StandInJson.tree(engine.cached().stream().map(Object::toString).toList()));
        return json(caller.call("POST", "/v1/cache/export", order));
    }

    private static ObjectNode importOrder(CacheStoreStandIn store, JsonNode exported, long deadline) {
        ObjectNode order = StandInJson.object().put("store", store.address().toString());
        order.put("version", "v1").put("deadline", deadline).set("blocks", exported.path("exported"));
        return order;
    }

    private static long cachedTokens(HttpResponse answer) {
        return json(answer).path("usage").path("cached_tokens").asLong();
    }

    private HttpResponse complete(String prompt, int tokens, boolean stream) throws Exception {
        return caller.call("POST", "/v1/completions", body(prompt, tokens, stream));
    }

    private static ObjectNode body(String prompt, int tokens, boolean stream) {
        return StandInJson.object()
                .put("model", "model")
                .put("prompt", prompt)
                .put("max_tokens", tokens)
                .put("stream", stream)
                .put("cache_salt", "salt");
    }
}
