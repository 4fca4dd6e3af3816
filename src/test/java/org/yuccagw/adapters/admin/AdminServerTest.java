package org.yuccagw.adapters.admin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.core.membership.StopRequested;

public class AdminServerTest {
    private static final int TIMEOUT_SECONDS = 30;

    private AdminFixture fixture;
    private HttpClient httpClient;
    private String sample;

    @BeforeClass
    public void start() throws Exception {
        fixture = AdminFixture.start();
        httpClient = HttpClient.start(1);
        sample = Files.readString(Path.of("config/samples/catalogue.json"));
    }

    @BeforeMethod
    public void useTheSampleCatalogue() throws Exception {
        fixture.useSampleCatalogue(3);
        fixture.setReady(true);
        fixture.offered().clear();
    }

    @AfterClass
    public void stop() {
        httpClient.stop();
        fixture.stop();
    }

    @DataProvider
    public Object[][] operatorCalls() {
        return new Object[][] {
            {"GET", "/admin/catalogue"},
            {"PUT", "/admin/catalogue?edit=e"},
            {"GET", "/admin/history"},
            {"GET", "/admin/status"},
            {"GET", "/admin/endpoints"},
            {"GET", "/admin/stores"},
            {"GET", "/admin/shards"},
            {"POST", "/admin/drain"},
            {"GET", "/admin/trace/" + AdminFixture.REQUEST}
        };
    }

    @Test(dataProvider = "operatorCalls")
    public void everyOperatorCallNeedsAValidKey(String method, String path) throws Exception {
        HttpRequest query = HttpRequest.json(method, fixture.address(), path, sample);
        assertEquals(send(query).status(), 401);
        assertEquals(send(withKey(query, "guess")).status(), 403);
        assertEquals(send(withKey(query, AdminFixture.BOOTSTRAP_KEY)).status(), 403);
        assertEquals(fixture.offered().size(), 0);
    }

    @Test
    public void theBootstrapKeyAppliesTheFirstCatalogueOnly() throws Exception {
        fixture.removeCatalogue();
        HttpRequest put = HttpRequest.json("PUT", fixture.address(), "/admin/catalogue?edit=e1", sample);
        assertEquals(send(withKey(put, AdminFixture.OPERATOR_KEY)).status(), 403);
        HttpResponse first = send(withKey(put, AdminFixture.BOOTSTRAP_KEY));
        assertEquals(json(first).path("revision").asLong(), 1);
        assertEquals(send(withKey(put, AdminFixture.BOOTSTRAP_KEY)).status(), 403);
    }

    @Test
    public void anEditOfAnEarlierRevisionIsAConflictThatNamesTheFields() throws Exception {
        HttpResponse answer = put(sample);
        assertEquals(answer.status(), 409);
        assertTrue(answer.text().contains("services/assistant/owner"), answer.text());
    }

    @Test
    public void aCatalogueCanBeReadChangedAndWrittenBack() throws Exception {
        String document = get("/admin/catalogue").text();
        HttpResponse answer = put(document.replace("assistant@example.org", "other@example.org"));
        assertEquals(json(answer).path("revision").asLong(), 4);
        assertTrue(get("/admin/catalogue").text().contains("other@example.org"));
    }

    @Test
    public void anInvalidCatalogueIsRejectedBeforeItReachesTheCore() throws Exception {
        HttpResponse answer = put(sample.replace("\"shards\"", "\"shadrs\""));
        assertEquals(answer.status(), 422);
        assertTrue(answer.text().contains("did you mean 'shards'"), answer.text());
        assertEquals(fixture.offered().size(), 0);
    }

    @Test
    public void aBodyOverTheLimitIsRejected() throws Exception {
        assertEquals(put(" ".repeat(3_000_000)).status(), 413);
    }

    @Test
    public void anEntryThatIsNotReadyReportsTheReason() throws Exception {
        assertEquals(send(HttpRequest.get(fixture.address(), "/readyz")).status(), 200);
        fixture.setReady(false);
        HttpResponse answer = send(HttpRequest.get(fixture.address(), "/readyz"));
        assertEquals(answer.status(), 503);
        assertEquals(json(answer).path("reason").asText(), "has no catalogue");
        assertEquals(send(HttpRequest.get(fixture.address(), "/healthz")).status(), 200);
    }

    @Test
    public void metricsAreReadWithoutAKey() throws Exception {
        HttpResponse answer = send(HttpRequest.get(fixture.address(), "/metrics"));
        assertEquals(answer.status(), 200);
        assertTrue(answer.text().contains("jvm_memory_used_bytes"));
    }

    @Test
    public void aDrainRequestsAGracefulStop() throws Exception {
        HttpRequest drain = HttpRequest.of("POST", fixture.address(), "/admin/drain");
        assertEquals(send(withKey(drain, AdminFixture.OPERATOR_KEY)).status(), 200);
        assertTrue(fixture.offered().get(0) instanceof StopRequested);
    }

    @Test
    public void aRecentRequestIsTracedAndAnUnknownOneRejected() throws Exception {
        JsonNode trace = json(get("/admin/trace/" + AdminFixture.REQUEST));
        assertEquals(trace.path("hops").path(0).path("name").asText(), "request");
        assertEquals(get("/admin/trace/ffff").status(), 404);
    }

    @Test
    public void anUnknownPathIsAnsweredWithAnErrorDocument() throws Exception {
        HttpResponse answer = get("/nothing");
        assertEquals(answer.status(), 404);
        assertEquals(json(answer).path("error").path("code").asText(), "unknown_path");
    }

    private HttpResponse get(String path) throws Exception {
        return send(withKey(HttpRequest.get(fixture.address(), path), AdminFixture.OPERATOR_KEY));
    }

    private HttpResponse put(String document) throws Exception {
        HttpRequest query = HttpRequest.json("PUT", fixture.address(), "/admin/catalogue?edit=e2", document);
        return send(withKey(query, AdminFixture.OPERATOR_KEY));
    }

    private HttpResponse send(HttpRequest query) throws Exception {
        return httpClient.send(query).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static HttpRequest withKey(HttpRequest query, String key) {
        return query.withHeader("Authorization", "Bearer " + key);
    }

    private static JsonNode json(HttpResponse answer) throws Exception {
        return new ObjectMapper().readTree(answer.text());
    }
}
