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
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.bench.local.LocalCatalogue;
import org.yuccagw.bench.local.LocalDeployment;
import org.yuccagw.bench.local.LocalPlan;
import org.yuccagw.core.id.NetworkAddress;

public class WeightSwapTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String OPERATOR = "Bearer " + LocalCatalogue.OPERATOR_KEY;
    private static final String QUESTION = "{\"model\":\"assistant\",\"prompt\":\"hello\",\"max_tokens\":2}";

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

    // An operator names another weight version while callers go on asking. The swap rolls over the pool; the user must
    // see no failed request and, once it is over, answers of the new version from every engine.
    @Test
    public void aSwapRollsOverThePoolWhileCallersAreServed() throws Exception {
        JsonNode wanted = catalogueWithVersion("v2");
        HttpResponse accepted =
                deployment.send(HttpQuery.json("PUT", admin(), "/admin/catalogue?edit=swap", wanted.toString())
                        .withHeader("Authorization", OPERATOR));
        assertEquals(accepted.status(), 200, accepted.text());
        ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();
        Awaitility.await().atMost(Duration.ofMinutes(2)).until(() -> {
            ask(failures);
            return engineVersions().equals(Set.of("v2"));
        });
        ask(failures);
        assertTrue(failures.isEmpty(), failures.toString());
    }

    private void ask(ConcurrentLinkedQueue<String> failures) throws Exception {
        HttpResponse answer = deployment.send(
                HttpQuery.json("POST", deployment.callerAddresses().get(0), "/v1/completions", QUESTION)
                        .withHeader("Authorization", "Bearer " + LocalCatalogue.workspaceKey("statistics")));
        if (answer.status() != 200) {
            failures.add(answer.text());
        }
    }

    private Set<String> engineVersions() throws Exception {
        List<String> versions = new ArrayList<>();
        for (var engine : deployment.engines()) {
            JsonNode state = JSON.readTree(deployment
                    .send(HttpQuery.get(engine.address(), "/v1/state"))
                    .body());
            versions.add(state.path("version").asText());
        }
        return Set.copyOf(versions);
    }

    private JsonNode catalogueWithVersion(String version) throws Exception {
        HttpResponse present =
                deployment.send(HttpQuery.get(admin(), "/admin/catalogue").withHeader("Authorization", OPERATOR));
        JsonNode catalogue = JSON.readTree(present.body());
        ObjectNode model = (ObjectNode)
                catalogue.path("services").path(LocalCatalogue.MODEL).path("model");
        model.put("version", version);
        return catalogue;
    }

    private NetworkAddress admin() {
        return deployment.adminAddresses().get(0);
    }
}
