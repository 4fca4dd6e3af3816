package org.yuccagw.core.catalogue;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.adapters.settings.CatalogueJson;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.bench.control.ControlBench;
import org.yuccagw.bench.control.ControlComponents;
import org.yuccagw.bench.control.SampleCatalogues;
import org.yuccagw.core.catalogue.CatalogueEditRequested.Result;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.core.membership.DirectorySnapshot;
import org.yuccagw.core.port.KeyValueCall;

public class CatalogueTest {
    private static final Duration SECONDS = Duration.ofSeconds(5);
    private static final Duration LONG = Duration.ofMinutes(2);
    private static final Catalogue BASE = SampleCatalogues.ofWorkspaces(3);

    private ControlBench bench;
    private List<BenchNode> nodes;

    @BeforeMethod
    public void startFourEntriesWithACatalogue() {
        bench = ControlBench.of(11);
        nodes = new ArrayList<>();
        for (int index = 0; index < 4; index++) {
            nodes.add(start(index));
        }
        bench.runFor(Duration.ofSeconds(10));
        assertEquals(edit(nodes.get(0), 0, BASE, "first"), new Result.Accepted(1));
        assertTrue(bench.runUntil(() -> allAt(1), SECONDS));
        bench.runFor(Duration.ofSeconds(1));
    }

    @Test
    public void anAcceptedEditIsInForceEverywhereWithinSeconds() {
        assertEquals(edit(nodes.get(1), 1, limit(5), "second"), new Result.Accepted(2));
        assertTrue(bench.runUntil(() -> allAt(2), SECONDS));
        nodes.forEach(node -> assertEquals(limitOf(node), 5));
    }

    // Two operators change the same limit at the same time through two entries. One sees "accepted"; the other must
    // not overwrite it silently, and must be told which field both changed.
    @Test
    public void twoRacingEditsEndInOneAcceptanceAndOneConflictThatNamesTheField() {
        List<Result> results = new ArrayList<>();
        nodes.get(0).offer(asked(1, limit(5), "left", results));
        nodes.get(1).offer(asked(1, limit(7), "right", results));
        assertTrue(bench.runUntil(() -> results.size() == 2, LONG));
        List<Result> refused =
                results.stream().filter(Result.Refused.class::isInstance).toList();
        assertEquals(refused.size(), 1);
        Result.Refused conflict = (Result.Refused) refused.get(0);
        assertEquals(conflict.error().kind(), ErrorKind.CATALOGUE_CONFLICT);
        assertTrue(
                conflict.error()
                        .getMessage()
                        .contains("both edits change: workspaces/workspace-0/limits/concurrentRequests"),
                conflict.error().getMessage());
    }

    // An operator's edit takes effect, but the service's answer is lost on the way back. The operator must not be told
    // that it failed, and it must not be applied twice.
    @Test
    public void anEditWhoseAnswerWasLostIsFoundAcceptedByItsId() {
        bench.keyValue().loseAnswersOf(CatalogueTest::isEdit);
        List<Result> results = new ArrayList<>();
        nodes.get(0).offer(asked(1, limit(5), "lost", results));
        bench.runFor(Duration.ofSeconds(1));
        bench.keyValue().loseAnswersOf(call -> false);
        assertTrue(bench.runUntil(() -> results.size() == 1, LONG));
        assertEquals(results.get(0), new Result.Accepted(2));
        assertEquals(edit(nodes.get(3), 1, limit(5), "lost"), new Result.Accepted(2));
    }

    // As before, but the service stays silent. The outcome is open, and the answer must say just that; the same edit
    // sent again later resolves it, though another edit was accepted in between.
    @Test
    public void anEditThatStaysUnansweredIsUnconfirmedAndResolvedWhenSentAgain() {
        bench.keyValue().loseAnswersOf(CatalogueTest::isEdit);
        Result open = edit(nodes.get(0), 1, limit(5), "open");
        assertEquals(((Result.Refused) open).error().kind(), ErrorKind.EDIT_UNCONFIRMED);
        bench.keyValue().loseAnswersOf(call -> false);
        bench.runFor(Duration.ofSeconds(30));
        assertEquals(edit(nodes.get(2), 2, limit(6), "next"), new Result.Accepted(3));
        assertEquals(edit(nodes.get(1), 1, limit(5), "open"), new Result.Accepted(2));
        assertTrue(bench.runUntil(() -> allAt(3), SECONDS));
        nodes.forEach(node -> assertEquals(limitOf(node), 6));
    }

    @Test
    public void withTheServiceDownAnEditIsRefusedAndNothingChanges() {
        bench.keyValue().setDown(true);
        Result refused = edit(nodes.get(0), 1, limit(5), "down");
        assertEquals(((Result.Refused) refused).error().kind(), ErrorKind.STATE_UNAVAILABLE);
        bench.runFor(Duration.ofHours(1));
        assertTrue(allAt(1));
        assertTrue(nodes.stream().allMatch(CatalogueTest::isReady));
    }

    // The service is down, and an entry's VM is replaced. Its callers would be refused although its peers have the
    // catalogue in force: it must take it from them.
    @Test
    public void anEntryThatRestartsWithTheServiceDownTakesTheCatalogueFromAPeer() {
        bench.keyValue().setDown(true);
        nodes.get(2).kill();
        nodes.set(2, start(2));
        assertTrue(bench.runUntil(() -> allAt(1) && isReady(nodes.get(2)), Duration.ofSeconds(10)));
    }

    // The service is down and every entry restarts. Nobody knows the catalogue any more. The entries must say so and
    // take no work, rather than start with an empty catalogue, and recover alone when the service is back.
    @Test
    public void whenAllRestartWithTheServiceDownNothingIsInvented() {
        bench.keyValue().setDown(true);
        nodes.forEach(BenchNode::kill);
        for (int index = 0; index < 4; index++) {
            nodes.set(index, start(index));
        }
        bench.runFor(LONG);
        for (BenchNode node : nodes) {
            DirectorySnapshot directory = node.state(DirectorySnapshot.class).orElseThrow();
            assertFalse(directory.ready());
            assertEquals(
                    directory.reason(),
                    "has no catalogue: neither the key-value service nor another entry gave one yet");
            assertEquals(revisionOf(node), 0);
        }
        bench.keyValue().setDown(false);
        assertTrue(bench.runUntil(() -> allAt(1) && nodes.stream().allMatch(CatalogueTest::isReady), LONG));
    }

    @Test
    public void withASlowServiceEditsAreStillAcceptedAndSpread() {
        bench.keyValue().setLatency(Duration.ofSeconds(2));
        bench.runFor(LONG);
        assertEquals(edit(nodes.get(0), 1, limit(5), "slow"), new Result.Accepted(2));
        assertTrue(bench.runUntil(() -> allAt(2), SECONDS));
    }

    // The watches are silent for good, without any error, and the entry that accepted an edit can't reach its peers.
    // The others would keep the old catalogue for ever if they trusted the watch.
    @Test
    public void aSilentWatchDoesNotHideAnEditForLong() {
        bench.keyValue().setWatchesSilent(true);
        bench.runFor(Duration.ofMinutes(1));
        bench.cutFromAll(nodes.get(0));
        assertEquals(edit(nodes.get(0), 1, limit(5), "unseen"), new Result.Accepted(2));
        assertTrue(bench.runUntil(() -> allAt(2), Duration.ofSeconds(30)));
    }

    // A switch dies and one entry loses its peers and the service, but not its callers. Whatever operators change, it
    // would go on with the old catalogue; so it stops taking work once it can't confirm it any more.
    @Test
    public void anEntryCutOffFromEverybodyTakesNoWorkAfterTheFreshnessLimit() {
        BenchNode alone = nodes.get(3);
        bench.cutFromAll(alone);
        bench.keyValue().cutOff(alone.entry());
        Duration limit = BASE.system().freshnessLimit();
        assertTrue(bench.runUntil(() -> !isReady(alone), limit.plus(SECONDS)));
        assertEquals(edit(nodes.get(0), 1, limit(5), "meanwhile"), new Result.Accepted(2));
        bench.runFor(LONG);
        assertEquals(revisionOf(alone), 1);
        assertFalse(isReady(alone));
        bench.healNetwork();
        bench.keyValue().reach(alone.entry());
        assertTrue(bench.runUntil(() -> allAt(2) && isReady(alone), Duration.ofSeconds(20)));
    }

    // An old message was on its way for long, or a confused peer sends what it had: the accepted change must not go
    // back, not even for a moment.
    @Test
    public void anOlderDocumentNeverComesIntoForce() {
        assertEquals(edit(nodes.get(0), 1, limit(5), "newer"), new Result.Accepted(2));
        assertTrue(bench.runUntil(() -> allAt(2), SECONDS));
        byte[] old = CatalogueJson.create().encode(BASE);
        nodes.get(1).offer(new PeerReceived(nodes.get(0).entry(), new CatalogueUpdate.Whole(1, old)));
        nodes.get(1).offer(new PeerReceived(nodes.get(0).entry(), new CatalogueUpdate.Delta(1, 2, new byte[12])));
        assertEquals(limitOf(nodes.get(1)), 5);
    }

    @Test
    public void aDeltaOnAnotherBaseMakesTheReceiverAskForTheWhole() {
        BenchNode behind = nodes.get(3);
        bench.cutFromAll(behind);
        bench.keyValue().cutOff(behind.entry());
        for (int revision = 1; revision < 5; revision++) {
            assertEquals(
                    edit(nodes.get(0), revision, limit(revision), "edit " + revision),
                    new Result.Accepted(revision + 1));
        }
        bench.healNetwork();
        assertTrue(bench.runUntil(() -> revisionOf(behind) == 5, Duration.ofSeconds(20)));
    }

    @Test
    public void anEarlierRevisionIsReadFromTheHistoryAndRolledBackToAsANewOne() {
        assertEquals(edit(nodes.get(0), 1, limit(5), "change"), new Result.Accepted(2));
        List<CatalogueRevisionRequested.Result> found = new ArrayList<>();
        nodes.get(2).offer(new CatalogueRevisionRequested(1, found::add));
        assertTrue(bench.runUntil(() -> !found.isEmpty(), SECONDS));
        Catalogue first = ((CatalogueRevisionRequested.Result.Found) found.get(0)).catalogue();
        assertEquals(edit(nodes.get(2), 2, first, "back"), new Result.Accepted(3));
        assertTrue(bench.runUntil(() -> allAt(3), SECONDS));
        assertEquals(limitOf(nodes.get(0)), 10);
        List<CatalogueHistoryRequested.Result> history = new ArrayList<>();
        nodes.get(1).offer(new CatalogueHistoryRequested(history::add));
        assertTrue(bench.runUntil(() -> !history.isEmpty(), SECONDS));
        List<String> edits = ((CatalogueHistoryRequested.Result.History) history.get(0))
                .edits().stream().map(AcceptedEdit::editId).toList();
        assertEquals(edits, List.of("first", "change", "back"));
    }

    @Test
    public void aCatalogueThatTheServiceCannotHoldIsRefused() {
        Result refused = edit(nodes.get(0), 1, SampleCatalogues.ofWorkspaces(5000), "large");
        assertEquals(((Result.Refused) refused).error().kind(), ErrorKind.CATALOGUE_TOO_LARGE);
    }

    private BenchNode start(int index) {
        return bench.start("entry-" + index, ControlComponents.all());
    }

    private Result edit(BenchNode node, long base, Catalogue wanted, String editId) {
        List<Result> results = new ArrayList<>();
        node.offer(asked(base, wanted, editId, results));
        assertTrue(bench.runUntil(() -> !results.isEmpty(), LONG));
        return results.get(0);
    }

    private static CatalogueEditRequested asked(long base, Catalogue wanted, String editId, List<Result> results) {
        return new CatalogueEditRequested(base, wanted, editId, "mari", results::add);
    }

    private static boolean isEdit(KeyValueCall call) {
        return call instanceof KeyValueCall.CompareAndSwap swap && swap.key().equals(CatalogueKeys.CURRENT);
    }

    private static Catalogue limit(int concurrentRequests) {
        return SampleCatalogues.withLimit(BASE, "workspace-0", concurrentRequests);
    }

    private boolean allAt(long revision) {
        return nodes.stream().allMatch(node -> revisionOf(node) == revision);
    }

    private static long revisionOf(BenchNode node) {
        return node.state(Catalogue.class).orElseThrow().revision();
    }

    private static int limitOf(BenchNode node) {
        Catalogue catalogue = node.state(Catalogue.class).orElseThrow();
        return catalogue
                .workspace(WorkspaceId.of("workspace-0"))
                .orElseThrow()
                .limits()
                .concurrentRequests();
    }

    private static boolean isReady(BenchNode node) {
        return node.state(DirectorySnapshot.class).orElseThrow().ready();
    }
}
