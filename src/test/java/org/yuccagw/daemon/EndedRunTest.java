package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.bench.local.LocalCatalogue;
import org.yuccagw.bench.local.LocalDeployment;
import org.yuccagw.bench.local.LocalPlan;
import org.yuccagw.core.id.NetworkAddress;

/** Requests that repeat an idempotency key as soon as its run has ended. */
public class EndedRunTest {
    private static final int RUNS = 300;
    private static final String KEY = LocalCatalogue.workspaceKey("statistics");

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

    // Guards against "still running" for a run that has ended, before the owner of its key has learned that.
    @Test
    public void aRepeatRightAfterTheEndOfItsRunGetsTheAnswer() throws Exception {
        List<NetworkAddress> entries = deployment.callerAddresses();
        Map<Integer, Integer> statuses = new TreeMap<>();
        for (int run = 0; run < RUNS; run++) {
            NetworkAddress first = entries.get(run % entries.size());
            NetworkAddress second = entries.get((run / entries.size()) % entries.size());
            HttpResponse answer = deployment.send(label(first, run));
            HttpResponse repeat = deployment.send(label(second, run));
            statuses.merge(repeat.status(), 1, Integer::sum);
            if (repeat.status() == answer.status()) {
                assertEquals(repeat.text(), answer.text());
            }
        }
        assertEquals(statuses.toString(), Map.of(200, RUNS).toString());
    }

    private static HttpRequest label(NetworkAddress entry, int run) {
        return HttpRequest.json("POST", entry, "/notebook/label", "{\"column\":" + run + "}")
                .withHeader("Authorization", "Bearer " + KEY)
                .withHeader("Idempotency-Key", "ended-" + run);
    }
}
