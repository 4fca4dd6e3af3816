package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.bench.control.InMemoryKeyValue;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.peers.PeersSnapshot;

/** Entries that start while the key-value service holds an older copy than what other entries know. */
public class StartAfterRestorationTest {
    private static final int[] FLEET_SIZES = {3, 8, 23, 66, 95};
    private static final int DOMAINS = 3;
    private static final Duration SETTLING = Duration.ofSeconds(7);
    private static final Duration COPY_AGE = Duration.ofSeconds(2);
    private static final Duration AWAY = Duration.ofMillis(300);
    /** For how long the service holds the copy, before operators and endpoints write again. */
    private static final Duration GAP = Duration.ofMillis(2500);

    private static final Duration STEP = Duration.ofMillis(20);
    /** A start may take this much longer than the answer of the service. */
    private static final Duration START_LIMIT = Duration.ofMillis(600);

    private static final Duration RECOVERY_LIMIT = Duration.ofSeconds(12);

    private static final int FIRST_SEED = 5;

    private VirtualFleet fleet;
    private List<BenchNode> nodes;

    /** When an entry starts, relative to the restoration. */
    private enum StartTime {
        WHILE_AWAY,
        AT_THE_RETURN,
        AFTER_THE_RETURN
    }

    @DataProvider
    public static Object[][] starts() {
        List<Object[]> cases = new ArrayList<>();
        for (int size : FLEET_SIZES) {
            for (StartTime time : StartTime.values()) {
                cases.add(new Object[] {size, time, true});
                cases.add(new Object[] {size, time, false});
            }
        }
        return cases.toArray(new Object[0][]);
    }

    @DataProvider
    public static Object[][] sizes() {
        List<Object[]> cases = new ArrayList<>();
        for (int size : FLEET_SIZES) {
            cases.add(new Object[] {size});
        }
        return cases.toArray(new Object[0][]);
    }

    // Guards against a started entry that serves by an older configuration than the others.
    @Test(dataProvider = "starts")
    public void aStartedEntryNeverServesByTheConfigurationOfTheCopy(int entries, StartTime time, boolean again) {
        start(entries);
        InMemoryKeyValue.Copy copy = fleet.bench.keyValue().copy();
        fleet.configure(2);
        BenchNode started = restoreAndStart(copy, time, again);
        for (Duration passed = Duration.ZERO; passed.compareTo(GAP) < 0; passed = passed.plus(STEP)) {
            fleet.bench.runFor(STEP);
            long version = VirtualFleet.configurationOf(started);
            assertTrue(version == 0 || version == 2, "serves by version " + version + " after " + passed);
        }
        assertEquals(VirtualFleet.configurationOf(started), 2);
    }

    // Guards against a started entry that sends requests to endpoints that the others know to have left.
    @Test(dataProvider = "starts")
    public void aStartedEntryNeverUsesEndpointsThatLeftBeforeTheRestoration(
            int entries, StartTime time, boolean again) {
        start(entries);
        InMemoryKeyValue.Copy copy = fleet.bench.keyValue().copy();
        fleet.expireRegistration("plain-1");
        fleet.markPlainLeaving("plain-2");
        BenchNode started = restoreAndStart(copy, time, again);
        for (Duration passed = Duration.ZERO; passed.compareTo(GAP) < 0; passed = passed.plus(STEP)) {
            fleet.bench.runFor(STEP);
            if (isServing(started)) {
                assertTrue(!fleet.isUsable(started, "plain-1"), "uses an endpoint that is gone after " + passed);
                assertTrue(!fleet.isUsable(started, "plain-2"), "uses an endpoint that drains after " + passed);
            }
        }
        assertTrue(isServing(started) && fleet.isUsable(started, "plain-0"));
    }

    // Guards against a started entry that doesn't know of an endpoint's return once the copy has been corrected.
    @Test(dataProvider = "sizes")
    public void aStartedEntryFollowsTheServiceOnceItIsCorrected(int entries) {
        start(entries);
        InMemoryKeyValue.Copy copy = fleet.bench.keyValue().copy();
        fleet.configure(2);
        fleet.expireRegistration("plain-1");
        BenchNode started = restoreAndStart(copy, StartTime.AFTER_THE_RETURN, true);
        fleet.bench.runFor(GAP);
        fleet.configure(3);
        fleet.addPlain("plain-3");
        fleet.expireRegistration("plain-0");
        fleet.bench.runFor(COPY_AGE);
        assertEquals(VirtualFleet.configurationOf(started), 3);
        assertTrue(fleet.isUsable(started, "plain-3"));
        assertTrue(!fleet.isUsable(started, "plain-0"));
    }

    // Guards against an entry that was cut off over the restoration and takes the copy for the truth.
    @Test(dataProvider = "sizes")
    public void anEntryThatWasCutOffOverTheRestorationDoesNotServeByTheCopy(int entries) {
        start(entries);
        BenchNode cutOff = nodes.get(1);
        fleet.bench.cutFromAll(cutOff);
        fleet.bench.keyValue().cutOff(cutOff.entry());
        fleet.bench.runFor(Duration.ofMillis(200));
        InMemoryKeyValue.Copy copy = fleet.bench.keyValue().copy();
        fleet.configure(2);
        fleet.expireRegistration("plain-1");
        fleet.bench.runFor(COPY_AGE);
        fleet.bench.keyValue().restore(copy);
        fleet.bench.runFor(Duration.ofMillis(500));
        fleet.bench.healNetwork();
        fleet.bench.keyValue().reach(cutOff.entry());
        fleet.bench.runFor(GAP);
        assertEquals(VirtualFleet.configurationOf(cutOff), 2);
        assertTrue(!fleet.isUsable(cutOff, "plain-1"));
    }

    @DataProvider
    public static Object[][] sizesAndSeeds() {
        List<Object[]> cases = new ArrayList<>();
        for (int size : new int[] {8, 23, 66}) {
            for (int seed = 1; seed <= 5; seed++) {
                cases.add(new Object[] {size, seed});
            }
        }
        return cases.toArray(new Object[0][]);
    }

    // Guards against a started entry that is satisfied with the answers of entries which know no more than the copy.
    @Test(dataProvider = "sizesAndSeeds")
    public void aStartedEntryPrefersAnswersThatCoverTheTimeBeforeTheRestoration(int entries, int seed) {
        start(entries, seed);
        InMemoryKeyValue.Copy copy = fleet.bench.keyValue().copy();
        fleet.configure(2);
        fleet.bench.runFor(COPY_AGE);
        int unaware = entries * 2 / 3;
        nodes.subList(0, unaware).forEach(BenchNode::kill);
        fleet.bench.keyValue().restore(copy);
        for (int one = 0; one < unaware; one++) {
            for (int other = unaware; other < entries; other++) {
                fleet.bench.cut(nodes.get(one), nodes.get(other));
            }
        }
        for (int index = 1; index < unaware; index++) {
            nodes.set(index, startEntry(index));
        }
        fleet.bench.runFor(Duration.ofSeconds(2));
        fleet.bench.healNetwork();
        BenchNode started = startEntry(0);
        while (!isServing(started)) {
            fleet.bench.runFor(STEP);
        }
        assertEquals(VirtualFleet.configurationOf(started), 2);
    }

    // Guards against starts that wait for others which don't answer, or which start as well.
    @Test(dataProvider = "sizes")
    public void aStartWaitsOnlyBrieflyForOthers(int entries) {
        start(entries);
        fleet.configure(2);
        nodes.forEach(BenchNode::kill);
        long beforeNanos = fleet.bench.time().nowNanos();
        startAll(entries);
        assertTrue(fleet.bench.runUntil(() -> nodes.stream().allMatch(this::isServing), RECOVERY_LIMIT));
        long tookMillis = (fleet.bench.time().nowNanos() - beforeNanos) / 1_000_000;
        assertTrue(tookMillis <= START_LIMIT.toMillis(), "all serve after " + tookMillis + " ms");
        nodes.forEach(node -> assertEquals(VirtualFleet.configurationOf(node), 2));
    }

    // Guards against a fleet that doesn't come back when it loses power right after an acknowledged change.
    @Test(dataProvider = "sizes")
    public void allThatStartAtOnceServeByTheLastAcknowledgedConfiguration(int entries) {
        start(entries);
        fleet.configure(2);
        nodes.forEach(BenchNode::kill);
        fleet.expireRegistration("plain-0");
        fleet.expireRegistration("plain-1");
        fleet.expireRegistration("plain-2");
        fleet.bench.runFor(Duration.ofSeconds(2));
        startAll(entries);
        fleet.addPlain("plain-10");
        fleet.bench.runFor(RECOVERY_LIMIT.dividedBy(4));
        nodes.forEach(node -> {
            assertEquals(VirtualFleet.configurationOf(node), 2);
            assertTrue(fleet.isUsable(node, "plain-10"));
            assertEquals(node.state(PeersSnapshot.class).orElseThrow().serving().size(), entries);
        });
    }

    private void start(int entries) {
        start(entries, FIRST_SEED);
    }

    private void start(int entries, int seed) {
        fleet = new VirtualFleet(seed);
        startAll(entries);
        fleet.configure(1);
        for (int index = 0; index < 3; index++) {
            fleet.addPlain("plain-" + index);
        }
        fleet.bench.runFor(SETTLING);
    }

    private void startAll(int entries) {
        nodes = new ArrayList<>();
        for (int index = 0; index < entries; index++) {
            nodes.add(startEntry(index));
        }
    }

    private BenchNode startEntry(int index) {
        return fleet.start("entry-" + index, FailureDomain.of("domain-" + index % DOMAINS));
    }

    /**
     * Lets the service go away and come back from the copy, and starts an entry.
     *
     * @param again whether the entry ran before
     */
    private BenchNode restoreAndStart(InMemoryKeyValue.Copy copy, StartTime time, boolean again) {
        InMemoryKeyValue keyValue = fleet.bench.keyValue();
        fleet.bench.runFor(COPY_AGE);
        keyValue.setDown(true);
        if (again) {
            nodes.get(0).kill();
        }
        fleet.bench.runFor(AWAY);
        int index = again ? 0 : nodes.size();
        if (time == StartTime.WHILE_AWAY) {
            BenchNode started = startEntry(index);
            fleet.bench.runFor(AWAY);
            keyValue.restore(copy);
            keyValue.setDown(false);
            return started;
        }
        keyValue.restore(copy);
        keyValue.setDown(false);
        if (time == StartTime.AFTER_THE_RETURN) {
            fleet.bench.runFor(Duration.ofSeconds(1));
        }
        return startEntry(index);
    }

    private boolean isServing(BenchNode node) {
        return VirtualFleet.configurationOf(node) != 0;
    }
}
