package org.yuccagw.daemon;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.settings.GatewaySettings;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.daemon.CutOffEntry.Block;
import org.yuccagw.platform.GatewaySettingsReader;
import org.yuccagw.standins.keyvalue.KeyValueSettings;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;
import org.yuccagw.standins.platform.PlatformDocuments;
import org.yuccagw.standins.platform.SmallDeployment;

/** Guards against an entry that can't reach the endpoints, while other entries can, failing its callers. */
public class CutOffEntryTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    /** Time within which an entry must have noticed that it is cut off. */
    private static final Duration NOTICE_TIME = Duration.ofSeconds(3);

    private static final int REQUESTS = 12;

    private final List<ScriptedEndpoint> endpoints = new ArrayList<>();
    private final List<GatewayDaemon> daemons = new ArrayList<>();
    private final List<CutOffEntry> paths = new ArrayList<>();
    private final List<GatewaySettings> settings = new ArrayList<>();
    private KeyValueStandIn keyValue;
    private HttpClient caller;
    private int sentRequests;

    @BeforeMethod
    public void startAll() throws Exception {
        keyValue = KeyValueStandIn.start(KeyValueSettings.defaults());
        caller = HttpClient.start(1);
        keyValue.put(
                PlatformDocuments.CONFIGURATION,
                PlatformDocuments.configuration(3)
                        .route("/once/", "non_idempotent", "plain", 3_000, 1)
                        .route("/again/", "idempotent", "plain", 3_000, 2)
                        .route("/stream/", "streaming", "plain", 3_000, 2)
                        .resumable()
                        .plain("plain")
                        .workspace("ministry", "key-1", false)
                        .bytes());
        for (int index = 0; index < 3; index++) {
            ScriptedEndpoint endpoint = new ScriptedEndpoint();
            endpoints.add(endpoint);
            keyValue.put(
                    PlatformDocuments.endpointKey("i-" + index),
                    PlatformDocuments.endpoint("plain", endpoint.address(), "a", false));
        }
        for (int index = 0; index < 3; index++) {
            startEntry("entry-" + index);
        }
        for (int index = 0; index < 3; index++) {
            int entry = index;
            await().atMost(TIMEOUT).until(() -> post(entry, "/again/x").status() == 200);
        }
    }

    private void startEntry(String name) throws Exception {
        GatewaySettings own = GatewaySettingsReader.parse(
                SmallDeployment.settings(name, keyValue.address(), SmallDeployment.freePorts(5)));
        CutOffEntry path = new CutOffEntry();
        settings.add(own);
        paths.add(path);
        daemons.add(GatewayDaemon.start(own, path));
    }

    @AfterMethod(alwaysRun = true)
    public void stopAll() throws IOException {
        daemons.forEach(GatewayDaemon::halt);
        caller.stop();
        for (ScriptedEndpoint endpoint : endpoints) {
            endpoint.close();
        }
        for (CutOffEntry path : paths) {
            path.close();
        }
        keyValue.stop();
        daemons.clear();
        endpoints.clear();
        paths.clear();
        settings.clear();
    }

    @DataProvider
    public Object[][] cuts() {
        return new Object[][] {
            {Block.REFUSED, "/once/x"}, {Block.REFUSED, "/again/x"}, {Block.REFUSED, "/stream/stream"},
            {Block.SILENT, "/once/x"}, {Block.SILENT, "/again/x"}, {Block.SILENT, "/stream/stream"},
        };
    }

    @Test(dataProvider = "cuts")
    public void anEntryThatIsCutOffServesItsCallersThroughAnother(Block block, String path) throws Exception {
        paths.get(0).cut(block, addresses());
        sendFor(NOTICE_TIME, path);
        assertServed(path);
    }

    @Test(dataProvider = "cuts")
    public void entriesThatAreCutOffTogetherServeTheirCallersThroughTheRemainingOne(Block block, String path)
            throws Exception {
        paths.get(0).cut(block, addresses());
        paths.get(1).cut(block, addresses());
        sendFor(NOTICE_TIME, path);
        assertServed(path);
    }

    private NetworkAddress[] addresses() {
        return endpoints.stream().map(ScriptedEndpoint::address).toArray(NetworkAddress[]::new);
    }

    private void sendFor(Duration duration, String path) throws Exception {
        long endNanos = System.nanoTime() + duration.toNanos();
        while (System.nanoTime() - endNanos < 0) {
            post(0, path);
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    private void assertServed(String path) throws Exception {
        for (int request = 0; request < REQUESTS; request++) {
            HttpResponse answer = post(0, path);
            assertEquals(answer.status(), 200, answer.text());
            assertEquals(answer.header("Yuccagw-Response-Seal"), "seal-1");
        }
    }

    private HttpResponse post(int entry, String path) throws Exception {
        sentRequests++;
        HttpRequest request = HttpRequest.of(
                        "POST", settings.get(entry).callers(), path, "question".getBytes(StandardCharsets.UTF_8))
                .withHeader("Host", "a.example")
                .withHeader("Yuccagw-Request-Id", "request-" + sentRequests)
                .withHeader("Yuccagw-Deadline-Ms", "2000")
                .withHeader("Authorization", "Bearer key-1");
        return caller.send(request).get(10, TimeUnit.SECONDS);
    }
}
