package org.yuccagw.process;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.daemon.ScriptedEndpoint;
import org.yuccagw.standins.keyvalue.KeyValueSettings;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;
import org.yuccagw.standins.platform.PlatformDocuments;
import org.yuccagw.standins.platform.SmallDeployment;

/** Entries in processes of their own, with the stack of the deploy file, while another writer uses their keys. */
@Test(groups = "process")
public class ForeignValueProcessTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final String ADDED = "/added/";
    private static final int TIMEOUT_MILLIS = 500;
    private static final int NO_ANSWER = 0;
    private static final int DEEP = 900;
    private static final int MANY = 200;
    private static final int MEGABYTE = 1024 * 1024;

    private final List<SoakEntry> entries = new ArrayList<>();
    private final List<List<Integer>> ports = new ArrayList<>();
    private KeyValueStandIn keyValue;
    private HttpClient httpClient;
    private ScriptedEndpoint endpoint;

    @DataProvider
    public static Object[][] values() {
        String other = PlatformDocuments.endpointKey("other");
        return new Object[][] {
            {"open arrays", other, text("[".repeat(2_000))},
            {"closed arrays", other, text(nested(DEEP))},
            {"closed objects", other, text("{\"a\":".repeat(DEEP) + "1" + "}".repeat(DEEP))},
            {"open objects", other, text("{\"a\":".repeat(MANY * 1_000))},
            {"a key without a name", PlatformDocuments.endpointKey(""), text("other")},
            {"closed arrays as a configuration", PlatformDocuments.CONFIGURATION, text(nested(DEEP))},
            {"a megabyte", other, text("\"" + "a".repeat(MEGABYTE - 2) + "\"")}
        };
    }

    @AfterMethod(alwaysRun = true)
    public void endAll() throws Exception {
        for (SoakEntry entry : entries) {
            entry.stop();
        }
        entries.clear();
        httpClient.stop();
        endpoint.close();
        keyValue.stop();
    }

    // Guards against a value of another writer that ends the service of all entries, also after their restart.
    @Test(dataProvider = "values")
    public void allEntriesServeAndFollowChangesWhateverAnotherWriterWrites(String what, String key, byte[] value)
            throws Exception {
        start();
        keyValue.put(key, value);
        configure(2);
        for (SoakEntry entry : entries) {
            await(what + " at " + entry.name()).atMost(TIMEOUT).until(() -> status(entry, ADDED) == 200);
        }
        for (SoakEntry entry : entries) {
            entry.killAndRestart();
        }
        keyValue.put(key, value);
        for (SoakEntry entry : entries) {
            await(what + " at " + entry.name() + " after its restart")
                    .atMost(TIMEOUT)
                    .until(() -> status(entry, ADDED) == 200);
            assertEquals(status(entry, SmallDeployment.PLAIN), 200, what);
        }
    }

    private void start() throws Exception {
        keyValue = KeyValueStandIn.start(KeyValueSettings.defaults());
        httpClient = HttpClient.start(1);
        endpoint = new ScriptedEndpoint();
        configure(1);
        keyValue.put(
                PlatformDocuments.endpointKey("plain-1"),
                PlatformDocuments.endpoint("plain", endpoint.address(), "a", false));
        for (int index = 0; index < 2; index++) {
            if (ports.size() <= index) {
                ports.add(SmallDeployment.freePorts(SoakEntry.PORTS));
            }
            entries.add(SoakEntry.start("entry-" + index, ports.get(index), keyValue.address(), httpClient));
        }
        entries.forEach(SoakEntry::awaitReady);
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

    private static String nested(int depth) {
        return "[".repeat(depth) + "]".repeat(depth);
    }

    private static byte[] text(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
