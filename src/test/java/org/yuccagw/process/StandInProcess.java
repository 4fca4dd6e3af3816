package org.yuccagw.process;

import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Splitter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.bench.invariant.ObservedRun;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.faults.FaultProxy;
import org.yuccagw.standins.StandInMain;
import org.yuccagw.standins.http.StandInJson;

/**
 * A stand-in in a process of its own with a fault proxy before it. An engine crashes on order and leaves its record to
 * be read, so that no run of an earlier incarnation is forgotten.
 */
final class StandInProcess {
    private static final Duration START = Duration.ofSeconds(60);
    private static final String READY = "ready ";

    private final String name;
    private final String[] arguments;
    private final HttpClient http;
    private final List<ObservedRun> earlierRuns = new ArrayList<>();
    private final FaultProxy proxy;
    private JvmProcess process;
    private NetworkAddress direct;
    private NetworkAddress control;
    private int incarnation = 1;
    private boolean crashed;

    private StandInProcess(String name, HttpClient http, String... arguments) throws Exception {
        this.name = name;
        this.http = http;
        this.arguments = arguments;
        this.process = JvmProcess.start(name, StandInMain.class, arguments);
        this.proxy = FaultProxy.start(NetworkAddress.of("127.0.0.1", 1));
    }

    /** Starts the process and returns at once. */
    static StandInProcess begin(String name, HttpClient http, String... arguments) throws Exception {
        return new StandInProcess(name, http, arguments);
    }

    /** Waits until it listens, and points the proxy there. */
    StandInProcess awaitReady() {
        String line = await().atMost(START).until(() -> process.line(READY), found -> !found.isEmpty());
        List<String> words = Splitter.on(' ').splitToList(line);
        direct = NetworkAddress.parse(words.get(1));
        control = NetworkAddress.parse(words.get(3));
        proxy.retarget(direct);
        proxy.acceptNew();
        return this;
    }

    String name() {
        return name;
    }

    int incarnation() {
        return incarnation;
    }

    /** Where everybody reaches it: the proxy. */
    NetworkAddress address() {
        return proxy.address();
    }

    FaultProxy proxy() {
        return proxy;
    }

    /** A proxy of one reader alone. */
    FaultProxy ownProxy() {
        return FaultProxy.start(direct);
    }

    JsonNode record() throws Exception {
        HttpResponse answer = http.send(HttpQuery.get(control, "/record")).get(30, TimeUnit.SECONDS);
        return StandInJson.parse(answer.body());
    }

    void turn(JsonNode knobs) throws Exception {
        HttpQuery query = HttpQuery.of("POST", control, "/knobs", StandInJson.bytes(knobs));
        http.send(query).get(30, TimeUnit.SECONDS);
    }

    /** The runs of all its incarnations. */
    List<ObservedRun> runs() throws Exception {
        List<ObservedRun> runs = new ArrayList<>(earlierRuns);
        runs.addAll(ObservedRun.allIn(record()));
        return runs;
    }

    /** Ends an engine as a crash would: nobody reaches it any more, its record stays to be read. */
    void crash() throws Exception {
        turn(StandInJson.object().put("kill", true));
        proxy.refuseNew();
        proxy.cut();
        crashed = true;
    }

    boolean isCrashed() {
        return crashed;
    }

    /** Starts it anew, with empty memory and the next incarnation, behind the same address. */
    void restart() throws Exception {
        proxy.cut();
        earlierRuns.addAll(ObservedRun.allIn(record()));
        process.kill();
        incarnation++;
        crashed = false;
        String[] next = Arrays.copyOf(arguments, arguments.length + 1);
        next[arguments.length] = "incarnation=" + incarnation;
        process = JvmProcess.start(name, StandInMain.class, next);
        awaitReady();
    }

    void stop() throws InterruptedException {
        proxy.stop();
        process.kill();
    }
}
