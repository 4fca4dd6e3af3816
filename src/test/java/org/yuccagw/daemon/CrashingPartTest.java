package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.core.prompt.PromptPart;
import org.yuccagw.daemon.PausingEndpoint.Failure;

/** Guards against one part of prompts that makes one engine after the other fail, and against blaming sound parts. */
public class CrashingPartTest {
    /** Such requests may reach engines this often later than the contact time after the fifth crash. */
    private static final int MAX_LATER_ARRIVALS = 3;

    /** Sound requests have to be served at least half as often as before. */
    private static final double MIN_SOUND_SHARE = 0.5;

    private static final Duration TRAFFIC_TIME = Duration.ofSeconds(30);
    private static final Duration END_TIME = Duration.ofSeconds(13);
    private static final Duration SOUND_INTERVAL = Duration.ofMillis(20);
    private static final Duration CRASHING_INTERVAL = Duration.ofMillis(400);

    /** Numbers of entries, with seeds. */
    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{3, 1}, {8, 2}, {23, 3}, {66, 4}, {95, 5}};
    }

    @DataProvider
    public Object[][] meshAndLeads() {
        return new Object[][] {{8, 6}, {23, 7}};
    }

    @Test(dataProvider = "sizes")
    public void aPartThatCrashesEnginesIsRefusedWhateverElseTheRequestHolds(int entries, long seed) {
        CrashingPartFleet fleet = CrashingPartFleet.start(entries, seed);
        sendBoth(fleet, CRASHING_INTERVAL);
        fleet.runFor(TRAFFIC_TIME.plus(END_TIME));
        assertKept(fleet);
    }

    @Test(dataProvider = "meshAndLeads")
    public void rareRequestsWithSuchAPartAreRefusedToo(int entries, long seed) {
        CrashingPartFleet fleet = CrashingPartFleet.start(entries, seed + 100);
        fleet.sendSound(Duration.ofSeconds(90), Duration.ofMillis(100));
        fleet.sendCrashing(Duration.ofSeconds(90), Duration.ofSeconds(3));
        fleet.runFor(Duration.ofSeconds(90).plus(END_TIME));
        assertKept(fleet);
    }

    @Test(dataProvider = "meshAndLeads")
    public void suchRequestsOfARouteThatRunsThemThreeTimesAreRefusedToo(int entries, long seed) {
        CrashingPartFleet fleet = CrashingPartFleet.start(entries, seed + 200);
        fleet.setCrashingPath(VirtualCallers.THRICE);
        sendBoth(fleet, CRASHING_INTERVAL);
        fleet.runFor(TRAFFIC_TIME.plus(END_TIME));
        assertKept(fleet);
    }

    @Test(dataProvider = "meshAndLeads")
    public void suchRequestsThatMayRunOnceAreRefusedToo(int entries, long seed) {
        CrashingPartFleet fleet = CrashingPartFleet.start(entries, seed + 300);
        fleet.setCrashingPath(VirtualCallers.ONCE);
        sendBoth(fleet, CRASHING_INTERVAL);
        fleet.runFor(TRAFFIC_TIME.plus(END_TIME));
        assertKept(fleet);
    }

    @Test(dataProvider = "meshAndLeads")
    public void suchRequestsWhoseAnswersLookCompleteAreRefusedToo(int entries, long seed) {
        CrashingPartFleet fleet = CrashingPartFleet.start(entries, seed + 320);
        fleet.sendUnframedAnswers();
        sendBoth(fleet, CRASHING_INTERVAL);
        fleet.runFor(TRAFFIC_TIME.plus(END_TIME));
        assertKept(fleet);
    }

    @Test(dataProvider = "meshAndLeads")
    public void burstsOfSuchRequestsAreRefusedToo(int entries, long seed) {
        CrashingPartFleet fleet = CrashingPartFleet.start(entries, seed + 350);
        fleet.sendSound(TRAFFIC_TIME, SOUND_INTERVAL);
        fleet.repeat(
                TRAFFIC_TIME,
                Duration.ofSeconds(7),
                () -> fleet.sendCrashing(Duration.ofMillis(20), Duration.ofMillis(1)));
        fleet.runFor(TRAFFIC_TIME.plus(END_TIME));
        assertKept(fleet);
    }

    @Test(dataProvider = "meshAndLeads")
    public void suchRequestsThatShareTwoPartsOfTheirOwnAreRefusedToo(int entries, long seed) {
        CrashingPartFleet fleet = CrashingPartFleet.start(entries, seed + 360);
        fleet.setCrashingFirst(new PromptPart("companion", 200));
        sendBoth(fleet, CRASHING_INTERVAL);
        fleet.runFor(TRAFFIC_TIME.plus(END_TIME));
        assertKept(fleet);
    }

    @Test(dataProvider = "meshAndLeads")
    public void suchRequestsAreRefusedWhereThereAreNoSoundOnes(int entries, long seed) {
        CrashingPartFleet fleet = CrashingPartFleet.start(entries, seed + 370);
        fleet.sendCrashing(TRAFFIC_TIME, CRASHING_INTERVAL);
        fleet.runFor(TRAFFIC_TIME.plus(END_TIME));
        assertTrue(fleet.crashes() > 0);
        assertTrue(
                fleet.arrivalsAfterCountedCrash() <= MAX_LATER_ARRIVALS, fleet.arrivalsAfterCountedCrash() + " more");
    }

    @Test(dataProvider = "sizes")
    public void thePartStaysRefusedWhileEntriesRestart(int entries, long seed) {
        CrashingPartFleet fleet = CrashingPartFleet.start(entries, seed + 400);
        sendBoth(fleet, CRASHING_INTERVAL);
        for (int index = 0; index < Math.min(entries, 10); index++) {
            fleet.runFor(Duration.ofSeconds(2));
            fleet.restart(index);
        }
        fleet.runFor(TRAFFIC_TIME.plus(END_TIME));
        assertKept(fleet);
    }

    @Test(dataProvider = "meshAndLeads")
    public void thePartStaysRefusedAtAnEntryThatWasCutOffFromTheOthers(int entries, long seed) {
        CrashingPartFleet fleet = CrashingPartFleet.start(entries, seed + 500);
        fleet.callers.load.fleet.bench.cutFromAll(fleet.nodes().get(1));
        sendBoth(fleet, CRASHING_INTERVAL);
        fleet.runFor(Duration.ofSeconds(4));
        fleet.callers.load.fleet.bench.healNetwork();
        fleet.runFor(TRAFFIC_TIME.plus(END_TIME));
        assertKept(fleet);
    }

    @Test(dataProvider = "sizes")
    public void enginesThatCrashByChanceHaveNoRequestRefused(int entries, long seed) {
        CrashingPartFleet fleet = CrashingPartFleet.start(entries, seed + 600);
        fleet.sendSound(TRAFFIC_TIME, SOUND_INTERVAL);
        fleet.repeat(
                TRAFFIC_TIME,
                Duration.ofMillis(1_300),
                () -> fleet.randomEngine().kill());
        fleet.runFor(TRAFFIC_TIME.plus(END_TIME));
        assertTrue(fleet.crashes() > CrashingPartFleet.COUNTED_CRASH);
        assertEquals(fleet.soundRefusedAsSuspect(), 0);
    }

    @Test(dataProvider = "meshAndLeads")
    public void enginesThatCrashAtTheSameTimeHaveNoRequestRefused(int entries, long seed) {
        CrashingPartFleet fleet = CrashingPartFleet.start(entries, seed + 700);
        fleet.sendSound(TRAFFIC_TIME, SOUND_INTERVAL);
        fleet.repeat(TRAFFIC_TIME, Duration.ofSeconds(8), () -> {
            for (int count = 0; count < 6; count++) {
                fleet.randomEngine().kill();
            }
        });
        fleet.runFor(TRAFFIC_TIME.plus(END_TIME));
        assertEquals(fleet.soundRefusedAsSuspect(), 0);
    }

    // Guards against a part that is rarer than others being blamed when a service answers again after a failure of all.
    @Test(dataProvider = "meshAndLeads")
    public void allEnginesThatCrashAtOnceHaveNoRequestRefused(int entries, long seed) {
        CrashingPartFleet fleet = CrashingPartFleet.start(entries, seed + 750);
        fleet.sendSound(TRAFFIC_TIME, SOUND_INTERVAL);
        fleet.sendSound(TRAFFIC_TIME, SOUND_INTERVAL.multipliedBy(8), new PromptPart("rare", 200));
        fleet.repeat(
                TRAFFIC_TIME,
                Duration.ofSeconds(9),
                () -> fleet.runningEngines().forEach(PausingEndpoint::kill));
        fleet.runFor(TRAFFIC_TIME.plus(END_TIME));
        assertEquals(fleet.soundRefusedAsSuspect(), 0);
    }

    @Test(dataProvider = "meshAndLeads")
    public void connectionsThatBreakHaveNoRequestRefusedWhileTheirEnginesRun(int entries, long seed) {
        CrashingPartFleet fleet = CrashingPartFleet.start(entries, seed + 800);
        fleet.callers.engines.forEach(engine -> engine.setFailure(Optional.of(Failure.RESET)));
        fleet.sendSound(Duration.ofSeconds(2), SOUND_INTERVAL);
        fleet.runFor(Duration.ofSeconds(2));
        fleet.callers.engines.forEach(engine -> engine.setFailure(Optional.empty()));
        fleet.sendSound(TRAFFIC_TIME, SOUND_INTERVAL);
        long sinceNanos = fleet.now();
        fleet.runFor(TRAFFIC_TIME.plus(END_TIME));
        assertEquals(fleet.soundRefusedAsSuspect(), 0);
        assertEquals(fleet.soundShare(sinceNanos), 1.0);
    }

    private static void sendBoth(CrashingPartFleet fleet, Duration crashingInterval) {
        fleet.sendSound(TRAFFIC_TIME, SOUND_INTERVAL);
        fleet.sendCrashing(TRAFFIC_TIME, crashingInterval);
    }

    private static void assertKept(CrashingPartFleet fleet) {
        long later = fleet.arrivalsAfterCountedCrash();
        double share = fleet.soundShare(0);
        String result = fleet.crashes() + " crashes, " + later + " later arrivals, " + fleet.soundRefusedAsSuspect()
                + " sound requests refused, share of sound requests served " + share;
        Reporter.log(result, true);
        assertTrue(fleet.crashes() > 0, result);
        assertTrue(later <= MAX_LATER_ARRIVALS, result);
        assertTrue(share >= MIN_SOUND_SHARE, result);
    }
}
