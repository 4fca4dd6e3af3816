package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.bench.local.LocalCatalogue;
import org.yuccagw.bench.local.LocalDeployment;
import org.yuccagw.bench.local.LocalPlan;
import org.yuccagw.client.ClientSettings;
import org.yuccagw.client.CompletionRequest;
import org.yuccagw.client.CompletionAnswer;
import org.yuccagw.client.YuccagwClient;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.IdempotencyKey;
import org.yuccagw.standins.engine.EngineStandIn;

public class EndToEndTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String KEY = LocalCatalogue.workspaceKey("statistics");

    private LocalDeployment deployment;
    private YuccagwClient client;

    @BeforeClass
    public void start() throws Exception {
        deployment = LocalDeployment.start(LocalPlan.usual());
        client = YuccagwClient.start(ClientSettings.of(deployment.callerAddresses(), KEY));
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        if (client != null) {
            client.stop();
        }
        if (deployment != null) {
            deployment.stop();
        }
    }

    @Test
    public void theDirectoryNamesEveryEntry() throws Exception {
        HttpResponse answer =
                deployment.send(HttpQuery.get(deployment.callerAddresses().get(0), "/v1/directory"));
        JsonNode directory = JSON.readTree(answer.body());
        assertEquals(directory.path("entries").size(), 3, answer.text());
        assertTrue(directory.path("ttl_ms").asLong() > 0, answer.text());
    }

    @Test
    public void aStreamedAnswerArrivesWhole() throws Exception {
        String prompt = "Explain cell 7 of the notebook. ".repeat(20);
        StringBuilder streamed = new StringBuilder();
        CompletionAnswer answer =
                client.complete(CompletionRequest.of(LocalCatalogue.MODEL, prompt).withMaxTokens(20), streamed::append);
        assertEquals(answer.text(), EngineStandIn.expectedAnswer(prompt, 20));
        assertEquals(streamed.toString(), answer.text());
        assertEquals(answer.answerTokens(), 20);
    }

    @Test
    public void aWholeAnswerHasTheShapeOfCompletions() throws Exception {
        HttpResponse answer = deployment.send(
                post("/v1/completions", "{\"model\":\"assistant\",\"prompt\":\"label me\"," + "\"max_tokens\":5}"));
        assertEquals(answer.status(), 200, answer.text());
        JsonNode body = JSON.readTree(answer.body());
        assertEquals(body.path("choices").path(0).path("text").asText(), EngineStandIn.expectedAnswer("label me", 5));
        assertEquals(body.path("usage").path("completion_tokens").asInt(), 5);
    }

    @Test
    public void aChatAnswerHasTheShapeOfChatCompletions() throws Exception {
        HttpResponse answer = deployment.send(post(
                "/v1/chat/completions",
                "{\"model\":\"assistant\",\"max_tokens\":5,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}"));
        assertEquals(answer.status(), 200, answer.text());
        assertEquals(
                JSON.readTree(answer.body())
                        .path("choices")
                        .path(0)
                        .path("message")
                        .path("content")
                        .asText(),
                EngineStandIn.expectedChatAnswer("hello", 5));
    }

    @Test
    public void aPlainServiceIsReachedThroughTheSameEntry() throws Exception {
        HttpResponse answer =
                deployment.send(HttpQuery.get(deployment.callerAddresses().get(1), "/notebook/preview?x=1")
                        .withHeader("Authorization", "Bearer " + KEY));
        assertEquals(answer.status(), 200, answer.text());
    }

    @Test
    public void aNonIdempotentCallWithoutAKeyIsRefusedAsNotRun() throws Exception {
        HttpResponse answer = deployment.send(post("/notebook/label", "{}"));
        assertEquals(answer.status(), 400, answer.text());
        assertEquals(JSON.readTree(answer.body()).path("error").path("ran").asText(), "not-run");
    }

    @Test
    public void aRepeatedKeyGetsTheKeptAnswerAndRunsOnce() throws Exception {
        HttpQuery label = post("/notebook/label", "{\"column\":\"age\"}").withHeader("Idempotency-Key", "label-1");
        HttpResponse first = deployment.send(label);
        HttpResponse second = deployment.send(label);
        assertEquals(first.status(), 200, first.text());
        assertEquals(second.text(), first.text());
        assertEquals(second.header("Idempotent-Replayed"), "true", second.text());
        long runs = deployment.plain().calls().stream()
                .filter(call -> call.toString().contains("label-1"))
                .count();
        assertEquals(runs, 1);
    }

    @Test
    public void aKeyedCompletionRunsOnceForTheClientLibrary() throws Exception {
        IdempotencyKey key = YuccagwClient.newKey();
        CompletionRequest once = CompletionRequest.of(LocalCatalogue.MODEL, "call the referee")
                .withMaxTokens(4)
                .once(key);
        CompletionAnswer first = client.complete(once, piece -> {});
        CompletionAnswer second = client.complete(once, piece -> {});
        assertEquals(second.text(), first.text());
    }

    // A prompt goes away long enough for its blocks to be evicted from every engine. When it returns, they come from a
    // store: the engine reports most of the prompt as reused.
    @Test
    public void aPromptThatReturnsAfterEvictionIsMostlyReused() throws Exception {
        String prompt = "The whole notebook context of the budget tables. ".repeat(100);
        CompletionRequest question = CompletionRequest.of(LocalCatalogue.MODEL, prompt).withMaxTokens(4);
        client.complete(question, piece -> {});
        client.complete(question, piece -> {});
        long wholeBlocks = prompt.length() / 64 * 1024L;
        boolean exported = LocalDeployment.await(
                () -> deployment.stores().stream().anyMatch(store -> store.writtenBytes() >= wholeBlocks));
        assertTrue(exported, "nothing was exported");
        deployment.engines().forEach(EngineStandIn::evictAll);
        long readBefore = storeBytesRead();
        Awaitility.await()
                .atMost(Duration.ofSeconds(60))
                .pollDelay(Duration.ofSeconds(4))
                .pollInterval(Duration.ofSeconds(4))
                .until(() -> returnsReused(question));
        assertTrue(storeBytesRead() > readBefore, "the blocks came from no store");
    }

    /** Asked at intervals over the lag of cache events: an entry that hasn't heard of the eviction imports nothing. */
    private boolean returnsReused(CompletionRequest question) throws YuccagwException {
        CompletionAnswer answer = client.complete(question, piece -> {});
        boolean mostly = answer.cachedTokens() > answer.promptTokens() * 3 / 4 && storeBytesRead() > 0;
        deployment.engines().forEach(EngineStandIn::evictAll);
        return mostly;
    }

    private long storeBytesRead() {
        return deployment.stores().stream()
                .mapToLong(store -> store.readBytes())
                .sum();
    }

    private HttpQuery post(String path, String body) {
        return HttpQuery.json("POST", deployment.callerAddresses().get(0), path, body)
                .withHeader("Authorization", "Bearer " + KEY);
    }
}
