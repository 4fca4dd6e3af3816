package org.yuccagw.process;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.File;
import java.io.IOException;
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
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.adapters.settings.GatewaySettings;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.daemon.ScriptedEndpoint;
import org.yuccagw.platform.GatewaySettingsReader;
import org.yuccagw.standins.http.ServiceFaults;
import org.yuccagw.standins.keyvalue.KeyValueSettings;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;
import org.yuccagw.standins.platform.SmallDeployment;

/** Entries on the users' platform as processes of their own, ended by signals. */
@Test(groups = "process")
public class GatewayProcessTest {
    private static final Duration LONG = Duration.ofSeconds(60);

    private final List<Process> processes = new ArrayList<>();
    private final List<GatewaySettings> settings = new ArrayList<>();
    private KeyValueStandIn keyValue;
    private HttpClient caller;
    private ScriptedEndpoint endpoint;
    private Path folder;

    @BeforeMethod
    public void startTwoEntries() throws Exception {
        folder = Files.createTempDirectory("gateways");
        keyValue = KeyValueStandIn.start(KeyValueSettings.usual());
        caller = HttpClient.start(1);
        endpoint = new ScriptedEndpoint();
        SmallDeployment.at(endpoint.address()).publish(keyValue);
        start("entry-1");
        start("entry-2");
        for (int index = 0; index < 2; index++) {
            int entry = index;
            await().atMost(LONG).until(() -> directoryOf(entry).contains(callersOf(0)));
            await().atMost(LONG).until(() -> directoryOf(entry).contains(callersOf(1)));
        }
    }

    @AfterMethod(alwaysRun = true)
    public void endAll() throws IOException {
        processes.forEach(Process::destroyForcibly);
        processes.clear();
        settings.clear();
        caller.stop();
        endpoint.close();
        keyValue.stop();
    }

    @Test
    public void anAnswerComesThroughEveryEntryAsItsEndpointGaveIt() throws Exception {
        for (GatewaySettings entry : settings) {
            await().atMost(LONG).until(() -> status(entry.callers(), SmallDeployment.PLAIN + "x") == 200);
            HttpResponse answer = send(entry.callers(), SmallDeployment.PLAIN + "x");
            assertEquals(answer.text(), "body");
            assertEquals(answer.header("Yuccagw-Response-Seal"), "seal-1");
        }
    }

    // Someone explains a failed request from an entry's output. Its lines have to be those that the commands read.
    @Test
    public void theLinesOfAnEntryAreReadByTheCommandsThatExplain() throws Exception {
        GatewaySettings entry = settings.get(0);
        await().atMost(LONG).until(() -> status(entry.callers(), SmallDeployment.PLAIN + "x") == 200);
        await().atMost(LONG).until(() -> eventsWrittenBy("entry-1").containsAll(List.of("started", "placed", "ended")));
    }

    private List<String> eventsWrittenBy(String name) throws IOException {
        return Files.readAllLines(outputOf(name)).stream()
                .map(line -> DecisionLine.parse(line, name))
                .flatMap(Optional::stream)
                .map(DecisionLine::event)
                .toList();
    }

    // Every entry loses power in the same moment and comes back while the service is away for a while longer. Until it
    // returns nobody knows where requests go, so nobody may say that it is ready; then all serve again by themselves.
    @Test
    public void afterTheLossOfAllEntriesTheyServeAgainOnceTheServiceAnswers() throws Exception {
        processes.forEach(Process::destroyForcibly);
        for (Process process : processes) {
            process.waitFor();
        }
        keyValue.order(new ServiceFaults(true, false, 0));
        processes.clear();
        for (GatewaySettings entry : settings) {
            launch(entry.entry().value());
        }
        GatewaySettings first = settings.get(0);
        await().atMost(LONG).until(() -> status(first.readiness(), SmallDeployment.READINESS) == 503);
        assertEquals(status(first.callers(), SmallDeployment.PLAIN + "x"), 503);
        keyValue.order(ServiceFaults.none());
        for (GatewaySettings entry : settings) {
            await().atMost(LONG).until(() -> status(entry.callers(), SmallDeployment.PLAIN + "x") == 200);
        }
    }

    // A VM loses power. Callers who ask the other entry must not be sent to the dead one, where each would lose a
    // second of its time on the connection.
    @Test
    public void aKilledEntryLeavesTheDirectoryOfTheOther() {
        processes.get(0).destroyForcibly();
        await().atMost(LONG).until(() -> !directoryOf(1).contains(callersOf(0)));
        assertTrue(directoryOf(1).contains(callersOf(1)));
    }

    // The platform stops an entry. It must say at once that it takes no more, be out of the other's directory, still
    // answer those who kept an old directory, and end by itself with 0.
    @Test
    public void anEntryThatIsStoppedLeavesFirstServesOnAndEndsByItself() throws Exception {
        processes.get(0).destroy();
        await().atMost(LONG).until(() -> status(settings.get(0).readiness(), SmallDeployment.READINESS) == 503);
        await().atMost(LONG).until(() -> !directoryOf(1).contains(callersOf(0)));
        assertTrue(status(settings.get(0).callers(), "/nowhere/x") == 404, "still answers");
        assertTrue(processes.get(0).waitFor(LONG.toSeconds(), TimeUnit.SECONDS));
        assertEquals(processes.get(0).exitValue(), 0);
    }

    // The platform says that the settings changed. An entry that takes SIGHUP for an end would cut every request.
    @Test
    public void anEntryOutlivesSighup() throws Exception {
        new ProcessBuilder("kill", "-HUP", Long.toString(processes.get(0).pid()))
                .start()
                .waitFor();
        await().atMost(LONG).until(() -> Files.readString(outputOf("entry-1")).contains("event=\"settings-read\""));
        assertEquals(status(settings.get(0).readiness(), SmallDeployment.READINESS), 200);
    }

    private void start(String name) throws Exception {
        byte[] document = SmallDeployment.settings(name, keyValue.address(), SmallDeployment.freePorts(4));
        Path file = folder.resolve(name + ".json");
        Files.write(file, document);
        settings.add(GatewaySettingsReader.parse(document));
        launch(name);
    }

    private void launch(String name) throws IOException {
        Path file = folder.resolve(name + ".json");
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
                .redirectOutput(new File(outputOf(name).toString()))
                .start();
        processes.add(process);
    }

    private Path outputOf(String name) {
        return folder.resolve(name + ".log");
    }

    private String callersOf(int entry) {
        return settings.get(entry).callers().toString();
    }

    private String directoryOf(int entry) {
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
        HttpQuery query = SmallDeployment.request(address, path).overFreshConnection();
        try {
            return caller.send(query).get(LONG.toSeconds(), TimeUnit.SECONDS);
        } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
            throw new IOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }
}
