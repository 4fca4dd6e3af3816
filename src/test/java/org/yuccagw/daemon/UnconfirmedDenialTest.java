package org.yuccagw.daemon;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.settings.GatewaySettings;
import org.yuccagw.platform.GatewaySettingsReader;
import org.yuccagw.standins.http.ServiceFaults;
import org.yuccagw.standins.keyvalue.KeyValueSettings;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;
import org.yuccagw.standins.platform.PlatformDocuments;
import org.yuccagw.standins.platform.SmallDeployment;

public class UnconfirmedDenialTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final String KNOWN = "/known/x";
    private static final String UNKNOWN = "/unknown/x";

    private KeyValueStandIn keyValue;
    private ScriptedEndpoint endpoint;
    private HttpClient httpClient;
    private GatewaySettings settings;
    private GatewayDaemon daemon;

    @BeforeClass
    public void startAll() throws Exception {
        keyValue = KeyValueStandIn.start(KeyValueSettings.defaults());
        endpoint = new ScriptedEndpoint();
        httpClient = HttpClient.start(1);
        keyValue.put(
                PlatformDocuments.CONFIGURATION,
                PlatformDocuments.configuration(1)
                        .route("/known/", "idempotent", "plain", 500, 2)
                        .plain("plain")
                        .workspace("ministry", "key-1", false)
                        .bytes());
        keyValue.put(
                PlatformDocuments.endpointKey("plain-1"),
                PlatformDocuments.endpoint("plain", endpoint.address(), "a", false));
        settings = GatewaySettingsReader.parse(
                SmallDeployment.settings("entry-1", keyValue.address(), SmallDeployment.freePorts(4)));
        daemon = GatewayDaemon.start(settings);
    }

    @AfterClass(alwaysRun = true)
    public void stopAll() throws IOException {
        daemon.halt();
        httpClient.stop();
        endpoint.close();
        keyValue.stop();
    }

    // Guards against denials of routes and keys that were added since the entry last heard the key-value service.
    @Test
    public void anEntryDeniesNothingByAConfigurationThatItCannotConfirm() throws Exception {
        await().atMost(TIMEOUT).until(() -> status(KNOWN, "key-1") == 200);
        assertEquals(status(UNKNOWN, "key-1"), 404);
        assertEquals(status(KNOWN, "key-2"), 401);
        keyValue.injectFaults(new ServiceFaults(true, false, 0));
        await().atMost(TIMEOUT).until(() -> status(UNKNOWN, "key-1") == 503);
        assertEquals(status(KNOWN, "key-2"), 503);
        assertEquals(status(KNOWN, "key-1"), 200);
        keyValue.injectFaults(ServiceFaults.none());
        await().atMost(TIMEOUT).until(() -> status(UNKNOWN, "key-1") == 404);
    }

    private int status(String path, String key) throws InterruptedException {
        try {
            return httpClient
                    .send(SmallDeployment.request(settings.callers(), path)
                            .withHeader("Authorization", "Bearer " + key)
                            .withNewConnection())
                    .get()
                    .status();
        } catch (ExecutionException notYet) {
            return 0;
        }
    }
}
