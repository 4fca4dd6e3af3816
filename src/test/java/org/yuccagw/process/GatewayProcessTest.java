package org.yuccagw.process;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.adapters.decisions.DecisionLine;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.settings.GatewaySettings;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.daemon.ScriptedEndpoint;
import org.yuccagw.platform.GatewaySettingsReader;
import org.yuccagw.standins.http.ServiceFaults;
import org.yuccagw.standins.keyvalue.KeyValueSettings;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;
import org.yuccagw.standins.platform.SmallDeployment;

/** Entries on the users' platform as separate processes that are ended by signals. */
@Test(groups = "process")
public class GatewayProcessTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final List<Process> processes = new ArrayList<>();
    private final List<GatewaySettings> settings = new ArrayList<>();
    private KeyValueStandIn keyValue;
    private HttpClient httpClient;
    private ScriptedEndpoint endpoint;
    private Path directory;

    @BeforeMethod
    public void startTwoEntries() throws Exception {
        directory = Files.createTempDirectory("gateways");
        keyValue = KeyValueStandIn.start(KeyValueSettings.defaults());
        httpClient = HttpClient.start(1);
        endpoint = new ScriptedEndpoint();
        SmallDeployment.at(endpoint.address()).publish(keyValue);
        start("entry-1");
        start("entry-2");
        for (int index = 0; index < 2; index++) {
            int entry = index;
            await().atMost(TIMEOUT).until(() -> directoryTextOf(entry).contains(callerAddressOf(0)));
            await().atMost(TIMEOUT).until(() -> directoryTextOf(entry).contains(callerAddressOf(1)));
        }
    }

    @AfterMethod(alwaysRun = true)
    public void endAll() throws IOException {
        processes.forEach(Process::destroyForcibly);
        processes.clear();
        settings.clear();
        httpClient.stop();
        endpoint.close();
        keyValue.stop();
    }

    @Test
    public void everyEntryForwardsTheAnswerOfTheEndpointUnchanged() throws Exception {
        for (GatewaySettings entry : settings) {
            await().atMost(TIMEOUT).until(() -> status(entry.callers(), SmallDeployment.PLAIN + "x") == 200);
            HttpResponse answer = send(entry.callers(), SmallDeployment.PLAIN + "x");
            assertEquals(answer.text(), "body");
            assertEquals(answer.header("Yuccagw-Response-Seal"), "seal-1");
        }
    }

    // Operators explain a failed request from the output of an entry. Its lines must have the format that the
    // commands read.
    @Test
    public void theLogLinesOfAnEntryAreReadByTheCommandsThatExplain() throws Exception {
        GatewaySettings entry = settings.get(0);
        await().atMost(TIMEOUT).until(() -> status(entry.callers(), SmallDeployment.PLAIN + "x") == 200);
        await().atMost(TIMEOUT)
                .until(() -> eventsLoggedBy("entry-1").containsAll(List.of("started", "placed", "ended")));
    }

    private List<String> eventsLoggedBy(String name) throws IOException {
        return Files.readAllLines(logFileOf(name)).stream()
                .map(line -> DecisionLine.parse(line, name))
                .flatMap(Optional::stream)
                .map(DecisionLine::event)
                .toList();
    }

    // All entries lose power at once and return while the key-value service is still unavailable. Until it returns no
    // entry has the routes, so none may report that it is ready; then all serve again without intervention.
    @Test
    public void allEntriesServeAgainAfterTheLossOfAllOnceTheServiceAnswers() throws Exception {
        processes.forEach(Process::destroyForcibly);
        for (Process process : processes) {
            process.waitFor();
        }
        keyValue.injectFaults(new ServiceFaults(true, false, 0));
        processes.clear();
        for (GatewaySettings entry : settings) {
            launch(entry.entry().value());
        }
        GatewaySettings first = settings.get(0);
        await().atMost(TIMEOUT).until(() -> status(first.readiness(), SmallDeployment.READINESS) == 503);
        assertEquals(status(first.callers(), SmallDeployment.PLAIN + "x"), 503);
        keyValue.injectFaults(ServiceFaults.none());
        for (GatewaySettings entry : settings) {
            await().atMost(TIMEOUT).until(() -> status(entry.callers(), SmallDeployment.PLAIN + "x") == 200);
        }
    }

    // A VM loses power. Callers that request the directory from the other entry must not be sent to the failed one,
    // where each would lose a second on the connection.
    @Test
    public void aKilledEntryLeavesTheDirectoryOfTheOther() {
        processes.get(0).destroyForcibly();
        await().atMost(TIMEOUT).until(() -> !directoryTextOf(1).contains(callerAddressOf(0)));
        assertTrue(directoryTextOf(1).contains(callerAddressOf(1)));
    }

    // The platform stops an entry. The entry must report at once that it isn't ready, leave the directory of the
    // other, still answer callers with an old directory, and exit with 0.
    @Test
    public void aStoppedEntryLeavesTheDirectoryServesOnAndExits() throws Exception {
        processes.get(0).destroy();
        await().atMost(TIMEOUT).until(() -> status(settings.get(0).readiness(), SmallDeployment.READINESS) == 503);
        await().atMost(TIMEOUT).until(() -> !directoryTextOf(1).contains(callerAddressOf(0)));
        assertTrue(status(settings.get(0).callers(), "/nowhere/x") == 404, "no longer answers");
        assertTrue(processes.get(0).waitFor(TIMEOUT.toSeconds(), TimeUnit.SECONDS));
        assertEquals(processes.get(0).exitValue(), 0);
    }

    // The platform signals changed settings. An entry that treats SIGHUP as a request to end would cut every request.
    @Test
    public void anEntrySurvivesSighup() throws Exception {
        new ProcessBuilder("kill", "-HUP", Long.toString(processes.get(0).pid()))
                .start()
                .waitFor();
        await().atMost(TIMEOUT)
                .until(() -> Files.readString(logFileOf("entry-1")).contains("event=\"settings-read\""));
        assertEquals(status(settings.get(0).readiness(), SmallDeployment.READINESS), 200);
    }

    // Guards against an entry that a SIGHUP ends because it comes before the entry has started.
    @Test
    public void anEntryThatIsStartingReadsItsSettingsAgainAfterASighup() throws Exception {
        byte[] document = SmallDeployment.settings("entry-3", keyValue.address(), SmallDeployment.freePorts(4));
        GatewaySettings third = GatewaySettingsReader.parse(document);
        Path pipe = directory.resolve("entry-3.json");
        assertEquals(new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor(), 0);
        launch("entry-3");
        try (OutputStream opensOnceItIsRead = Files.newOutputStream(pipe)) {
            new ProcessBuilder("kill", "-HUP", Long.toString(processes.get(2).pid()))
                    .start()
                    .waitFor();
            opensOnceItIsRead.write(document);
        }
        await().atMost(TIMEOUT).until(() -> status(third.readiness(), SmallDeployment.READINESS) == 200);
        try (OutputStream readAgain = Files.newOutputStream(pipe)) {
            readAgain.write(document);
        }
        await().atMost(TIMEOUT)
                .until(() -> Files.readString(logFileOf("entry-3")).contains("event=\"settings-read\""));
    }

    private void start(String name) throws Exception {
        byte[] document = SmallDeployment.settings(name, keyValue.address(), SmallDeployment.freePorts(4));
        Path file = directory.resolve(name + ".json");
        Files.write(file, document);
        settings.add(GatewaySettingsReader.parse(document));
        launch(name);
    }

    private void launch(String name) throws IOException {
        Path file = directory.resolve(name + ".json");
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx112m",
                        "-XX:+UseSerialGC",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.yuccagw.cli.GatewayMain",
                        "--settings",
                        file.toString())
                .redirectErrorStream(true)
                .redirectOutput(new File(logFileOf(name).toString()))
                .start();
        processes.add(process);
    }

    private Path logFileOf(String name) {
        return directory.resolve(name + ".log");
    }

    private String callerAddressOf(int entry) {
        return settings.get(entry).callers().toString();
    }

    private String directoryTextOf(int entry) {
        try {
            return send(settings.get(entry).directory(), SmallDeployment.DIRECTORY)
                    .text();
        } catch (IOException notYet) {
            return "";
        }
    }

    private int status(NetworkAddress address, String path) {
        try {
            return send(address, path).status();
        } catch (IOException notYet) {
            return 0;
        }
    }

    private HttpResponse send(NetworkAddress address, String path) throws IOException {
        HttpRequest query = SmallDeployment.request(address, path).withNewConnection();
        try {
            return httpClient.send(query).get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
            throw new IOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }
}
