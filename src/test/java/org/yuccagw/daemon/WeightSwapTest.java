package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.bench.local.LocalCatalogue;
import org.yuccagw.bench.local.LocalDeployment;
import org.yuccagw.bench.local.LocalPlan;
import org.yuccagw.core.id.NetworkAddress;

public class WeightSwapTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String OPERATOR_AUTHORIZATION = "Bearer " + LocalCatalogue.OPERATOR_KEY;
    private static final String COMPLETION_BODY = "{\"model\":\"assistant\",\"prompt\":\"hello\",\"max_tokens\":2}";

    private LocalDeployment deployment;

    @BeforeClass
    public void start() throws Exception {
        deployment = LocalDeployment.start(LocalPlan.usual());
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        if (deployment != null) {
            deployment.stop();
        }
    }

    // An operator names another weight version while callers continue to send requests. The swap rolls over the pool;
    // callers must see no failed request and, once it is over, answers of the new version from every engine.
    @Test
    public void aSwapRollsOverThePoolWhileCallersAreServed() throws Exception {
        JsonNode newCatalogue = catalogueWithVersion("v2");
        HttpResponse accepted =
                deployment.send(HttpRequest.json("PUT", admin(), "/admin/catalogue?edit=swap", newCatalogue.toString())
                        .withHeader("Authorization", OPERATOR_AUTHORIZATION));
        assertEquals(accepted.status(), 200, accepted.text());
        ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();
        Awaitility.await().atMost(Duration.ofMinutes(2)).until(() -> {
            complete(failures);
            return engineVersions().equals(Set.of("v2"));
        });
        complete(failures);
        assertTrue(failures.isEmpty(), failures.toString());
    }

    private void complete(ConcurrentLinkedQueue<String> failures) throws Exception {
        HttpResponse answer = deployment.send(
                HttpRequest.json("POST", deployment.callerAddresses().get(0), "/v1/completions", COMPLETION_BODY)
                        .withHeader("Authorization", "Bearer " + LocalCatalogue.workspaceKey("statistics")));
        if (answer.status() != 200) {
            failures.add(answer.text());
        }
    }

    private Set<String> engineVersions() throws Exception {
        List<String> versions = new ArrayList<>();
        for (var engine : deployment.engines()) {
            JsonNode state = JSON.readTree(deployment
                    .send(HttpRequest.get(engine.address(), "/v1/state"))
                    .body());
            versions.add(state.path("version").asText());
        }
        return Set.copyOf(versions);
    }

    private JsonNode catalogueWithVersion(String version) throws Exception {
        HttpResponse currentCatalogue = deployment.send(
                HttpRequest.get(admin(), "/admin/catalogue").withHeader("Authorization", OPERATOR_AUTHORIZATION));
        JsonNode catalogue = JSON.readTree(currentCatalogue.body());
        ObjectNode model = (ObjectNode)
                catalogue.path("services").path(LocalCatalogue.MODEL).path("model");
        model.put("version", version);
        return catalogue;
    }

    private NetworkAddress admin() {
        return deployment.adminAddresses().get(0);
    }
}
