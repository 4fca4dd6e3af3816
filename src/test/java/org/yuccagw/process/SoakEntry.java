package org.yuccagw.process;

import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.settings.GatewaySettings;
import org.yuccagw.cli.GatewayMain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.platform.GatewaySettingsReader;
import org.yuccagw.standins.http.StandInJson;
import org.yuccagw.standins.platform.SmallDeployment;

/** An entry of a soak in a process of its own, with the times of its signals and starts. */
final class SoakEntry {
    /** The time after SIGTERM at which the platform sends SIGKILL. */
    static final Duration GRACE = Duration.ofSeconds(8);

    /** The time within which a started entry serves again. */
    static final Duration RECOVERED_WITHIN = Duration.ofSeconds(12);

    /** Bounds hold for entries that were left alone for this time. */
    private static final Duration CONTACT = Duration.ofSeconds(3);

    private final String name;
    private final HttpClient http;
    private final byte[] document;
    private final GatewaySettings settings;
    private final Path file;
    private final List<Long> starts = new CopyOnWriteArrayList<>();
    private final List<Long> kills = new CopyOnWriteArrayList<>();
    private final List<Long> terminations = new CopyOnWriteArrayList<>();
    private volatile JvmProcess process;

    private SoakEntry(String name, byte[] document, HttpClient http) throws Exception {
        this.name = name;
        this.http = http;
        this.document = document;
        this.settings = GatewaySettingsReader.parse(document);
        this.file = Files.createTempFile(JvmProcess.directory(), name + "-", ".json");
    }

    static SoakEntry start(String name, NetworkAddress keyValue, HttpClient http) throws Exception {
        byte[] document = SmallDeployment.settings(name, keyValue, SmallDeployment.freePorts(4));
        SoakEntry entry = new SoakEntry(name, document, http);
        Files.write(entry.file, document);
        entry.launch();
        return entry;
    }

    String name() {
        return name;
    }

    NetworkAddress callers() {
        return settings.callers();
    }

    void awaitReady() {
        await(name + " is ready").atMost(RECOVERED_WITHIN).until(this::isReady);
    }

    private boolean isReady() throws InterruptedException {
        try {
            return http.send(SmallDeployment.request(settings.readiness(), SmallDeployment.READINESS)
                                    .withNewConnection())
                            .get()
                            .status()
                    == 200;
        } catch (ExecutionException notYet) {
            return false;
        }
    }

    /** Changes the settings file and sends SIGHUP. */
    void reload(int number) throws Exception {
        ObjectNode changed = (ObjectNode) StandInJson.parse(document);
        ((ObjectNode) changed.path("platform").path("bounds")).put("retrySlack", 20 + number % 10);
        Files.write(file, StandInJson.bytes(changed));
        process.reloadSettings();
    }

    void killAndRestart() throws Exception {
        kills.add(System.nanoTime());
        process.kill();
        launch();
        awaitReady();
    }

    /** Sends SIGTERM, SIGKILL at the end of the grace time, and starts the entry again. */
    void terminateAndRestart() throws Exception {
        terminations.add(System.nanoTime());
        process.terminate();
        try {
            process.awaitExit(GRACE.toSeconds());
        } catch (IllegalStateException stillRuns) {
            process.kill();
        }
        launch();
        awaitReady();
    }

    void stop() throws InterruptedException {
        process.kill();
    }

    /** Returns whether the entry was neither started nor signalled from a while before the call to its end. */
    boolean wasInTouch(SoakCall call) {
        long from = call.sentNanos() - CONTACT.toNanos();
        return noneBetween(starts, from, call)
                && noneBetween(kills, from, call)
                && noneBetween(terminations, from, call);
    }

    boolean wasKilledDuring(SoakCall call) {
        return !noneBetween(kills, call.sentNanos(), call);
    }

    /** Returns whether the call ended in the last sixth of the grace time and was sent early enough to be cut there. */
    boolean mayCutAtStop(SoakCall call) {
        return terminations.stream()
                .anyMatch(nanos -> call.endNanos() - nanos >= GRACE.toNanos() * 5 / 6
                        && call.endNanos() - nanos <= GRACE.toNanos() * 2
                        && call.sentNanos() - nanos <= CONTACT.toNanos());
    }

    private static boolean noneBetween(List<Long> times, long from, SoakCall call) {
        return times.stream().noneMatch(nanos -> nanos - from >= 0 && nanos - call.endNanos() <= 0);
    }

    private void launch() throws IOException {
        starts.add(System.nanoTime());
        process = JvmProcess.start(
                name, GatewayMain.class, "--settings", file.toAbsolutePath().toString());
    }
}
