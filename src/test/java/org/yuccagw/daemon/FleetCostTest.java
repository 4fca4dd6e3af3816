package org.yuccagw.daemon;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.adapters.peer.PeerCodec;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;

/**
 * The cost of control per entry without traffic, by role: messages and bytes sent to other entries, and calls of all
 * entries to the key-value service. The rows are written to the report of the tests and to standard output.
 */
public class FleetCostTest {
    private static final int MEASUREMENT_SECONDS = 10;

    /** The bytes per second that the users allow an entry for control in two years. */
    private static final long MAX_BYTES_PER_SECOND = 2_000;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{2, 4}, {3, 6}, {4, 19}, {5, 19}, {5, 60}};
    }

    @Test(dataProvider = "fleets")
    public void anOrdinaryEntryStaysWithinTheAllowedCost(int domains, int entriesPerDomain) {
        VirtualFleet fleet = new VirtualFleet();
        PeerCodec codec = GatewayComponents.codec();
        fleet.bench.measureBytes((from, message) -> codec.encode(from, message).length);
        List<BenchNode> nodes = new ArrayList<>();
        for (int index = 0; index < domains * entriesPerDomain; index++) {
            nodes.add(fleet.start("entry-" + index, FailureDomain.of("domain-" + index % domains)));
        }
        fleet.configure(1);
        fleet.bench.runFor(Duration.ofSeconds(8));
        nodes.forEach(BenchNode::forgetCounts);
        fleet.bench.keyValue().forgetCalls();
        fleet.bench.runFor(Duration.ofSeconds(MEASUREMENT_SECONDS));
        Set<EntryId> firsts = new HashSet<>();
        Set<EntryId> seconds = new HashSet<>();
        boolean isMesh =
                nodes.stream().allMatch(node -> fleet.leadsKnownTo(node).size() == nodes.size());
        if (!isMesh) {
            nodes.forEach(node -> firsts.add(fleet.leadsKnownTo(node).get(0)));
            nodes.forEach(node -> seconds.add(fleet.leadsKnownTo(node).get(1)));
        }
        List<BenchNode> ordinary = nodes.stream()
                .filter(node -> !firsts.contains(node.entry()) && !seconds.contains(node.entry()))
                .toList();
        write(nodes.size(), "ordinary", ordinary, fleet);
        write(nodes.size(), "first lead", withIds(nodes, firsts), fleet);
        write(nodes.size(), "second lead", withIds(nodes, seconds), fleet);
        assertTrue(isMesh || maxPerSecond(ordinary, BenchNode::bytesSent) <= MAX_BYTES_PER_SECOND);
        assertTrue(maxPerSecond(ordinary, BenchNode::messagesSent) <= (nodes.size() > 95 ? 60 : 30) || isMesh);
    }

    private static List<BenchNode> withIds(Collection<BenchNode> nodes, Set<EntryId> ids) {
        return nodes.stream().filter(node -> ids.contains(node.entry())).toList();
    }

    private static long maxPerSecond(List<BenchNode> nodes, ToLongFunction<BenchNode> count) {
        return nodes.stream().mapToLong(count).max().orElse(0) / MEASUREMENT_SECONDS;
    }

    private static double meanPerSecond(List<BenchNode> nodes, ToLongFunction<BenchNode> count) {
        return nodes.stream().mapToLong(count).average().orElse(0) / MEASUREMENT_SECONDS;
    }

    private static void write(int entries, String role, List<BenchNode> nodes, VirtualFleet fleet) {
        if (nodes.isEmpty()) {
            return;
        }
        String row = String.format(
                "%d entries, %s: %.1f messages/s sent (most %d), %.0f bytes/s (most %d); all entries: %.1f calls/s",
                entries,
                role,
                meanPerSecond(nodes, BenchNode::messagesSent),
                maxPerSecond(nodes, BenchNode::messagesSent),
                meanPerSecond(nodes, BenchNode::bytesSent),
                maxPerSecond(nodes, BenchNode::bytesSent),
                fleet.bench.keyValue().calls() / (double) MEASUREMENT_SECONDS);
        Reporter.log(row, true);
    }
}
