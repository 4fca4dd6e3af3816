package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.core.peers.PeersSnapshot;

public class NewEntryTest {
    private static final int ENTRIES = 8;
    private static final Duration SETTLING = Duration.ofSeconds(7);
    private static final Duration START_LIMIT = Duration.ofMillis(600);
    /** Well below the interval of heartbeats in a mesh. */
    private static final Duration MESSAGE_TIME = Duration.ofMillis(30);

    // Guards against an entry that introduces itself and then waits for the others' next heartbeats.
    @Test
    public void aNewEntryAndTheOthersHearEachOtherAtOnce() {
        VirtualFleet fleet = new VirtualFleet();
        List<BenchNode> nodes = new ArrayList<>();
        for (int index = 0; index < ENTRIES; index++) {
            nodes.add(fleet.start("entry-" + index));
        }
        fleet.configure(1);
        fleet.bench.runFor(SETTLING);
        BenchNode added = fleet.start("entry-" + ENTRIES);
        nodes.add(added);
        assertTrue(fleet.bench.runUntil(() -> VirtualFleet.configurationOf(added) != 0, START_LIMIT));
        fleet.bench.runFor(MESSAGE_TIME);
        for (BenchNode node : nodes) {
            PeersSnapshot peers = node.state(PeersSnapshot.class).orElseThrow();
            assertEquals(peers.serving().size(), ENTRIES + 1, "at " + node.entry());
        }
    }
}
