package org.yuccagw.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.standins.keyvalue.KeyValueSettings;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;
import org.yuccagw.standins.vmlist.VmListStandIn;

public class ToolProcessTest {
    private static final int LONG_SECONDS = 90;

    private KeyValueStandIn keyValue;
    private VmListStandIn vmList;
    private HttpClient caller;
    private Path output;

    @BeforeClass
    public void startPlatform() throws IOException {
        keyValue = KeyValueStandIn.start(KeyValueSettings.usual());
        vmList = VmListStandIn.start(0, 0);
        caller = HttpClient.start(1);
    }

    @AfterClass
    public void stopPlatform() {
        caller.stop();
        vmList.stop();
        keyValue.stop();
    }

    // A supervisor stops an entry by SIGTERM. Java's own exit code is then 143, which supervisors report as a failure
    // and may answer with a restart. The entry must stop gracefully and say that all is well.
    @Test(groups = "process")
    public void anEntryStoppedBySigtermExitsWithZero() throws Exception {
        NetworkAddress admin = freeAddress();
        Path settings = writeSettings(admin);
        Process entry = start("entry", "--settings", settings.toString());
        try {
            Awaitility.await().atMost(Duration.ofSeconds(LONG_SECONDS)).until(() -> isAlive(admin));
            entry.destroy();
            assertTrue(entry.waitFor(LONG_SECONDS, TimeUnit.SECONDS), "it did not stop");
            assertEquals(entry.exitValue(), ExitCode.OK);
        } finally {
            entry.destroyForcibly();
        }
    }

    @Test(groups = "process")
    public void anEntryWithBrokenSettingsSaysWhyAndFails() throws Exception {
        Process entry = start("entry", "--settings", "src/test/resources/settings/entry/unknown-field.json");
        assertTrue(entry.waitFor(LONG_SECONDS, TimeUnit.SECONDS), "it did not end");
        assertEquals(entry.exitValue(), ExitCode.FAILED);
    }

    // A user asks for a list and sees nothing: output that isn't flushed is lost when the process ends.
    @Test(groups = "process")
    public void whatACommandPrintsIsSeenWhole() throws Exception {
        Process list = start("experiment");
        assertTrue(list.waitFor(LONG_SECONDS, TimeUnit.SECONDS), "it did not end");
        assertEquals(list.exitValue(), ExitCode.OK);
        assertTrue(Files.readString(output).contains("what it measures"), Files.readString(output));
    }

    private Path writeSettings(NetworkAddress admin) throws IOException {
        String text = Files.readString(Path.of("config/samples/entry.json"))
                .replace("127.0.0.1:8080", freeAddress().toString())
                .replace("127.0.0.1:8081", admin.toString())
                .replace("127.0.0.1:8082", freeAddress().toString())
                .replace("127.0.0.1:7001", keyValue.address().toString())
                .replace("127.0.0.1:7002", vmList.address().toString());
        return Files.writeString(Files.createTempFile("entry", ".json"), text);
    }

    private boolean isAlive(NetworkAddress admin) throws InterruptedException {
        try {
            HttpResponse answer = caller.send(HttpQuery.get(admin, "/healthz")).get();
            return answer.isSuccess();
        } catch (ExecutionException e) {
            return false;
        }
    }

    private Process start(String... words) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder builder = new ProcessBuilder(
                java, "-XX:-UsePerfData", "-cp", System.getProperty("java.class.path"), YuccagwTool.class.getName());
        builder.command().addAll(List.of(words));
        output = Files.createTempFile("yuccagw", ".log");
        return builder.redirectErrorStream(true).redirectOutput(output.toFile()).start();
    }

    private static NetworkAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return NetworkAddress.of("127.0.0.1", socket.getLocalPort());
        }
    }
}
