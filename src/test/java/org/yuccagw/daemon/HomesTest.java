package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.core.deployment.PermittedRegions;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.Region;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.placing.PlacementRequest.Kind;
import org.yuccagw.core.stores.CacheSalt;
import org.yuccagw.standins.platform.PlatformDocuments;

/** Routes and workspaces that are bound to regions: their requests run in these regions only. */
public class HomesTest {
    private static final int MESH_FLEET_SIZE = 8;
    private static final int LARGE_FLEET_SIZE = 40;
    private static final List<String> ENGINES = List.of("north-1", "north-2", "south-1", "south-2");

    private VirtualFleet fleet;
    private List<BenchNode> nodes;

    private void start(int entries, String... homes) {
        fleet = new VirtualFleet();
        nodes = new ArrayList<>();
        for (int index = 0; index < entries; index++) {
            nodes.add(fleet.start("entry-" + index, index % 2 == 0 ? VirtualFleet.NORTHERN : VirtualFleet.SOUTHERN));
        }
        fleet.bench
                .keyValue()
                .put(
                        PlatformDocuments.CONFIGURATION,
                        PlatformDocuments.configuration(1)
                                .route("/model/", "streaming", "engines", 5_000, 2)
                                .resumable()
                                .allowedRegions(homes)
                                .engines("engines", VirtualFleet.MODEL)
                                .bytes());
        for (String engine : ENGINES) {
            FailureDomain domain = engine.startsWith("north") ? VirtualFleet.NORTHERN : VirtualFleet.SOUTHERN;
            fleet.addEngine(engine, domain, Duration.ZERO);
        }
        fleet.bench.runFor(Duration.ofSeconds(8));
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{MESH_FLEET_SIZE}, {LARGE_FLEET_SIZE}};
    }

    // Survey tables may not leave the north. Callers in the south connect to southern entries; their prompts still
    // have to run in the north, also when its engines have the higher load.
    @Test(dataProvider = "sizes")
    public void promptsOfARouteWithHomesRunThereWhicheverEntryAcceptsThem(int entries) {
        start(entries, "north");
        for (int round = 0; round < 3; round++) {
            for (BenchNode node : nodes) {
                PlacementDecision decision = fleet.placeLongPrompt(node, 2_000);
                if (decision instanceof PlacementDecision.Placed placed) {
                    assertEquals(placed.endpoint().domain(), VirtualFleet.NORTHERN);
                    assertTrue(placed.salt().orElseThrow().contains("@north"), "salt: " + placed.salt());
                }
            }
        }
    }

    // The only home has no engines. Waiting can't help, so callers are refused at once as not run.
    @Test(dataProvider = "sizes")
    public void requestsThatNoHomeCanServeAreRefusedAtOnce(int entries) {
        start(entries, "east");
        long requestedNanos = fleet.bench.time().nowNanos();
        PlacementDecision decision = fleet.place(nodes.get(1), "/model/x", Kind.FIRST, "f");
        assertTrue(decision instanceof PlacementDecision.Refused, "decision: " + decision);
        assertEquals(((PlacementDecision.Refused) decision).error().kind(), ErrorKind.NO_ENDPOINT);
        long millis = (fleet.bench.time().nowNanos() - requestedNanos) / 1_000_000;
        assertTrue(millis < 100, "refused after " + millis + " ms");
    }

    @Test
    public void everyRegionServesARouteWithoutHomes() {
        start(MESH_FLEET_SIZE);
        List<FailureDomain> used = new ArrayList<>();
        for (BenchNode node : nodes) {
            if (fleet.placeLongPrompt(node, 9_000) instanceof PlacementDecision.Placed placed) {
                used.add(placed.endpoint().domain());
            }
        }
        assertTrue(used.contains(VirtualFleet.NORTHERN) && used.contains(VirtualFleet.SOUTHERN), "used: " + used);
    }

    @Test
    public void theHomesOfRouteAndWorkspaceBothApply() {
        PermittedRegions route = PermittedRegions.in(List.of(Region.of("north"), Region.of("south")));
        PermittedRegions workspace = PermittedRegions.in(List.of(Region.of("south"), Region.of("east")));
        PermittedRegions both = route.intersect(workspace);
        assertTrue(both.allows(Optional.of(Region.of("south"))));
        assertFalse(both.allows(Optional.of(Region.of("north"))));
        assertFalse(both.allows(Optional.of(Region.of("east"))));
        PermittedRegions neither = PermittedRegions.in(List.of(Region.of("north")))
                .intersect(PermittedRegions.in(List.of(Region.of("east"))));
        assertTrue(neither.isRestricted());
        assertFalse(neither.allows(Optional.of(Region.of("north"))));
        assertEquals(PermittedRegions.ANYWHERE.intersect(route), route);
        assertEquals(route.intersect(PermittedRegions.ANYWHERE), route);
        assertFalse(route.allows(Optional.empty()));
        assertTrue(PermittedRegions.ANYWHERE.allows(Optional.empty()));
    }

    @Test
    public void theCacheOfBoundPromptsHasItsOwnSalt() {
        PermittedRegions north = PermittedRegions.in(List.of(Region.of("north")));
        String bound = CacheSalt.of(Optional.empty(), north, 7);
        assertFalse(bound.equals(CacheSalt.of(Optional.empty(), PermittedRegions.ANYWHERE, 7)));
        assertEquals(bound, "s.@north.7");
        assertEquals(CacheSalt.of(Optional.empty(), PermittedRegions.ANYWHERE, 7), "s.7");
    }
}
