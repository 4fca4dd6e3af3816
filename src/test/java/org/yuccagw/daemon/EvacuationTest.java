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

/** An operator evacuates a failure domain: no entry sends requests to its endpoints until the evacuation is revoked. */
public class EvacuationTest {
    private static final FailureDomain EVACUATED = FailureDomain.of("ulemiste");
    private static final FailureDomain OTHER = FailureDomain.of("kadaka");
    private static final int MESH_FLEET_SIZE = 8;
    private static final int LARGE_FLEET_SIZE = 66;

    /** The platform allows 5 s from its acknowledgement; a change of the configuration has to arrive within 2 s. */
    private static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(2);

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

    private void assertNotUsed() {
        for (BenchNode node : nodes) {
            if (!node.isDead()) {
                assertFalse(fleet.isUsable(node, "evacuated"), node.entry() + " would use it");
                assertEquals(placedEndpoint(node), "other");
            }
        }
    }

    private String placedEndpoint(BenchNode node) {
        PlacementDecision decision = fleet.place(node, "/model/x", Kind.FIRST, "f");
        assertTrue(decision instanceof PlacementDecision.Placed, "decision: " + decision);
        return ((PlacementDecision.Placed) decision).endpoint().id().value();
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{MESH_FLEET_SIZE}, {LARGE_FLEET_SIZE}};
    }

    // An operator evacuates a hall that is about to lose its power. Every prompt that is still sent there is lost.
    @Test(dataProvider = "sizes")
    public void noEntrySendsToAnEvacuatedDomain(int entries) {
        start(entries);
        fleet.evacuate(EVACUATED);
        fleet.bench.runFor(PROPAGATION_LIMIT);
        assertNotUsed();
    }

    @Test(dataProvider = "sizes")
    public void aDomainIsUsedAgainOnceItsEvacuationIsRevoked(int entries) {
        start(entries);
        fleet.evacuate(EVACUATED);
        fleet.bench.runFor(PROPAGATION_LIMIT);
        fleet.endEvacuation(EVACUATED);
        fleet.bench.runFor(PROPAGATION_LIMIT);
        nodes.forEach(node -> assertTrue(fleet.isUsable(node, "evacuated"), node.entry() + " doesn't use it"));
    }

    // The key-value service rejects an entry when the domain is evacuated. The entry must learn of the evacuation
    // from the others.
    @Test(dataProvider = "sizes")
    public void anEntryThatTheServiceRejectsLearnsOfTheEvacuationFromOthers(int entries) {
        start(entries);
        fleet.bench.keyValue().cutOff(nodes.get(0).entry());
        fleet.evacuate(EVACUATED);
        fleet.bench.runFor(PROPAGATION_LIMIT.plusMillis(500));
        assertNotUsed();
    }

    // The leads are killed when the evacuation is acknowledged, before they have forwarded it.
    @Test
    public void entriesWhoseLeadsFailDuringAnEvacuationLearnOfItInTime() {
        start(LARGE_FLEET_SIZE);
        fleet.evacuate(EVACUATED);
        List<EntryId> leads = fleet.leadsKnownTo(nodes.get(0));
        nodes.stream().filter(node -> leads.contains(node.entry())).forEach(BenchNode::kill);
        fleet.bench.runFor(Duration.ofMillis(4_500));
        assertNotUsed();
    }

    // The key-value service becomes unavailable during the evacuation, and an entry starts. It has to request the
    // evacuation from the others, the only source left.
    @Test
    public void anEvacuationStaysInForceWhileTheServiceIsUnavailable() {
        start(MESH_FLEET_SIZE);
        fleet.evacuate(EVACUATED);
        fleet.bench.runFor(PROPAGATION_LIMIT);
        fleet.bench.keyValue().setDown(true);
        nodes.get(0).kill();
        nodes.set(0, fleet.start("entry-0", EVACUATED));
        fleet.bench.runFor(Duration.ofSeconds(6));
        assertNotUsed();
    }

    // An engine of the evacuated domain starts and registers; it counts as evacuated like those that were there
    // before.
    @Test
    public void anEngineThatRegistersDuringTheEvacuationIsNotUsed() {
        start(MESH_FLEET_SIZE);
        fleet.evacuate(EVACUATED);
        fleet.bench.runFor(PROPAGATION_LIMIT);
        fleet.restartEngine("evacuated", 1);
        fleet.addEngine("late", EVACUATED, Duration.ZERO);
        fleet.bench.runFor(PROPAGATION_LIMIT);
        assertNotUsed();
        nodes.forEach(node -> assertFalse(fleet.isUsable(node, "late"), node.entry() + " would use it"));
    }

    // All engines of a service are in evacuated domains: callers are refused at once as not run, and not at their
    // deadline.
    @Test
    public void requestsThatOnlyEvacuatedDomainsServeAreRefusedAsNotRun() {
        start(MESH_FLEET_SIZE);
        fleet.evacuate(EVACUATED);
        fleet.evacuate(OTHER);
        fleet.bench.runFor(PROPAGATION_LIMIT);
        PlacementDecision decision = fleet.place(nodes.get(0), "/model/x", Kind.FIRST, "f");
        assertTrue(decision instanceof PlacementDecision.Refused, "decision: " + decision);
        assertEquals(((PlacementDecision.Refused) decision).error().kind(), ErrorKind.NO_ENDPOINT);
    }
}
