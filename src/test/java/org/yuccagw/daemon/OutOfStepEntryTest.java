package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.origin.StreamBegun;
import org.yuccagw.core.origin.StreamOrigin;
import org.yuccagw.core.placing.AttemptEnded;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.standins.platform.PlatformDocuments;

/** Guards against an entry that takes its own view for the fleet's while a second software version joins. */
public class OutOfStepEntryTest {
    private static final int DOMAINS = 3;
    private static final int ENGINES = 4;
    private static final Duration CALM = Duration.ofSeconds(75);
    private static final Duration TROUBLE = Duration.ofMillis(4_600);
    private static final Duration AFTER_TROUBLE = Duration.ofSeconds(6);
    private static final Duration STEP = Duration.ofMillis(100);
    private static final Duration STREAM_TIME = Duration.ofSeconds(10);
    private static final Duration JOINING_AFTER = Duration.ofMillis(200);
    private static final String NEW = "v2";

    private final List<BenchNode> nodes = new ArrayList<>();
    private VirtualFleet fleet;
    private int begun;
    private int joined;
    private int wentOn;

    private enum Trouble {
        PAUSED,
        CUT_FROM_SERVICE,
        CUT_FROM_ENTRIES,
        CUT_FROM_BOTH
    }

    @DataProvider
    public static Object[][] plays() {
        List<Object[]> plays = new ArrayList<>();
        for (int entries : new int[] {3, 8, 66, 95}) {
            for (Trouble trouble : Trouble.values()) {
                plays.add(new Object[] {entries, trouble});
            }
        }
        return plays.toArray(new Object[0][]);
    }

    @Test(dataProvider = "plays")
    public void aStreamOfANewVersionIsNotTakenUpAtTheOlderOne(int entries, Trouble trouble) {
        begun = 0;
        joined = 0;
        wentOn = 0;
        for (int index : new int[] {0, entries / 2, entries - 1}) {
            play(entries, index, trouble);
        }
        Reporter.log(
                entries + " " + trouble + ": " + begun + " begun, " + joined + " joined, " + wentOn + " went on", true);
        assertEquals(joined, 0);
        assertTrue(wentOn * 3 >= begun, wentOn + " of " + begun + " went on");
    }

    private void play(int entries, int outOfStep, Trouble trouble) {
        start(entries);
        BenchNode node = nodes.get(outOfStep);
        begin(trouble, node);
        fleet.bench.runFor(JOINING_AFTER);
        fleet.addEngine("engine-4", domain(0), NEW);
        fleet.addEngine("engine-5", domain(1), NEW);
        long endNanos = now() + TROUBLE.toNanos();
        while (now() - endNanos < AFTER_TROUBLE.toNanos()) {
            beginAndTakeUp(outOfStep);
            fleet.bench.runFor(STEP);
            if (now() - endNanos >= 0) {
                end(node);
            }
        }
        fleet.bench.runFor(Duration.ofSeconds(3));
    }

    private void start(int entries) {
        fleet = new VirtualFleet();
        nodes.clear();
        for (int index = 0; index < entries; index++) {
            nodes.add(fleet.start("entry-" + index, domain(index)));
        }
        fleet.configure(1);
        for (int index = 0; index < ENGINES; index++) {
            fleet.addEngine("engine-" + index, domain(index), "v1");
        }
        fleet.bench.runFor(CALM);
    }

    private static FailureDomain domain(int index) {
        return FailureDomain.of("domain-" + index % DOMAINS);
    }

    private void begin(Trouble trouble, BenchNode node) {
        if (trouble == Trouble.PAUSED) {
            node.pause(JOINING_AFTER.plus(TROUBLE));
        }
        if (trouble == Trouble.CUT_FROM_SERVICE || trouble == Trouble.CUT_FROM_BOTH) {
            fleet.bench.keyValue().cutOff(node.entry());
        }
        if (trouble == Trouble.CUT_FROM_ENTRIES || trouble == Trouble.CUT_FROM_BOTH) {
            fleet.bench.cutFromAll(node);
        }
    }

    private void end(BenchNode node) {
        fleet.bench.keyValue().reach(node.entry());
        fleet.bench.healNetwork();
    }

    /** Begins a stream at a new engine through an entry that knows of it, and takes it up at the one out of step. */
    private void beginAndTakeUp(int outOfStep) {
        BenchNode other = nodes.get((outOfStep + 1) % nodes.size());
        if (!fleet.isUsable(other, "engine-4")) {
            return;
        }
        RequestId id = RequestId.of("stream-" + begun);
        begun++;
        StreamOrigin origin = new StreamOrigin(id, ServiceName.of("engines"), SoftwareVersion.of(NEW));
        EndpointIncarnation engine =
                EndpointIncarnation.of(EndpointId.of("engine-4"), PlatformDocuments.FIRST_START_MILLIS);
        other.offer(new StreamBegun(origin, engine, STREAM_TIME));
        BenchNode taking = nodes.get(outOfStep);
        fleet.takeUp(taking, id, decision -> count(decision, taking));
    }

    private void count(PlacementDecision decision, BenchNode taking) {
        if (decision instanceof PlacementDecision.Placed placed) {
            taking.offer(new AttemptEnded(placed.ticket(), AttemptEnded.End.LEFT));
            boolean sameVersion = placed.endpoint().software().value().equals(NEW);
            wentOn += sameVersion ? 1 : 0;
            joined += sameVersion ? 0 : 1;
        }
    }

    private long now() {
        return fleet.bench.time().nowNanos();
    }
}
