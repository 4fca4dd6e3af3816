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

/** Routes and workspaces that are bound to regions: their requests run there and nowhere else. */
public class HomesTest {
    private static final int MESH = 8;
    private static final int LARGE = 40;
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
                                .homes(homes)
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
        return new Object[][] {{MESH}, {LARGE}};
    }

    // Survey tables may not leave the north. Callers in the south connect to southern entries; their prompts still have
    // to run in the north, also when its engines are the busier ones.
    @Test(dataProvider = "sizes")
    public void promptsOfARouteWithHomesRunThereWhicheverEntryTakesThem(int entries) {
        start(entries, "north");
        for (int round = 0; round < 3; round++) {
            for (BenchNode node : nodes) {
                PlacementDecision decision = fleet.placeLong(node, 2_000);
                if (decision instanceof PlacementDecision.Placed placed) {
                    assertEquals(placed.endpoint().domain(), VirtualFleet.NORTHERN);
                    assertTrue(placed.salt().orElseThrow().contains("@north"), "salt: " + placed.salt());
                }
            }
        }
    }

    // The only home has no engines. Waiting can't help, so callers are told at once, as not run.
    @Test(dataProvider = "sizes")
    public void whatNoHomeCanServeIsRefusedAtOnce(int entries) {
        start(entries, "east");
        long asked = fleet.bench.time().nowNanos();
        PlacementDecision decision = fleet.place(nodes.get(1), "/model/x", Kind.FIRST, "f");
        assertTrue(decision instanceof PlacementDecision.Refused, "decision: " + decision);
        assertEquals(((PlacementDecision.Refused) decision).error().kind(), ErrorKind.NO_ENDPOINT);
        long millis = (fleet.bench.time().nowNanos() - asked) / 1_000_000;
        assertTrue(millis < 100, "refused after " + millis + " ms");
    }

    @Test
    public void withoutHomesEveryRegionServes() {
        start(MESH);
        List<FailureDomain> used = new ArrayList<>();
        for (BenchNode node : nodes) {
            if (fleet.placeLong(node, 9_000) instanceof PlacementDecision.Placed placed) {
                used.add(placed.endpoint().domain());
            }
        }
        assertTrue(used.contains(VirtualFleet.NORTHERN) && used.contains(VirtualFleet.SOUTHERN), "used: " + used);
    }

    @Test
    public void whereRouteAndWorkspaceHaveHomesBothBind() {
        PermittedRegions route = PermittedRegions.in(List.of(Region.of("north"), Region.of("south")));
        PermittedRegions workspace = PermittedRegions.in(List.of(Region.of("south"), Region.of("east")));
        PermittedRegions both = route.and(workspace);
        assertTrue(both.allow(Optional.of(Region.of("south"))));
        assertFalse(both.allow(Optional.of(Region.of("north"))));
        assertFalse(both.allow(Optional.of(Region.of("east"))));
        PermittedRegions neither = PermittedRegions.in(List.of(Region.of("north"))).and(PermittedRegions.in(List.of(Region.of("east"))));
        assertTrue(neither.isBinding());
        assertFalse(neither.allow(Optional.of(Region.of("north"))));
        assertEquals(PermittedRegions.ANYWHERE.and(route), route);
        assertEquals(route.and(PermittedRegions.ANYWHERE), route);
        assertFalse(route.allow(Optional.empty()));
        assertTrue(PermittedRegions.ANYWHERE.allow(Optional.empty()));
    }

    @Test
    public void whatBoundPromptsLeaveHasANameOfItsOwn() {
        PermittedRegions north = PermittedRegions.in(List.of(Region.of("north")));
        String bound = CacheSalt.of(Optional.empty(), north, 7);
        assertFalse(bound.equals(CacheSalt.of(Optional.empty(), PermittedRegions.ANYWHERE, 7)));
        assertEquals(bound, "s.@north.7");
        assertEquals(CacheSalt.of(Optional.empty(), PermittedRegions.ANYWHERE, 7), "s.7");
    }
}
