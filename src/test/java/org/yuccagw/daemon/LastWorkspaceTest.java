package org.yuccagw.daemon;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.time.Duration;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.settings.GatewaySettings;
import org.yuccagw.platform.GatewaySettingsReader;
import org.yuccagw.standins.keyvalue.KeyValueSettings;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;
import org.yuccagw.standins.platform.PlatformDocuments;
import org.yuccagw.standins.platform.SmallDeployment;

/** Over sockets: the keys of callers while workspaces are taken away. */
public class LastWorkspaceTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final String PATH = SmallDeployment.PLAIN + "x";

    private KeyValueStandIn keyValue;
    private ScriptedEndpoint endpoint;
    private HttpClient httpClient;
    private GatewaySettings settings;
    private GatewayDaemon daemon;

    @BeforeMethod
    public void startAll() throws Exception {
        keyValue = KeyValueStandIn.start(KeyValueSettings.defaults());
        endpoint = new ScriptedEndpoint();
        httpClient = HttpClient.start(1);
        keyValue.put(
                PlatformDocuments.endpointKey("plain-1"),
                PlatformDocuments.endpoint("plain", endpoint.address(), "a", false));
        keyValue.put(
                PlatformDocuments.CONFIGURATION,
                configuration(1).workspace("ministry", "key-1", false).bytes());
        settings = GatewaySettingsReader.parse(
                SmallDeployment.settings("entry-1", keyValue.address(), SmallDeployment.freePorts(4)));
        daemon = GatewayDaemon.start(settings);
        await().atMost(TIMEOUT).until(() -> status("key-1") == 200);
    }

    @AfterMethod(alwaysRun = true)
    public void stopAll() throws IOException {
        daemon.halt();
        httpClient.stop();
        endpoint.close();
        keyValue.stop();
    }

    // Guards against a configuration whose last workspace is gone, and which lets every caller in.
    @Test
    public void withoutAnyWorkspaceNoKeyIsAccepted() throws Exception {
        keyValue.put(
                PlatformDocuments.CONFIGURATION, configuration(2).keysRequired().bytes());
        await().atMost(TIMEOUT).until(() -> status("key-1") == 401);
        assertEquals(status("stolen"), 401);
    }

    @Test
    public void withoutTheFieldOfWorkspacesNoKeyIsNeeded() throws Exception {
        keyValue.put(PlatformDocuments.CONFIGURATION, configuration(2).bytes());
        await().atMost(TIMEOUT).until(() -> status("stolen") == 200);
    }

    private static PlatformDocuments configuration(long version) {
        return PlatformDocuments.configuration(version)
                .route(SmallDeployment.PLAIN, "idempotent", "plain", 500, 2)
                .plain("plain");
    }

    private int status(String key) throws Exception {
        return httpClient
                .send(SmallDeployment.request(settings.callers(), PATH).withHeader("Authorization", "Bearer " + key))
                .get()
                .status();
    }
}
