package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.adapters.settings.EntrySettings.TlsFiles;
import org.yuccagw.adapters.tls.TestCertificate;
import org.yuccagw.bench.local.LocalCatalogue;
import org.yuccagw.bench.local.LocalDeployment;
import org.yuccagw.bench.local.LocalPlan;
import org.yuccagw.core.id.NetworkAddress;

public class SecureEntriesTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String KEY = "Bearer " + LocalCatalogue.workspaceKey("statistics");

    private LocalDeployment deployment;

    @BeforeClass
    public void start() throws Exception {
        Path directory = Files.createTempDirectory("yuccagw-tls");
        TestCertificate certificate = TestCertificate.generate(directory, "entries");
        Path trusted = Files.writeString(directory.resolve("trusted.pem"), certificate.certificatePem());
        TlsFiles files = certificate.writeTo(directory, Optional.of(trusted.toString()));
        deployment = LocalDeployment.start(LocalPlan.usual().withEntries(2).withTls(files));
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        if (deployment != null) {
            deployment.stop();
        }
    }

    @Test
    public void callersAndOperatorsAreServedOverTls() throws Exception {
        HttpResponse answer = deployment.send(HttpQuery.json(
                        "POST",
                        deployment.callerAddresses().get(0),
                        "/v1/completions",
                        "{\"model\":\"assistant\",\"prompt\":\"hello\",\"max_tokens\":3}")
                .withHeader("Authorization", KEY));
        assertEquals(answer.status(), 200, answer.text());
        HttpResponse ready =
                deployment.send(HttpQuery.get(deployment.adminAddresses().get(0), "/readyz"));
        assertEquals(ready.status(), 200, ready.text());
    }

    @Test
    public void entriesFindEachOtherOverMutualTls() {
        Awaitility.await().atMost(Duration.ofMinutes(1)).until(() -> {
            HttpResponse answer =
                    deployment.send(HttpQuery.get(deployment.callerAddresses().get(1), "/v1/directory"));
            return JSON.readTree(answer.body()).path("entries").size() == 2;
        });
    }

    @Test
    public void plainTextGetsNoAnswer() throws Exception {
        HttpClient plain = HttpClient.start(1);
        try {
            HttpQuery query = HttpQuery.get(deployment.callerAddresses().get(0), "/v1/directory")
                    .withTimeouts(Duration.ofSeconds(2), Duration.ofSeconds(2));
            expectThrows(Exception.class, () -> plain.send(query).get());
        } finally {
            plain.stop();
        }
    }

    // A stranger without a certificate speaks to the peer address. It must not be able to pass for an entry.
    @Test
    public void aStrangerOnThePeerAddressIsNotHeard() throws Exception {
        NetworkAddress peer = deployment.peerAddresses().get(0);
        try (Socket stranger = new Socket(peer.host(), peer.port())) {
            stranger.setSoTimeout(10_000);
            stranger.getOutputStream().write("\0\0\0\5hello".getBytes(StandardCharsets.US_ASCII));
            byte[] answer = stranger.getInputStream().readAllBytes();
            // Eight bytes after a length would be the count that a reader of frames answers with.
            assertFalse(answer.length >= 12 && answer[3] == Long.BYTES, "the frame was counted");
        }
    }
}
