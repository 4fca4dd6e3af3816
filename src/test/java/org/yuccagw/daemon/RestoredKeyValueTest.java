package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.bench.control.InMemoryKeyValue;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.peers.PeersSnapshot;

/** The key-value service is restored from an older copy: revisions go back, and are granted again for other writes. */
public class RestoredKeyValueTest {
    private static final String DUTY_KEY = "yuccagw/duty/weights";
    private static final int[] FLEET_SIZES = {3, 8, 23, 66, 95};
    private static final List<Duration> ABSENCES =
            List.of(Duration.ZERO, Duration.ofMillis(300), Duration.ofSeconds(3));
    private static final Duration START = Duration.ofSeconds(7);
    private static final Duration COPY_AGE = Duration.ofSeconds(2);
    /** How long after a restoration the bounds on changes hold again. */
    private static final Duration SETTLING = Duration.ofMillis(3300);
    /** Within it an accepted change has to be in force at all entries. */
    private static final Duration CHANGE_LIMIT = Duration.ofSeconds(2);
    /** What the service grants to all entries together, in calls a second. */
    private static final long READS_PER_SECOND = 2_000;

    private static final int WRITES_PER_SECOND = 400;
    private static final int WATCHED_SECONDS = 10;
    private static final int LOST_WRITES = 6;

    /** How far the revisions have come again, against the highest that entries know, when the next change is made. */
    private enum Progress {
        BEHIND(2),
        EQUAL(LOST_WRITES - 1),
        PAST(LOST_WRITES + 3);

        private final int writes;

        Progress(int writes) {
            this.writes = writes;
        }
    }

    @DataProvider
    public static Object[][] sizes() {
        List<Object[]> cases = new ArrayList<>();
        for (int size : FLEET_SIZES) {
            cases.add(new Object[] {size});
        }
        return cases.toArray(new Object[0][]);
    }

    @DataProvider
    public static Object[][] restorations() {
        List<Object[]> cases = new ArrayList<>();
        for (Progress progress : Progress.values()) {
            for (Duration away : ABSENCES) {
                cases.add(new Object[] {3, away, progress});
            }
        }
        cases.add(new Object[] {8, ABSENCES.get(0), Progress.BEHIND});
        cases.add(new Object[] {8, ABSENCES.get(1), Progress.EQUAL});
        cases.add(new Object[] {8, ABSENCES.get(2), Progress.PAST});
        cases.add(new Object[] {23, ABSENCES.get(1), Progress.PAST});
        cases.add(new Object[] {66, ABSENCES.get(2), Progress.EQUAL});
        cases.add(new Object[] {95, ABSENCES.get(0), Progress.BEHIND});
        return cases.toArray(new Object[0][]);
    }

    // Guards against requests to an endpoint whose removal got a revision that had been granted before.
    @Test(dataProvider = "restorations")
    public void anEndpointThatLeavesAfterARestorationIsNotUsed(int entries, Duration away, Progress progress) {
        Play play = Play.settledAfterRestoration(entries, away, progress);
        play.fleet.expireRegistration("plain-1");
        play.assertUnusedInTime("plain-1");
    }

    // Guards against a drain that is taken for seen.
    @Test(dataProvider = "restorations")
    public void anEndpointThatDrainsAfterARestorationIsNotUsed(int entries, Duration away, Progress progress) {
        Play play = Play.settledAfterRestoration(entries, away, progress);
        play.fleet.markPlainLeaving("plain-1");
        play.assertUnusedInTime("plain-1");
    }

    // Guards against a configuration that is taken for seen.
    @Test(dataProvider = "restorations")
    public void aConfigurationAfterARestorationIsInForceInTime(int entries, Duration away, Progress progress) {
        Play play = Play.settledAfterRestoration(entries, away, progress);
        play.fleet.configure(9);
        play.fleet.bench.runFor(CHANGE_LIMIT);
        assertEquals(play.entriesNotAt(9), List.of());
    }

    // Guards against an older copy of the configuration that replaces a newer one.
    @Test(dataProvider = "sizes")
    public void noEntryGoesBackToTheConfigurationOfTheCopy(int entries) {
        Play play = Play.start(entries);
        InMemoryKeyValue.Copy copy = play.fleet.bench.keyValue().copy();
        play.fleet.configure(2);
        play.fleet.bench.runFor(COPY_AGE);
        play.fleet.bench.keyValue().restore(copy);
        for (int step = 0; step < 40; step++) {
            play.fleet.bench.runFor(Duration.ofMillis(100));
            assertEquals(play.entriesNotAt(2), List.of());
        }
    }

    // Guards against an older copy that returns an endpoint to use.
    @Test(dataProvider = "sizes")
    public void endpointsThatLeftBeforeARestorationStayUnused(int entries) {
        Play play = Play.start(entries);
        InMemoryKeyValue.Copy copy = play.fleet.bench.keyValue().copy();
        play.fleet.expireRegistration("plain-1");
        play.fleet.markPlainLeaving("plain-2");
        play.fleet.bench.runFor(COPY_AGE);
        play.fleet.bench.keyValue().restore(copy);
        for (int step = 0; step < 40; step++) {
            play.fleet.bench.runFor(Duration.ofMillis(100));
            assertEquals(play.entriesUsing("plain-1"), List.of());
            assertEquals(play.entriesUsing("plain-2"), List.of());
        }
    }

    // Guards against the loss of endpoints that the copy lacks and that register again.
    @Test(dataProvider = "sizes")
    public void anEndpointThatTheCopyLacksIsUsedWhileItMayRegisterAgain(int entries) {
        Play play = Play.start(entries);
        InMemoryKeyValue.Copy copy = play.fleet.bench.keyValue().copy();
        play.fleet.addPlain("plain-new");
        play.fleet.addPlain("plain-lost");
        play.fleet.bench.runFor(COPY_AGE);
        play.fleet.bench.keyValue().restore(copy);
        play.fleet.bench.runFor(Duration.ofMillis(1500));
        assertEquals(play.entriesUsing("plain-new").size(), entries);
        play.fleet.addPlain("plain-new");
        play.fleet.bench.runFor(SETTLING);
        assertEquals(play.entriesUsing("plain-new").size(), entries);
        assertEquals(play.entriesUsing("plain-lost"), List.of());
    }

    // Guards against entries that mix the histories of two restorations.
    @Test(dataProvider = "sizes")
    public void anEndpointThatLeavesAfterTwoRestorationsIsNotUsed(int entries) {
        Play play = Play.start(entries);
        play.restore(Duration.ofMillis(300), Progress.BEHIND);
        play.fleet.bench.runFor(Duration.ofMillis(700));
        play.restore(Duration.ZERO, Progress.EQUAL);
        play.fleet.bench.runFor(SETTLING);
        play.fleet.expireRegistration("plain-1");
        play.assertUnusedInTime("plain-1");
    }

    // Guards against an entry that holds the earlier history and confirms others with it.
    @Test(dataProvider = "restorations")
    public void anEntryThatTheServiceRejectsLearnsOfChangesFromOthers(int entries, Duration away, Progress progress) {
        Play play = Play.start(entries);
        play.fleet.bench.keyValue().cutOff(play.nodes.get(0).entry());
        play.restore(away, progress);
        play.fleet.bench.runFor(SETTLING);
        play.fleet.expireRegistration("plain-1");
        play.assertUnusedInTime("plain-1");
    }

    // Guards against orders of two holders, and against fencing numbers that fall.
    @Test(dataProvider = "restorations")
    public void fencingNumbersRiseOverARestoration(int entries, Duration away, Progress progress) {
        Play play = Play.start(entries);
        play.fleet.nameWeights(2);
        assertTrue(play.fleet.bench.runUntil(() -> play.fleet.allEnginesRun(2), Duration.ofSeconds(8)));
        play.restore(away, progress);
        play.fleet.nameWeights(3);
        assertTrue(play.fleet.bench.runUntil(() -> play.fleet.allEnginesRun(3), Duration.ofSeconds(12)));
        play.assertOneHolderAtATime();
    }

    // Guards against a holder of the earlier history that orders beside the one of the later.
    @Test(dataProvider = "sizes")
    public void aHolderWhoseClaimTheCopyLacksStopsBeforeAnotherStarts(int entries) {
        Play play = Play.start(entries);
        InMemoryKeyValue.Copy copy = play.fleet.bench.keyValue().copy();
        play.killHolder();
        play.fleet.nameWeights(2);
        assertTrue(play.fleet.bench.runUntil(() -> play.fleet.orders.size() > 1, Duration.ofSeconds(12)));
        play.fleet.bench.keyValue().restore(copy);
        play.fleet.nameWeights(3);
        assertTrue(play.fleet.bench.runUntil(() -> play.fleet.allEnginesRun(3), Duration.ofSeconds(20)));
        play.assertOneHolderAtATime();
    }

    @DataProvider
    public static Object[][] smallSizes() {
        return new Object[][] {{3}, {8}};
    }

    // Guards against an entry that starts and orders while the holder hasn't noticed the restoration.
    @Test(dataProvider = "smallSizes")
    public void anEntryThatStartsWaitsForAHolderWhoseClaimTheCopyLacks(int entries) {
        Play play = Play.start(entries);
        play.killHolder();
        InMemoryKeyValue keyValue = play.fleet.bench.keyValue();
        assertTrue(play.fleet.bench.runUntil(() -> keyValue.peek(DUTY_KEY).isEmpty(), Duration.ofSeconds(5)));
        InMemoryKeyValue.Copy copy = keyValue.copy();
        play.fleet.dropOrders();
        play.fleet.nameWeights(2);
        assertTrue(play.fleet.bench.runUntil(() -> !play.fleet.orders.isEmpty(), Duration.ofSeconds(12)));
        EntryId holder = play.fleet.orders.get(0).from();
        BenchNode unaware = play.nodes.stream()
                .filter(node -> node.entry().equals(holder))
                .findFirst()
                .orElseThrow();
        play.fleet.bench.cutFromAll(unaware);
        keyValue.cutOff(holder);
        keyValue.restore(copy);
        play.fleet.nameWeights(2);
        play.startEntries(entries, entries + 1);
        play.fleet.bench.cut(unaware, play.nodes.get(entries));
        play.fleet.bench.runFor(Duration.ofSeconds(12));
        assertTrue(play.fleet.orders.stream().anyMatch(order -> !order.from().equals(holder)));
        play.assertOneHolderAtATime();
    }

    // Guards against a loop of calls while the revisions are behind.
    @Test(dataProvider = "restorations")
    public void callsStayWithinTheRatesAfterARestoration(int entries, Duration away, Progress progress) {
        Play play = Play.start(entries);
        play.restore(away, progress);
        long mostCallsOfAnEntry = 0;
        for (int second = 0; second < WATCHED_SECONDS; second++) {
            play.fleet.bench.keyValue().forgetCalls();
            play.fleet.bench.runFor(Duration.ofSeconds(1));
            long calls = play.fleet.bench.keyValue().calls();
            assertTrue(calls < READS_PER_SECOND, calls + " calls in second " + second);
            long writes = play.fleet.bench.keyValue().callsByKind().getOrDefault("CompareAndSwap", 0L);
            assertTrue(writes < WRITES_PER_SECOND, writes + " writes in second " + second);
            mostCallsOfAnEntry = Math.max(mostCallsOfAnEntry, calls / entries);
        }
        assertTrue(mostCallsOfAnEntry <= 20, mostCallsOfAnEntry + " calls a second of each entry");
    }

    // Guards against entries that are missing in directories since their registration is gone.
    @Test(dataProvider = "sizes")
    public void directoriesAreWholeAfterARestorationThatLacksEntries(int entries) {
        Play play = Play.start(entries, false);
        InMemoryKeyValue.Copy copy = play.fleet.bench.keyValue().copy();
        play.startRest();
        play.fleet.bench.runFor(START);
        play.fleet.bench.keyValue().restore(copy);
        play.fleet.bench.runFor(Duration.ofSeconds(4));
        play.assertDirectoriesWhole();
        assertEquals(play.registeredEntries(), entries);
        play.fleet.bench.runFor(Duration.ofSeconds(16));
        play.assertDirectoriesWhole();
        assertEquals(play.registeredEntries(), entries);
    }

    /** A fleet in front of three plain endpoints and four engines. */
    private static final class Play {
        private static final int PLAIN_ENDPOINTS = 3;
        private static final int ENGINES = 4;
        private static final int DOMAINS = 3;

        private final VirtualFleet fleet = new VirtualFleet();
        private final List<BenchNode> nodes = new ArrayList<>();
        private final int entries;

        private Play(int entries) {
            this.entries = entries;
        }

        private static Play start(int entries) {
            return start(entries, true);
        }

        private static Play start(int entries, boolean all) {
            Play play = new Play(entries);
            play.startEntries(0, all ? entries : (entries + 1) / 2);
            play.fleet.configure(1);
            for (int index = 0; index < PLAIN_ENDPOINTS; index++) {
                play.fleet.addPlain("plain-" + index);
            }
            for (int index = 0; index < ENGINES; index++) {
                play.fleet.addEngine("engine-" + index);
            }
            play.fleet.bench.runFor(START);
            return play;
        }

        private static Play settledAfterRestoration(int entries, Duration away, Progress progress) {
            Play play = start(entries);
            play.restore(away, progress);
            play.fleet.bench.runFor(SETTLING);
            return play;
        }

        private void startRest() {
            startEntries(nodes.size(), entries);
        }

        private void startEntries(int from, int to) {
            for (int index = from; index < to; index++) {
                nodes.add(fleet.start("entry-" + index, FailureDomain.of("domain-" + index % DOMAINS)));
            }
        }

        /** Copies, makes further writes, restores the copy, and makes as many writes as the progress says. */
        private void restore(Duration away, Progress progress) {
            InMemoryKeyValue keyValue = fleet.bench.keyValue();
            InMemoryKeyValue.Copy copy = keyValue.copy();
            writeOthers(LOST_WRITES, "lost");
            fleet.bench.runFor(COPY_AGE);
            long known = keyValue.revision();
            keyValue.setDown(true);
            fleet.bench.runFor(away);
            keyValue.restore(copy);
            keyValue.setDown(false);
            while (keyValue.revision() < known - LOST_WRITES + progress.writes) {
                writeOthers(1, "again");
            }
        }

        private void writeOthers(int count, String value) {
            for (int index = 0; index < count; index++) {
                fleet.bench.keyValue().put("other/" + index, value.getBytes(StandardCharsets.UTF_8));
            }
        }

        private List<EntryId> entriesUsing(String endpoint) {
            return nodes.stream()
                    .filter(node -> !node.isDead() && fleet.isUsable(node, endpoint))
                    .map(BenchNode::entry)
                    .toList();
        }

        private void assertUnusedInTime(String endpoint) {
            fleet.bench.runFor(CHANGE_LIMIT);
            assertEquals(entriesUsing(endpoint), List.of());
        }

        private List<EntryId> entriesNotAt(long version) {
            return nodes.stream()
                    .filter(node -> !node.isDead() && VirtualFleet.configurationOf(node) != version)
                    .map(BenchNode::entry)
                    .toList();
        }

        private void killHolder() {
            fleet.nameWeights(1);
            fleet.bench.runFor(Duration.ofSeconds(1));
            String claim = new String(fleet.bench.keyValue().peek(DUTY_KEY).orElseThrow(), StandardCharsets.UTF_8);
            nodes.stream()
                    .filter(node -> claim.contains('"' + node.entry().value() + '"'))
                    .forEach(BenchNode::kill);
        }

        /** Asserts that fencing numbers never fall, and that each belongs to one entry. */
        private void assertOneHolderAtATime() {
            VirtualFleet.Order previous = null;
            for (VirtualFleet.Order order : fleet.orders) {
                if (previous != null) {
                    assertTrue(order.fence() >= previous.fence(), order + " after " + previous);
                    boolean sameHolder = order.from().equals(previous.from());
                    assertTrue(sameHolder || order.fence() > previous.fence(), order + " after " + previous);
                    long apartNanos = order.atNanos() - previous.atNanos();
                    assertTrue(
                            sameHolder || apartNanos >= VirtualFleet.SEPARATION.toNanos(),
                            order + " too soon after " + previous);
                }
                previous = order;
            }
        }

        private void assertDirectoriesWhole() {
            for (BenchNode node : nodes) {
                int listed =
                        node.state(PeersSnapshot.class).orElseThrow().serving().size();
                assertEquals(listed, entries, "directory of " + node.entry());
            }
        }

        private long registeredEntries() {
            return nodes.stream()
                    .filter(node -> fleet.bench
                            .keyValue()
                            .peek("yuccagw/entry/" + node.entry())
                            .isPresent())
                    .count();
        }
    }
}
