package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.placing.AttemptBegun;
import org.yuccagw.core.placing.AttemptEnded;
import org.yuccagw.core.placing.AttemptEnded.End;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.placing.PlacementRequest.Kind;

/** Requests of a large fleet, which the lead of the failure domain places. */
public class LeadPlacementTest {
    private static final int ENTRIES = 20;
    private static final int ENGINES = 6;
    private static final FailureDomain DOMAIN = FailureDomain.of("ulemiste");
    private static final int LONG_PROMPT = 9_000;

    /** A lead that says nothing is passed over after 30 ms; a message takes 2 ms each way. */
    private static final Duration PASSED_OVER = Duration.ofMillis(40);

    private VirtualFleet fleet;
    private List<BenchNode> nodes;

    @BeforeMethod
    public void startEntries() {
        fleet = new VirtualFleet();
        nodes = new ArrayList<>();
        for (int index = 0; index < ENTRIES; index++) {
            nodes.add(fleet.start("entry-" + index, DOMAIN));
        }
        fleet.configure(1);
        for (int index = 1; index <= ENGINES; index++) {
            fleet.addEngine("engine-" + index);
        }
        fleet.addPlain("plain-1");
        fleet.addPlain("plain-2");
        fleet.bench.runFor(Duration.ofSeconds(8));
        assertEquals(fleet.leadsKnownTo(nodes.get(0)).size(), 2);
    }

    private BenchNode lead(int place) {
        EntryId lead = fleet.leadsKnownTo(nodes.get(0)).get(place);
        return nodes.stream()
                .filter(node -> node.entry().equals(lead))
                .findFirst()
                .orElseThrow();
    }

    private List<BenchNode> ordinary() {
        List<EntryId> leads = fleet.leadsKnownTo(nodes.get(0));
        return nodes.stream().filter(node -> !leads.contains(node.entry())).toList();
    }

    private static PlacementDecision.Placed placed(PlacementDecision decision) {
        assertTrue(decision instanceof PlacementDecision.Placed, "decision: " + decision);
        return (PlacementDecision.Placed) decision;
    }

    private int requestsOnAll(BenchNode node) {
        int sum = 0;
        for (int index = 1; index <= ENGINES; index++) {
            sum += fleet.requestsOn(node, "engine-" + index);
        }
        return sum;
    }

    // Entries that place alone send their long prompts to the same engine, since none of them knows of the others'
    // prompts until the next heartbeat; callers wait behind each other while engines idle.
    @Test
    public void longPromptsOfDifferentEntriesAtOneMomentGoToDifferentEngines() {
        Map<String, Integer> onEngine = new HashMap<>();
        for (int index = 0; index < ENGINES; index++) {
            PlacementDecision.Placed place = placed(fleet.placeLong(ordinary().get(index), LONG_PROMPT));
            onEngine.merge(place.endpoint().id().value(), 1, Integer::sum);
        }
        assertEquals(onEngine.size(), ENGINES, "placed: " + onEngine);
    }

    @Test
    public void theLeadCountsWhatRunsForOthersUntilItHasEnded() {
        BenchNode entry = ordinary().get(0);
        PlacementDecision.Placed place = placed(fleet.placeLong(entry, LONG_PROMPT));
        assertEquals(requestsOnAll(lead(0)), 1);
        entry.offer(new AttemptBegun(place.ticket()));
        entry.offer(new AttemptEnded(place.ticket(), End.ANSWERED));
        fleet.bench.runFor(Duration.ofMillis(10));
        assertEquals(requestsOnAll(lead(0)), 0);
    }

    @Test
    public void plainCallsAreSpreadByTheLeadToo() {
        String first = placed(fleet.place(ordinary().get(0), "/plain/x", Kind.FIRST, "one"))
                .endpoint()
                .id()
                .value();
        String second = placed(fleet.place(ordinary().get(1), "/plain/x", Kind.FIRST, "two"))
                .endpoint()
                .id()
                .value();
        assertNotEquals(first, second);
    }

    // ---- Leads that fail.

    // The lead is killed, and the entries of its domain go on asking it until they know. Callers must not wait for it
    // longer than a moment, and not at all once it has been found silent.
    @Test
    public void aRequestIsDecidedWithoutALeadThatDied() {
        lead(0).kill();
        BenchNode entry = ordinary().get(0);
        assertTrue(takes(entry) <= PASSED_OVER.toMillis());
        assertTrue(takes(entry) <= PASSED_OVER.toMillis() / 2);
    }

    // It stands still: connections stay open, and it answers all at once when it wakes. What it placed then was decided
    // elsewhere long ago, and must not count as running for ever.
    @Test
    public void whatALeadDecidesTooLateIsGivenBack() {
        BenchNode lead = lead(0);
        lead.pause(Duration.ofMillis(800));
        PlacementDecision.Placed place = placed(fleet.placeLong(ordinary().get(0), LONG_PROMPT));
        ordinary().get(0).offer(new AttemptEnded(place.ticket(), End.ANSWERED));
        fleet.bench.runFor(Duration.ofSeconds(2));
        assertEquals(requestsOnAll(lead), 0);
    }

    // Its answers don't arrive, while it hears every question: it takes the engines for busier with each one.
    @Test
    public void aLeadWhoseAnswersAreLostDoesNotCountThemForEver() {
        BenchNode lead = lead(0);
        BenchNode entry = ordinary().get(0);
        fleet.bench.cutOneWay(lead, entry);
        placed(fleet.placeLong(entry, LONG_PROMPT));
        fleet.bench.healNetwork();
        // The route's time for a request is 5 s, and a second is added.
        fleet.bench.runFor(Duration.ofMillis(7_500));
        assertEquals(requestsOnAll(lead), 1, "only the one that the entry itself placed");
    }

    // The first lead dies with requests running on its decisions. The second one takes over and would send new prompts
    // to engines that seem idle to it.
    @Test
    public void theNextLeadKnowsWhatRunsOnDecisionsOfTheDeadOne() {
        for (int index = 0; index < 4; index++) {
            placed(fleet.placeLong(ordinary().get(index), LONG_PROMPT));
        }
        BenchNode next = lead(1);
        lead(0).kill();
        fleet.bench.runFor(Duration.ofSeconds(3));
        assertEquals(fleet.leadsKnownTo(ordinary().get(0)).get(0), next.entry());
        assertEquals(requestsOnAll(next), 4);
    }

    // The lead's process starts anew in the middle of requests that it had placed. It is told of the ends of attempts
    // that it knows nothing of, and must go on placing.
    @Test
    public void aLeadThatStartedAnewBearsEndsOfAttemptsThatItDoesNotKnow() {
        BenchNode entry = ordinary().get(0);
        PlacementDecision.Placed place = placed(fleet.placeLong(entry, LONG_PROMPT));
        BenchNode lead = lead(0);
        lead.kill();
        BenchNode again = fleet.start(lead.entry().value(), DOMAIN);
        entry.offer(new AttemptBegun(place.ticket()));
        entry.offer(new AttemptEnded(place.ticket(), End.ANSWERED));
        fleet.bench.runFor(Duration.ofSeconds(2));
        placed(fleet.placeLong(entry, LONG_PROMPT));
        assertEquals(requestsOnAll(again), 1);
    }

    // A prompt ends every engine that runs it, and comes again. Its lead has learned to refuse it and dies; were the
    // next
    // one not told, the prompt would end as many engines once more.
    @Test
    public void aPromptThatBreaksEnginesIsRefusedByTheNextLeadToo() {
        BenchNode entry = ordinary().get(0);
        PlacementDecision decision = fleet.place(entry, "/model/x", Kind.FIRST, "breaks");
        for (int attempt = 0; attempt < ENGINES && decision instanceof PlacementDecision.Placed place; attempt++) {
            entry.offer(new AttemptEnded(place.ticket(), End.BROKEN));
            fleet.bench.runFor(Duration.ofMillis(20));
            decision = fleet.place(entry, "/model/x", Kind.FIRST, "breaks");
        }
        assertSuspect(decision);
        lead(0).kill();
        fleet.bench.runFor(Duration.ofSeconds(3));
        assertSuspect(fleet.place(entry, "/model/x", Kind.FIRST, "breaks"));
    }

    private static void assertSuspect(PlacementDecision decision) {
        assertTrue(decision instanceof PlacementDecision.Refused, "decision: " + decision);
        assertEquals(((PlacementDecision.Refused) decision).error().kind(), ErrorKind.SUSPECT_REQUEST);
    }

    // An entry dies with requests running. Its lead must not count them any longer than that takes to be noticed.
    @Test
    public void whatADeadEntryHadRunningIsForgotten() {
        BenchNode entry = ordinary().get(0);
        placed(fleet.placeLong(entry, LONG_PROMPT));
        entry.kill();
        fleet.bench.runFor(Duration.ofSeconds(2));
        assertEquals(requestsOnAll(lead(0)), 0);
    }

    // The same, but the process starts again at once, so that it is never missed. Its numbers begin anew.
    @Test
    public void whatAnEntryHadRunningBeforeItsRestartIsForgotten() {
        BenchNode entry = ordinary().get(0);
        placed(fleet.placeLong(entry, LONG_PROMPT));
        entry.kill();
        BenchNode again = fleet.start(entry.entry().value(), DOMAIN);
        fleet.bench.runFor(Duration.ofSeconds(1));
        assertEquals(requestsOnAll(lead(0)), 0);
        placed(fleet.placeLong(again, LONG_PROMPT));
        assertEquals(requestsOnAll(lead(0)), 1);
    }

    // ---- What one entry alone finds.

    // One entry is cut off from the endpoints and reports each of them as unreachable. On its word the whole domain
    // would use none of them.
    @Test
    public void anEndpointThatOneEntryCannotReachIsUsedForTheOthers() {
        fleet.addPlain("plain-3");
        fleet.bench.runFor(Duration.ofMillis(300));
        BenchNode cut = ordinary().get(0);
        for (int index = 0; index < 2; index++) {
            PlacementDecision.Placed place = placed(fleet.place(cut, "/plain/x", Kind.FIRST, "cut-" + index));
            cut.offer(new AttemptEnded(place.ticket(), End.UNREACHED));
            fleet.bench.runFor(Duration.ofMillis(5));
        }
        assertEquals(usedByOthers().size(), 3);
    }

    // Two entries can't reach it: now it is the endpoint.
    @Test
    public void anEndpointThatTwoEntriesCannotReachIsAvoidedForAll() {
        fleet.addPlain("plain-3");
        fleet.bench.runFor(Duration.ofMillis(300));
        int reported = 0;
        for (BenchNode entry : ordinary().subList(8, 18)) {
            PlacementDecision.Placed place = placed(fleet.place(entry, "/plain/x", Kind.FIRST, "one" + entry.entry()));
            boolean gone = place.endpoint().id().value().equals("plain-1");
            entry.offer(new AttemptEnded(place.ticket(), gone ? End.UNREACHED : End.ANSWERED));
            fleet.bench.runFor(Duration.ofMillis(5));
            reported += gone ? 1 : 0;
        }
        assertTrue(reported >= 2, "reported: " + reported);
        assertEquals(usedByOthers(), Set.of("plain-2", "plain-3"));
    }

    private Set<String> usedByOthers() {
        Set<String> used = new HashSet<>();
        for (BenchNode entry : ordinary().subList(1, 8)) {
            used.add(placed(fleet.place(entry, "/plain/x", Kind.FIRST, "sound-" + entry.entry()))
                    .endpoint()
                    .id()
                    .value());
        }
        return used;
    }

    // The lead hasn't heard yet that an endpoint leaves, and names it. An entry that knows better is bound by that.
    @Test
    public void anEndpointThatTheEntryKnowsToLeaveIsNotUsedOnTheWordOfALead() {
        BenchNode entry = ordinary().get(0);
        BenchNode lead = lead(0);
        fleet.bench.cutFromAll(lead);
        fleet.bench.keyValue().cutOff(lead.entry());
        fleet.leavePlain("plain-1");
        fleet.bench.runFor(Duration.ofMillis(400));
        fleet.bench.healNetwork();
        for (int index = 0; index < 6; index++) {
            PlacementDecision.Placed place = placed(fleet.place(entry, "/plain/x", Kind.FIRST, "call-" + index));
            assertEquals(place.endpoint().id().value(), "plain-2");
        }
    }

    @Test
    public void whatALeadRefusesIsRefusedWithItsErrorAndTimeToComeBack() {
        fleet.leavePlain("plain-1");
        fleet.leavePlain("plain-2");
        fleet.bench.runFor(Duration.ofSeconds(1));
        PlacementDecision decision = fleet.place(ordinary().get(0), "/plain/x", Kind.FIRST, "nowhere");
        PlacementDecision.Refused refused = (PlacementDecision.Refused) decision;
        assertEquals(refused.error().kind(), ErrorKind.NO_ENDPOINT);
        assertTrue(refused.error().retryAfter().isPresent());
    }

    private long takes(BenchNode entry) {
        long began = fleet.bench.time().nowNanos();
        placed(fleet.placeLong(entry, LONG_PROMPT));
        return (fleet.bench.time().nowNanos() - began) / 1_000_000;
    }
}
