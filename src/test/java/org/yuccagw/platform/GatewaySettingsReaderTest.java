package org.yuccagw.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;
import org.yuccagw.adapters.settings.GatewaySettings;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.deployment.DomainRegions;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.Region;
import org.yuccagw.core.placing.ColdBounds;

public class GatewaySettingsReaderTest {
    private static final String PLATFORM_JSON = """
            {"nodeName": "edge-1", "zone": "ulemiste", "ip": "10.1.0.19", "portRange": [7580, 7595],
             "seedNodes": ["10.1.0.19:8745", "10.2.0.13:8745"], "somethingNew": {"a": [1, 2]},
             "listenAddrs": {"front": "10.1.0.19:8749", "ready": "10.1.0.19:8741", "directory": "10.1.0.19:8747"},
             "bounds": {"graceS": 8, "leaseMs": 3000, "retryBudgetRatio": 0.2, "retrySlack": 56, "strictRevoke": false},
             "platform": {"address": "10.200.1.7:8744", "form": "kv"}}""";

    @Test
    public void fieldsOfThePlatformAreReadAndUnknownOnesAreIgnored() throws YuccagwException {
        GatewaySettings settings = GatewaySettingsReader.parse(renderSettings(PLATFORM_JSON));
        assertEquals(settings.callers(), NetworkAddress.of("10.1.0.19", 8749));
        assertEquals(settings.peer(), NetworkAddress.of("10.1.0.19", 7580));
        assertEquals(
                settings.seeds(), List.of(NetworkAddress.of("10.1.0.19", 7580), NetworkAddress.of("10.2.0.13", 7580)));
        assertEquals(settings.bounds().minOrderSeparation(), Duration.ofSeconds(3));
        assertTrue(settings.bounds().unconfirmedKeyTimeout().isEmpty());
    }

    @Test
    public void regionsOfFailureDomainsAreRead() throws YuccagwException {
        String platformJson =
                PLATFORM_JSON.replace("\"bounds\":", "\"zones\": {\"a\": \"north\", \"b\": \"south\"}, \"bounds\":");
        DomainRegions regions =
                GatewaySettingsReader.parse(renderSettings(platformJson)).regions();
        assertEquals(regions.of(FailureDomain.of("b")), Optional.of(Region.of("south")));
        assertEquals(regions.of(FailureDomain.of("c")), Optional.empty());
    }

    @Test
    public void boundsOnColdEndpointsAreRead() throws YuccagwException {
        String platformJson =
                PLATFORM_JSON.replace("\"bounds\": {", "\"bounds\": {\"coldOverage\": 1.5, \"coldSlack\": 5, ");
        assertEquals(
                GatewaySettingsReader.parse(renderSettings(platformJson))
                        .bounds()
                        .coldEndpoints(),
                new ColdBounds(1.5, 5));
    }

    @Test
    public void theCapacityOfAVmIsTheMinimumOfItsProcessorAndItsNetwork() throws YuccagwException {
        assertEquals(capacityOf("{\"cpuShare\": 0.75, \"cores\": 2, \"linkMbps\": 1000.0}"), 150);
        assertEquals(capacityOf("{\"cpuShare\": 0.75, \"cores\": 2, \"linkMbps\": 14.0}"), 28);
        assertEquals(capacityOf("{\"memoryMb\": 430}"), EntryIdentity.DEFAULT_CAPACITY);
        assertEquals(
                GatewaySettingsReader.parse(renderSettings(PLATFORM_JSON)).capacity(), EntryIdentity.DEFAULT_CAPACITY);
    }

    private static int capacityOf(String limits) throws YuccagwException {
        String platformJson = PLATFORM_JSON.replace("\"bounds\":", "\"limits\": " + limits + ", \"bounds\":");
        return GatewaySettingsReader.parse(renderSettings(platformJson)).capacity();
    }

    @Test
    public void missingBoundsGetDefaults() throws YuccagwException {
        String withoutBounds = PLATFORM_JSON.replaceAll("\"bounds\": \\{[^}]*}", "\"bounds\": {}");
        assertEquals(
                GatewaySettingsReader.parse(renderSettings(withoutBounds))
                        .bounds()
                        .stopGrace(),
                Duration.ofSeconds(8));
    }

    @Test
    public void aMalformedFieldIsReportedWithItsPositionAndTheRemedy() {
        YuccagwException error = expectThrows(
                YuccagwException.class,
                () -> GatewaySettingsReader.parse(
                        renderSettings(PLATFORM_JSON.replace("\"10.1.0.19:8749\"", "\"here\""))));
        assertTrue(error.getMessage().contains("platform.listenAddrs.front"), error.getMessage());
        assertTrue(error.getMessage().contains("line "), error.getMessage());
        assertTrue(error.getMessage().contains("10.0.0.7:8080"), error.getMessage());
    }

    /** Returns the settings template of the deployment with the field that the platform fills in. */
    private static byte[] renderSettings(String platformJson) {
        try {
            String template = Files.readString(Path.of("deploy", "settings.json"));
            return template.replace("{{.|json}}", platformJson).getBytes(StandardCharsets.UTF_8);
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
