package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.adapters.peer.PeerCodec;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.suspect.EndpointCrashed;
import org.yuccagw.core.suspect.LostAttempt;
import org.yuccagw.core.suspect.SuspectPart;
import org.yuccagw.core.suspect.SuspectPartsSnapshot;

/** The cost of records of crashes and of refused parts. The rows are written to the report and to standard output. */
public class SuspectPartCostTest {
    private static final int SECONDS = 10;
    private static final int LOST_PROMPTS = 12;

    /** The bytes per second that the users allow an entry for control in two years. */
    private static final long MAX_BYTES_PER_SECOND = 2_000;

    private final List<BenchNode> nodes = new ArrayList<>();
    private VirtualFleet fleet;
    private int crashes;

    /** Failure domains and entries. */
    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{3, 8}, {3, 66}, {5, 95}};
    }

    @Test(dataProvider = "fleets")
    public void refusingAPartCostsAnOrdinaryEntryLessThanItsShareOfControl(int domains, int entries) {
        start(domains, entries);
        Set<EntryId> leads = leads();
        List<BenchNode> ordinary =
                nodes.stream().filter(node -> !leads.contains(node.entry())).toList();
        fleet.bench.runFor(Duration.ofSeconds(SECONDS));
        long idle = maxBytesPerSecond(nodes);
        long idleOrdinary = maxBytesPerSecond(ordinary);
        forgetCounts();
        for (int second = 0; second < SECONDS; second++) {
            crashOne();
            fleet.bench.runFor(Duration.ofSeconds(1));
        }
        long crashing = maxBytesPerSecond(nodes);
        long crashingOrdinary = maxBytesPerSecond(ordinary);
        forgetCounts();
        fleet.bench.runFor(Duration.ofSeconds(SECONDS));
        Reporter.log(
                String.format(
                        "%d entries: most bytes/s sent by any entry, by an ordinary one: idle %d, %d;"
                                + " with a crash each second %d, %d; with a refused part %d, %d",
                        entries,
                        idle,
                        idleOrdinary,
                        crashing,
                        crashingOrdinary,
                        maxBytesPerSecond(nodes),
                        maxBytesPerSecond(ordinary)),
                true);
        nodes.forEach(node -> assertEquals(refusedParts(node), 1, node.entry().toString()));
        assertTrue(crashingOrdinary - idleOrdinary <= MAX_BYTES_PER_SECOND);
        assertTrue(maxBytesPerSecond(ordinary) - idleOrdinary <= MAX_BYTES_PER_SECOND);
    }

    private void start(int domains, int entries) {
        fleet = new VirtualFleet();
        PeerCodec codec = GatewayComponents.codec();
        fleet.bench.measureBytes((from, message) -> codec.encode(from, message).length);
        nodes.clear();
        for (int index = 0; index < entries; index++) {
            nodes.add(fleet.start("entry-" + index, FailureDomain.of("domain-" + index % domains)));
        }
        fleet.configure(1);
        fleet.bench.runFor(Duration.ofSeconds(8));
        forgetCounts();
    }

    private Set<EntryId> leads() {
        Set<EntryId> leads = new HashSet<>();
        nodes.forEach(node -> leads.addAll(fleet.leadsKnownTo(node)));
        return leads.size() == nodes.size() ? Set.of() : leads;
    }

    /** Lets the deciding entries report, in turn, the prompts of an engine that crashed; one has the bad part. */
    private void crashOne() {
        Set<EntryId> leads = leads();
        List<BenchNode> deciding = nodes.stream()
                .filter(node -> leads.isEmpty() || leads.contains(node.entry()))
                .toList();
        int crash = crashes++;
        EndpointIncarnation engine = EndpointIncarnation.of(EndpointId.of("engine-" + crash), 1);
        for (int prompt = 0; prompt < LOST_PROMPTS; prompt++) {
            String part = prompt == 0 ? "bad0000000000000" : String.format("%016x", crash * 64 + prompt);
            BenchNode reporter = deciding.get((crash + prompt) % deciding.size());
            reporter.offer(new EndpointCrashed(engine, ImmutableList.of(lost(part))));
        }
    }

    private static LostAttempt lost(String part) {
        return new LostAttempt(
                ImmutableSet.of(new SuspectPart(VirtualFleet.MODEL, part)), Duration.ofMillis(50), Duration.ZERO);
    }

    private void forgetCounts() {
        nodes.forEach(BenchNode::forgetCounts);
    }

    private static long maxBytesPerSecond(List<BenchNode> measured) {
        return measured.stream().mapToLong(BenchNode::bytesSent).max().orElse(0) / SECONDS;
    }

    private static int refusedParts(BenchNode node) {
        return node.state(SuspectPartsSnapshot.class).orElseThrow().refused().size();
    }
}
