package org.yuccagw.process;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.daemon.ScriptedEndpoint;
import org.yuccagw.standins.http.ServiceFaults;
import org.yuccagw.standins.keyvalue.KeyValueSettings;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;
import org.yuccagw.standins.platform.PlatformDocuments;
import org.yuccagw.standins.platform.SmallDeployment;

/** Entries in processes of their own that start while the key-value service holds an older copy. */
@Test(groups = "process")
public class StartInGapProcessTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final Duration AWAY = Duration.ofMillis(300);
    private static final Duration OBSERVED = Duration.ofMillis(2_500);
    private static final Duration PAUSE = Duration.ofMillis(20);
    private static final String ADDED = "/added/";
    private static final int TIMEOUT_MILLIS = 500;
    private static final int NO_ANSWER = 0;

    /** The ports of each entry, the last ones for one that moves; all cases use the same, one after the other. */
    private final List<List<Integer>> ports = new ArrayList<>();

    private final List<SoakEntry> entries = new ArrayList<>();
    private final List<SoakEntry> replaced = new ArrayList<>();
    private KeyValueStandIn keyValue;
    private HttpClient httpClient;
    private ScriptedEndpoint endpoint;

    /** How the earlier process ends, and where the next one starts. */
    private enum Return {
        KILLED_SAME_ADDRESS,
        KILLED_OTHER_ADDRESS,
        /** No packet shows the end of the earlier process, as after a loss of power. */
        SILENT_OTHER_ADDRESS
    }

    @DataProvider
    public static Object[][] returns() {
        return new Object[][] {
            {3, Return.KILLED_SAME_ADDRESS, false},
            {3, Return.KILLED_SAME_ADDRESS, true},
            {3, Return.KILLED_OTHER_ADDRESS, false},
            {3, Return.KILLED_OTHER_ADDRESS, true},
            {3, Return.SILENT_OTHER_ADDRESS, false},
            {8, Return.KILLED_SAME_ADDRESS, true},
            {8, Return.SILENT_OTHER_ADDRESS, true},
            {24, Return.KILLED_SAME_ADDRESS, true}
        };
    }

    @AfterMethod(alwaysRun = true)
    public void endAll() throws Exception {
        for (SoakEntry entry : entries) {
            entry.stop();
        }
        for (SoakEntry entry : replaced) {
            entry.stop();
        }
        entries.clear();
        replaced.clear();
        httpClient.stop();
        endpoint.close();
        keyValue.stop();
    }

    // Guards against a started entry that serves by the older configuration which the service holds.
    @Test(dataProvider = "returns")
    public void anEntryThatStartsInTheGapNeverRefusesAnAcknowledgedRoute(int count, Return how, boolean whileAway)
            throws Exception {
        start(count);
        keyValue.takeCopy();
        configure(2);
        for (SoakEntry entry : entries) {
            await().atMost(TIMEOUT).until(() -> status(entry, ADDED) == 200);
        }
        keyValue.injectFaults(new ServiceFaults(true, false, 0));
        end(entries.get(0), how);
        Thread.sleep(AWAY.toMillis());
        if (whileAway) {
            startAgain(how);
        }
        keyValue.restoreCopy();
        keyValue.injectFaults(ServiceFaults.none());
        if (!whileAway) {
            startAgain(how);
        }
        List<Integer> answers = observe(entries.get(0));
        assertTrue(!answers.contains(404), "answers of the started entry: " + answers);
        assertEquals((int) answers.get(answers.size() - 1), 200);
    }

    private void start(int count) throws Exception {
        keyValue = KeyValueStandIn.start(KeyValueSettings.defaults());
        httpClient = HttpClient.start(1);
        endpoint = new ScriptedEndpoint();
        configure(1);
        keyValue.put(
                PlatformDocuments.endpointKey("plain-1"),
                PlatformDocuments.endpoint("plain", endpoint.address(), "a", false));
        for (int index = 0; index < count; index++) {
            entries.add(SoakEntry.start("entry-" + index, portsOf(index), keyValue.address(), httpClient));
        }
        entries.forEach(SoakEntry::awaitReady);
    }

    private List<Integer> portsOf(int index) throws IOException {
        while (ports.size() <= index) {
            ports.add(SmallDeployment.freePorts(SoakEntry.PORTS));
        }
        return ports.get(index);
    }

    private void configure(long version) {
        PlatformDocuments configuration = PlatformDocuments.configuration(version)
                .route(SmallDeployment.PLAIN, "idempotent", "plain", TIMEOUT_MILLIS, 2);
        if (version > 1) {
            configuration.route(ADDED, "idempotent", "plain", TIMEOUT_MILLIS, 2);
        }
        keyValue.put(
                PlatformDocuments.CONFIGURATION, configuration.plain("plain").bytes());
    }

    private static void end(SoakEntry entry, Return how) throws Exception {
        if (how == Return.SILENT_OTHER_ADDRESS) {
            entry.suspend();
        } else {
            entry.stop();
        }
    }

    private void startAgain(Return how) throws Exception {
        SoakEntry entry = entries.get(0);
        if (how == Return.KILLED_SAME_ADDRESS) {
            entry.startAgain();
        } else {
            replaced.add(entry);
            List<Integer> others = portsOf(entries.size());
            entries.set(0, SoakEntry.start(entry.name(), others, keyValue.address(), httpClient));
        }
    }

    /** Returns the statuses for the added route, from the first answer on. */
    private List<Integer> observe(SoakEntry entry) throws InterruptedException {
        NetworkAddress address = entry.callers();
        await("an answer of " + address).atMost(TIMEOUT).until(() -> status(entry, ADDED) != NO_ANSWER);
        List<Integer> statuses = new ArrayList<>();
        long endNanos = System.nanoTime() + OBSERVED.toNanos();
        while (System.nanoTime() - endNanos < 0) {
            statuses.add(status(entry, ADDED));
            Thread.sleep(PAUSE.toMillis());
        }
        return statuses;
    }

    private int status(SoakEntry entry, String path) throws InterruptedException {
        try {
            return httpClient
                    .send(SmallDeployment.request(entry.callers(), path + "x").withNewConnection())
                    .get()
                    .status();
        } catch (ExecutionException noAnswer) {
            return NO_ANSWER;
        }
    }
}
