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
import java.util.stream.Stream;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.settings.GatewaySettings;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.platform.GatewaySettingsReader;
import org.yuccagw.standins.http.StandInJson;
import org.yuccagw.standins.platform.SmallDeployment;

/** An entry of a soak in a process of its own, with the times of its signals and starts. */
final class SoakEntry {
    /** The number of ports on which an entry listens. */
    static final int PORTS = 4;

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
    private final List<Kill> kills = new CopyOnWriteArrayList<>();
    private final List<Long> terminations = new CopyOnWriteArrayList<>();
    private final List<JvmProcess> processes = new CopyOnWriteArrayList<>();
    private volatile JvmProcess process;

    /** The time from a SIGKILL to the end of the process. */
    private record Kill(long sentNanos, long endedNanos) {
        boolean overlaps(long fromNanos, long toNanos) {
            return sentNanos - toNanos <= 0 && endedNanos - fromNanos >= 0;
        }
    }

    private SoakEntry(String name, byte[] document, HttpClient http) throws Exception {
        this.name = name;
        this.http = http;
        this.document = document;
        this.settings = GatewaySettingsReader.parse(document);
        this.file = Files.createTempFile(JvmProcess.directory(), name + "-", ".json");
    }

    static SoakEntry start(String name, NetworkAddress keyValue, HttpClient http) throws Exception {
        return start(name, SmallDeployment.freePorts(PORTS), keyValue, http);
    }

    /** Starts an entry that listens on the given ports, of which it needs {@link #PORTS}. */
    static SoakEntry start(String name, List<Integer> ports, NetworkAddress keyValue, HttpClient http)
            throws Exception {
        byte[] document = SmallDeployment.settings(name, keyValue, ports);
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

    boolean isAlive() {
        return process.isAlive();
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
        long sentNanos = System.nanoTime();
        process.kill();
        kills.add(new Kill(sentNanos, System.nanoTime()));
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

    /** Starts the entry again under its addresses, without waiting until it is ready. */
    void startAgain() throws IOException {
        launch();
    }

    /** Suspends the process: it holds its connections and sends nothing more. */
    void suspend() throws IOException, InterruptedException {
        process.suspend();
    }

    /** Lets a suspended process run again. */
    void resume() throws IOException, InterruptedException {
        process.resume();
    }

    /** Returns whether the entry was neither started nor signalled from a while before the call to its end. */
    boolean wasInTouch(SoakCall call) {
        long from = call.sentNanos() - CONTACT.toNanos();
        return Stream.concat(starts.stream(), terminations.stream())
                        .noneMatch(nanos -> nanos - from >= 0 && nanos - call.endNanos() <= 0)
                && kills.stream().noneMatch(kill -> kill.overlaps(from, call.endNanos()));
    }

    boolean wasKilledDuring(SoakCall call) {
        return kills.stream().anyMatch(kill -> kill.overlaps(call.sentNanos(), call.endNanos()));
    }

    /** Returns whether the call ended in the last sixth of the grace time and was sent early enough to be cut there. */
    boolean mayCutAtStop(SoakCall call) {
        return terminations.stream()
                .anyMatch(nanos -> endedAtStop(call, nanos) && call.sentNanos() - nanos <= CONTACT.toNanos());
    }

    /** Returns whether the call ended in the last sixth of the grace time. */
    boolean endedAtStop(SoakCall call) {
        return terminations.stream().anyMatch(nanos -> endedAtStop(call, nanos));
    }

    private static boolean endedAtStop(SoakCall call, long terminatedNanos) {
        long afterNanos = call.endNanos() - terminatedNanos;
        return afterNanos >= GRACE.toNanos() * 5 / 6 && afterNanos <= GRACE.toNanos() * 7 / 6;
    }

    /** Returns how long the system did not run the process of the entry between the given times. */
    long pausedNanos(long fromNanos, long untilNanos) throws IOException {
        long paused = 0;
        for (JvmProcess each : processes) {
            paused += each.output()
                    .lines()
                    .flatMap(line -> ProcessPause.parse(line).stream())
                    .mapToLong(pause -> pause.nanosWithin(fromNanos, untilNanos))
                    .sum();
        }
        return paused;
    }

    private void launch() throws IOException {
        starts.add(System.nanoTime());
        process = JvmProcess.start(
                name,
                PauseRecordingMain.class,
                "--settings",
                file.toAbsolutePath().toString());
        processes.add(process);
    }
}
