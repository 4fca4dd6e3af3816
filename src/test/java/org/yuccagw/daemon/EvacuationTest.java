package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.placing.PlacementRequest.Kind;

/** Operators evacuate a failure domain: nothing more goes to its endpoints, from any entry, until they take it back. */
public class EvacuationTest {
    private static final FailureDomain EVACUATED = FailureDomain.of("ulemiste");
    private static final FailureDomain OTHER = FailureDomain.of("kadaka");
    private static final int MESH = 8;
    private static final int LARGE = 66;

    /** The platform gives 5 s from its acknowledgement; a change of the configuration has 2 s. */
    private static final Duration KNOWN_WITHIN = Duration.ofSeconds(2);

    private VirtualFleet fleet;
    private List<BenchNode> nodes;

    private void start(int entries) {
        fleet = new VirtualFleet();
        nodes = new ArrayList<>();
        for (int index = 0; index < entries; index++) {
            nodes.add(fleet.start("entry-" + index, index % 2 == 0 ? EVACUATED : OTHER));
        }
        fleet.configure(1);
        fleet.addEngine("evacuated", EVACUATED, Duration.ZERO);
        fleet.addEngine("other", OTHER, Duration.ZERO);
        fleet.bench.runFor(Duration.ofSeconds(8));
    }

    private void assertSpared() {
        for (BenchNode node : nodes) {
            if (!node.isDead()) {
                assertFalse(fleet.knows(node, "evacuated"), node.entry() + " would use it");
                assertEquals(placed(node), "other");
            }
        }
    }

    private String placed(BenchNode node) {
        PlacementDecision decision = fleet.place(node, "/model/x", Kind.FIRST, "f");
        assertTrue(decision instanceof PlacementDecision.Placed, "decision: " + decision);
        return ((PlacementDecision.Placed) decision).endpoint().id().value();
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{MESH}, {LARGE}};
    }

    // An operator evacuates a hall that is about to lose its power. Every prompt that is still sent there is lost.
    @Test(dataProvider = "sizes")
    public void noEntrySendsToAnEvacuatedDomain(int entries) {
        start(entries);
        fleet.evacuate(EVACUATED);
        fleet.bench.runFor(KNOWN_WITHIN);
        assertSpared();
    }

    @Test(dataProvider = "sizes")
    public void theDomainIsUsedAgainOnceTheEvacuationIsTakenBack(int entries) {
        start(entries);
        fleet.evacuate(EVACUATED);
        fleet.bench.runFor(KNOWN_WITHIN);
        fleet.endEvacuation(EVACUATED);
        fleet.bench.runFor(KNOWN_WITHIN);
        nodes.forEach(node -> assertTrue(fleet.knows(node, "evacuated"), node.entry() + " doesn't use it"));
    }

    // The service turns an entry away when the domain is evacuated. It must learn of it from the others.
    @Test(dataProvider = "sizes")
    public void anEntryThatTheServiceTurnsAwayLearnsOfItFromOthers(int entries) {
        start(entries);
        fleet.bench.keyValue().cutOff(nodes.get(0).entry());
        fleet.evacuate(EVACUATED);
        fleet.bench.runFor(KNOWN_WITHIN.plusMillis(500));
        assertSpared();
    }

    // The leads die in the moment in which the evacuation is acknowledged, before they have passed it on.
    @Test
    public void entriesWhoseLeadsDieAtThatMomentLearnOfItInTime() {
        start(LARGE);
        fleet.evacuate(EVACUATED);
        List<EntryId> leads = fleet.leadsKnownTo(nodes.get(0));
        nodes.stream().filter(node -> leads.contains(node.entry())).forEach(BenchNode::kill);
        fleet.bench.runFor(Duration.ofMillis(4_500));
        assertSpared();
    }

    // The service goes away during the evacuation, and an entry starts anew. It asks the others, since nobody else can
    // tell it that the domain is still evacuated.
    @Test
    public void anEvacuationStaysInForceWhileTheServiceIsAway() {
        start(MESH);
        fleet.evacuate(EVACUATED);
        fleet.bench.runFor(KNOWN_WITHIN);
        fleet.bench.keyValue().setDown(true);
        nodes.get(0).kill();
        nodes.set(0, fleet.start("entry-0", EVACUATED));
        fleet.bench.runFor(Duration.ofSeconds(6));
        assertSpared();
    }

    // An engine of the evacuated domain starts anew and registers; it is evacuated like those that were there.
    @Test
    public void anEngineThatRegistersDuringTheEvacuationIsSparedToo() {
        start(MESH);
        fleet.evacuate(EVACUATED);
        fleet.bench.runFor(KNOWN_WITHIN);
        fleet.restartEngine("evacuated", 1);
        fleet.addEngine("late", EVACUATED, Duration.ZERO);
        fleet.bench.runFor(KNOWN_WITHIN);
        assertSpared();
        nodes.forEach(node -> assertFalse(fleet.knows(node, "late"), node.entry() + " would use it"));
    }

    // All engines of a service lie in the evacuated domain: callers are told at once, as not run, and not at the end of
    // their time.
    @Test
    public void whatOnlyTheEvacuatedDomainServesIsRefusedAsNotRun() {
        start(MESH);
        fleet.evacuate(EVACUATED);
        fleet.evacuate(OTHER);
        fleet.bench.runFor(KNOWN_WITHIN);
        PlacementDecision decision = fleet.place(nodes.get(0), "/model/x", Kind.FIRST, "f");
        assertTrue(decision instanceof PlacementDecision.Refused, "decision: " + decision);
        assertEquals(((PlacementDecision.Refused) decision).error().kind(), ErrorKind.NO_ENDPOINT);
    }
}
