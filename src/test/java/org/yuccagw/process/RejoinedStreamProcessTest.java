package org.yuccagw.process;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.Reporter;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.daemon.StreamCall;
import org.yuccagw.daemon.VersionedEndpoint;
import org.yuccagw.standins.keyvalue.KeyValueSettings;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;
import org.yuccagw.standins.platform.PlatformDocuments;
import org.yuccagw.standins.platform.SmallDeployment;

/** Streams that callers take up after all entries, which are processes of their own, were killed at once. */
@Test(groups = "process")
public class RejoinedStreamProcessTest {
    private static final String OLD = "v1";
    private static final String NEW = "v2";
    private static final int ENTRIES = 3;
    private static final int ENDPOINTS_PER_VERSION = 2;
    private static final int STREAMS = 24;

    /** Below the time limit of the callers, which is six seconds. */
    private static final int ROUTE_TIMEOUT_MILLIS = 1_000;

    private static final long LATER_START_MILLIS = 1_000_000;
    private static final Duration SETTLED = Duration.ofSeconds(1);
    private static final Duration DOWN = Duration.ofMillis(500);
    private static final Duration TAKEN_UP_WITHIN = Duration.ofSeconds(6);
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

    /** The ports of each entry; all cases use the same, one after the other. */
    private final List<List<Integer>> ports = new ArrayList<>();

    private final List<SoakEntry> entries = new ArrayList<>();
    private final List<VersionedEndpoint> endpoints = new ArrayList<>();
    private KeyValueStandIn keyValue;
    private HttpClient httpClient;
    private int sentRequests;

    /** What becomes of the endpoints of the old version. */
    private enum OldVersion {
        STAYS,
        LEAVES_BEFORE,
        LEAVES_MEANWHILE,
        /** The endpoints start again under their ids with the new version. */
        STARTS_AGAIN_AS_NEW
    }

    @DataProvider
    public static Object[][] plays() {
        return new Object[][] {
            {OldVersion.STAYS, 1},
            {OldVersion.STAYS, 2},
            {OldVersion.LEAVES_BEFORE, 1},
            {OldVersion.LEAVES_MEANWHILE, 1},
            {OldVersion.LEAVES_MEANWHILE, 2},
            {OldVersion.STARTS_AGAIN_AS_NEW, 1}
        };
    }

    @AfterMethod(alwaysRun = true)
    public void endAll() throws Exception {
        for (SoakEntry entry : entries) {
            entry.stop();
        }
        for (VersionedEndpoint endpoint : endpoints) {
            endpoint.close();
        }
        entries.clear();
        endpoints.clear();
        httpClient.stop();
        keyValue.stop();
    }

    // Guards against streams that are joined from two software versions, or all refused, once all entries were killed.
    @Test(dataProvider = "plays")
    public void streamsGoOnAtTheirVersionOrNotAtAllAfterAllEntriesWereKilled(OldVersion old, int kills)
            throws Exception {
        start();
        List<StreamCall> begun = beginStreams();
        Thread.sleep(SETTLED.toMillis());
        if (old == OldVersion.LEAVES_BEFORE) {
            endOldVersion(old);
            Thread.sleep(SETTLED.toMillis());
        }
        killAll();
        if (old != OldVersion.STAYS && old != OldVersion.LEAVES_BEFORE) {
            endOldVersion(old);
        }
        restartAll();
        for (int kill = 1; kill < kills; kill++) {
            Thread.sleep(SETTLED.toMillis());
            killAll();
            restartAll();
        }
        assertOutcome(takeUpAll(begun), old);
    }

    private void assertOutcome(List<TakenUp> all, OldVersion old) throws IOException {
        List<TakenUp> joined = all.stream().filter(TakenUp::isJoined).toList();
        List<TakenUp> served = all.stream()
                .filter(stream -> old == OldVersion.STAYS || stream.began().equals(NEW))
                .toList();
        long wentOn = served.stream().filter(TakenUp::wentOn).count();
        Reporter.log(
                old + ": " + joined.size() + " joined, " + wentOn + " of " + served.size()
                        + " went on whose version serves",
                true);
        assertTrue(joined.isEmpty(), "joined: " + joined);
        assertTrue(isNewStreamServed(), "no new streams begin");
        assertTrue(wentOn * 2 >= served.size(), wentOn + " of " + served.size() + " went on: " + all);
    }

    /**
     * A stream that its caller took up.
     *
     * @param began the version that began it
     * @param versions those that its events name, in both answers
     */
    private record TakenUp(String began, Set<String> versions, int status, boolean complete) {
        boolean isJoined() {
            return versions.size() > 1;
        }

        boolean wentOn() {
            return complete && !isJoined();
        }
    }

    private List<StreamCall> beginStreams() throws IOException {
        List<StreamCall> begun = new ArrayList<>();
        while (begun.size() < STREAMS) {
            try (StreamCall call = StreamCall.begin(callers(begun.size()), nextId(), VersionedEndpoint.PAUSE)) {
                begun.add(call.read(VersionedEndpoint.EVENTS_BEFORE_STOP));
                assertEquals(call.versions().size(), VersionedEndpoint.EVENTS_BEFORE_STOP);
            }
        }
        return begun;
    }

    /** Takes the streams up one after the other, over the whole of their callers' time limit. */
    private List<TakenUp> takeUpAll(List<StreamCall> begun) throws Exception {
        List<TakenUp> all = new ArrayList<>();
        for (StreamCall call : begun) {
            String entryRequest = nextId();
            int received = call.versions().size();
            try (StreamCall resumed = StreamCall.resume(callers(all.size()), entryRequest, call.id(), received)
                    .readAll()) {
                Set<String> versions = new HashSet<>(call.versions());
                versions.addAll(resumed.versions());
                all.add(new TakenUp(call.versions().get(0), versions, resumed.status(), resumed.isComplete()));
            }
            Thread.sleep(TAKEN_UP_WITHIN.toMillis() / STREAMS);
        }
        return all;
    }

    private boolean isNewStreamServed() throws IOException {
        try (StreamCall call = StreamCall.begin(callers(0), nextId(), "")) {
            return call.readAll().isComplete();
        }
    }

    private void start() throws Exception {
        keyValue = KeyValueStandIn.start(KeyValueSettings.defaults());
        httpClient = HttpClient.start(1);
        keyValue.put(
                PlatformDocuments.CONFIGURATION,
                PlatformDocuments.configuration(3)
                        .route("/stream/", "streaming", "plain", ROUTE_TIMEOUT_MILLIS, 2)
                        .resumable()
                        .plain("plain")
                        .workspace("ministry", "key-1", false)
                        .bytes());
        for (int index = 0; index < ENDPOINTS_PER_VERSION; index++) {
            register(OLD);
            register(NEW);
        }
        for (int index = 0; index < ENTRIES; index++) {
            if (ports.size() <= index) {
                ports.add(SmallDeployment.freePorts(SoakEntry.PORTS));
            }
            entries.add(SoakEntry.start("entry-" + index, ports.get(index), keyValue.address(), httpClient));
        }
        entries.forEach(SoakEntry::awaitReady);
        await("streams begin").atMost(START_TIMEOUT).until(this::isNewStreamServed);
        Thread.sleep(SETTLED.toMillis());
    }

    private void register(String software) throws IOException {
        VersionedEndpoint endpoint = new VersionedEndpoint(software);
        keyValue.put(key(endpoints.size()), registration(endpoint, 0));
        endpoints.add(endpoint);
    }

    private static byte[] registration(VersionedEndpoint endpoint, long laterMillis) {
        return PlatformDocuments.withSoftware(
                endpoint.software(),
                PlatformDocuments.endpoint("plain", endpoint.address(), "a", false, LATER_START_MILLIS + laterMillis));
    }

    private static String key(int index) {
        return PlatformDocuments.endpointKey("i-" + index);
    }

    private void endOldVersion(OldVersion how) throws IOException {
        for (int index = 0; index < endpoints.size(); index++) {
            if (endpoints.get(index).software().equals(OLD)) {
                endpoints.get(index).close();
                if (how == OldVersion.STARTS_AGAIN_AS_NEW) {
                    endpoints.set(index, new VersionedEndpoint(NEW));
                    keyValue.put(key(index), registration(endpoints.get(index), 1));
                } else {
                    keyValue.remove(key(index));
                }
            }
        }
    }

    private void killAll() throws Exception {
        for (SoakEntry entry : entries) {
            entry.stop();
        }
    }

    private void restartAll() throws Exception {
        Thread.sleep(DOWN.toMillis());
        for (SoakEntry entry : entries) {
            entry.startAgain();
        }
        entries.forEach(SoakEntry::awaitReady);
    }

    private NetworkAddress callers(int number) {
        return entries.get(number % ENTRIES).callers();
    }

    private String nextId() {
        sentRequests++;
        return "request-" + sentRequests;
    }
}
