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
import org.yuccagw.bench.control.InMemoryKeyValue;
import org.yuccagw.bench.control.SampleCatalogues;
import org.yuccagw.core.catalogue.CatalogueEditRequested.Result;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.core.membership.DirectorySnapshot;
import org.yuccagw.core.port.KeyValueCall;

public class CatalogueTest {
    private static final Duration SHORT_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration LONG_TIMEOUT = Duration.ofMinutes(2);
    private static final Catalogue BASE = SampleCatalogues.ofWorkspaces(3);

    private ControlBench bench;
    private List<BenchNode> entries;

    @BeforeMethod
    public void startFourEntriesWithACatalogue() {
        bench = ControlBench.of(11);
        entries = new ArrayList<>();
        for (int index = 0; index < 4; index++) {
            entries.add(startEntry(index));
        }
        bench.runFor(Duration.ofSeconds(10));
        assertEquals(applyEdit(entries.get(0), 0, BASE, "first"), new Result.Accepted(1));
        assertTrue(bench.runUntil(() -> allAtRevision(1), SHORT_TIMEOUT));
        bench.runFor(Duration.ofSeconds(1));
    }

    @Test
    public void anAcceptedEditComesIntoForceOnAllEntriesWithinSeconds() {
        assertEquals(applyEdit(entries.get(1), 1, catalogueWithLimit(5), "second"), new Result.Accepted(2));
        assertTrue(bench.runUntil(() -> allAtRevision(2), SHORT_TIMEOUT));
        entries.forEach(entry -> assertEquals(limitOf(entry), 5));
    }

    // Guards against accepted edits that a key-value service restored from an older copy has lost.
    @Test
    public void anAcceptedEditOutlivesTheRestorationOfTheServiceFromAnOlderCopy() throws YuccagwException {
        InMemoryKeyValue.Copy copy = bench.keyValue().copy();
        assertEquals(applyEdit(entries.get(1), 1, catalogueWithLimit(5), "second"), new Result.Accepted(2));
        assertTrue(bench.runUntil(() -> allAtRevision(2), SHORT_TIMEOUT));
        bench.keyValue().restore(copy);
        bench.runFor(SHORT_TIMEOUT);
        byte[] stored = bench.keyValue().peek(CatalogueKeys.CURRENT).orElseThrow();
        assertEquals(StoredCatalogue.decode(stored).revision(), 2);
        assertTrue(allAtRevision(2));
        assertEquals(applyEdit(entries.get(2), 2, catalogueWithLimit(6), "third"), new Result.Accepted(3));
        assertTrue(bench.runUntil(() -> allAtRevision(3), SHORT_TIMEOUT));
    }

    // Two operators change the same limit concurrently through two entries. If the second edit silently overwrote the
    // accepted one, the first operator's change would be lost. The conflict must name the field that both changed.
    @Test
    public void twoConcurrentEditsEndInOneAcceptanceAndOneConflictThatNamesTheField() {
        List<Result> results = new ArrayList<>();
        entries.get(0).offer(editRequest(1, catalogueWithLimit(5), "left", results));
        entries.get(1).offer(editRequest(1, catalogueWithLimit(7), "right", results));
        assertTrue(bench.runUntil(() -> results.size() == 2, LONG_TIMEOUT));
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

    // An edit takes effect, but the answer of the service is lost. The edit must not be reported as failed, and it must
    // not be applied twice.
    @Test
    public void anEditWhoseAnswerIsLostIsRecognizedAsAcceptedByItsId() {
        bench.keyValue().loseAnswersOf(CatalogueTest::isCatalogueWrite);
        List<Result> results = new ArrayList<>();
        entries.get(0).offer(editRequest(1, catalogueWithLimit(5), "lost", results));
        bench.runFor(Duration.ofSeconds(1));
        bench.keyValue().loseAnswersOf(call -> false);
        assertTrue(bench.runUntil(() -> results.size() == 1, LONG_TIMEOUT));
        assertEquals(results.get(0), new Result.Accepted(2));
        assertEquals(applyEdit(entries.get(3), 1, catalogueWithLimit(5), "lost"), new Result.Accepted(2));
    }

    // The answer of the service is lost and the service stays silent, so the outcome of the edit is open and must be
    // reported as such. A later retry with the same id determines it, even if another edit was accepted in between.
    @Test
    public void anUnansweredEditIsUnconfirmedAndResolvedByARetry() {
        bench.keyValue().loseAnswersOf(CatalogueTest::isCatalogueWrite);
        Result unconfirmed = applyEdit(entries.get(0), 1, catalogueWithLimit(5), "open");
        assertEquals(((Result.Refused) unconfirmed).error().kind(), ErrorKind.EDIT_UNCONFIRMED);
        bench.keyValue().loseAnswersOf(call -> false);
        bench.runFor(Duration.ofSeconds(30));
        assertEquals(applyEdit(entries.get(2), 2, catalogueWithLimit(6), "next"), new Result.Accepted(3));
        assertEquals(applyEdit(entries.get(1), 1, catalogueWithLimit(5), "open"), new Result.Accepted(2));
        assertTrue(bench.runUntil(() -> allAtRevision(3), SHORT_TIMEOUT));
        entries.forEach(entry -> assertEquals(limitOf(entry), 6));
    }

    @Test
    public void withTheServiceDownAnEditIsRefusedAndNothingChanges() {
        bench.keyValue().setDown(true);
        Result refused = applyEdit(entries.get(0), 1, catalogueWithLimit(5), "down");
        assertEquals(((Result.Refused) refused).error().kind(), ErrorKind.STATE_UNAVAILABLE);
        bench.runFor(Duration.ofHours(1));
        assertTrue(allAtRevision(1));
        assertTrue(entries.stream().allMatch(CatalogueTest::isReady));
    }

    // An entry's VM is replaced while the service is down. Unless the entry gets the catalogue from its peers, it
    // refuses all callers although the catalogue is in force elsewhere.
    @Test
    public void anEntryThatRestartsWithTheServiceDownGetsTheCatalogueFromAPeer() {
        bench.keyValue().setDown(true);
        entries.get(2).kill();
        entries.set(2, startEntry(2));
        assertTrue(bench.runUntil(() -> allAtRevision(1) && isReady(entries.get(2)), Duration.ofSeconds(10)));
    }

    // All entries restart while the service is down, so none has the catalogue. They must report this and accept no
    // requests instead of starting with an empty catalogue, and recover without intervention once the service is up.
    @Test
    public void whenAllEntriesRestartWithTheServiceDownNoneStartsWithAnEmptyCatalogue() {
        bench.keyValue().setDown(true);
        entries.forEach(BenchNode::kill);
        for (int index = 0; index < 4; index++) {
            entries.set(index, startEntry(index));
        }
        bench.runFor(LONG_TIMEOUT);
        for (BenchNode entry : entries) {
            DirectorySnapshot directory = entry.state(DirectorySnapshot.class).orElseThrow();
            assertFalse(directory.ready());
            assertEquals(
                    directory.reason(),
                    "has no catalogue: neither the key-value service nor another entry gave one yet");
            assertEquals(revisionOf(entry), 0);
        }
        bench.keyValue().setDown(false);
        assertTrue(bench.runUntil(
                () -> allAtRevision(1) && entries.stream().allMatch(CatalogueTest::isReady), LONG_TIMEOUT));
    }

    @Test
    public void withASlowServiceEditsAreStillAcceptedAndDistributed() {
        bench.keyValue().setLatency(Duration.ofMillis(1_400));
        bench.runFor(LONG_TIMEOUT);
        assertEquals(applyEdit(entries.get(0), 1, catalogueWithLimit(5), "slow"), new Result.Accepted(2));
        assertTrue(bench.runUntil(() -> allAtRevision(2), SHORT_TIMEOUT));
    }

    // All watches hang without an error, and the entry that accepted an edit can't reach its peers. Entries that relied
    // on the watch alone would keep the old catalogue indefinitely.
    @Test
    public void aHungWatchDelaysAnEditForABoundedTime() {
        bench.keyValue().setWatchesSilent(true);
        bench.runFor(Duration.ofMinutes(1));
        bench.cutFromAll(entries.get(0));
        assertEquals(applyEdit(entries.get(0), 1, catalogueWithLimit(5), "unseen"), new Result.Accepted(2));
        assertTrue(bench.runUntil(() -> allAtRevision(2), Duration.ofSeconds(30)));
    }

    // A network failure separates an entry from its peers and the service, but not from its callers. It would serve an
    // outdated catalogue after any edit, so it must stop accepting requests once it can't confirm its catalogue.
    @Test
    public void anIsolatedEntryAcceptsNoRequestsAfterTheFreshnessLimit() {
        BenchNode isolated = entries.get(3);
        bench.cutFromAll(isolated);
        bench.keyValue().cutOff(isolated.entry());
        Duration limit = BASE.system().freshnessLimit();
        assertTrue(bench.runUntil(() -> !isReady(isolated), limit.plus(SHORT_TIMEOUT)));
        assertEquals(applyEdit(entries.get(0), 1, catalogueWithLimit(5), "meanwhile"), new Result.Accepted(2));
        bench.runFor(LONG_TIMEOUT);
        assertEquals(revisionOf(isolated), 1);
        assertFalse(isReady(isolated));
        bench.healNetwork();
        bench.keyValue().reach(isolated.entry());
        assertTrue(bench.runUntil(() -> allAtRevision(2) && isReady(isolated), Duration.ofSeconds(20)));
    }

    // A delayed message, or a faulty peer, delivers an older document. An accepted change must never be reverted, not
    // even temporarily.
    @Test
    public void anOlderDocumentNeverComesIntoForce() {
        assertEquals(applyEdit(entries.get(0), 1, catalogueWithLimit(5), "newer"), new Result.Accepted(2));
        assertTrue(bench.runUntil(() -> allAtRevision(2), SHORT_TIMEOUT));
        byte[] oldDocument = CatalogueJson.create().encode(BASE);
        entries.get(1)
                .offer(new PeerReceived(entries.get(0).entry(), new CatalogueUpdate.FullDocument(1, oldDocument)));
        entries.get(1).offer(new PeerReceived(entries.get(0).entry(), new CatalogueUpdate.Delta(1, 2, new byte[12])));
        assertEquals(limitOf(entries.get(1)), 5);
    }

    @Test
    public void aDeltaForAnotherBaseMakesTheReceiverRequestTheFullDocument() {
        BenchNode outdated = entries.get(3);
        bench.cutFromAll(outdated);
        bench.keyValue().cutOff(outdated.entry());
        for (int revision = 1; revision < 5; revision++) {
            assertEquals(
                    applyEdit(entries.get(0), revision, catalogueWithLimit(revision), "edit " + revision),
                    new Result.Accepted(revision + 1));
        }
        bench.healNetwork();
        assertTrue(bench.runUntil(() -> revisionOf(outdated) == 5, Duration.ofSeconds(20)));
    }

    @Test
    public void anEarlierRevisionIsReadFromTheHistoryAndRestoredAsANewRevision() {
        assertEquals(applyEdit(entries.get(0), 1, catalogueWithLimit(5), "change"), new Result.Accepted(2));
        List<CatalogueRevisionRequested.Result> found = new ArrayList<>();
        entries.get(2).offer(new CatalogueRevisionRequested(1, found::add));
        assertTrue(bench.runUntil(() -> !found.isEmpty(), SHORT_TIMEOUT));
        Catalogue first = ((CatalogueRevisionRequested.Result.Found) found.get(0)).catalogue();
        assertEquals(applyEdit(entries.get(2), 2, first, "back"), new Result.Accepted(3));
        assertTrue(bench.runUntil(() -> allAtRevision(3), SHORT_TIMEOUT));
        assertEquals(limitOf(entries.get(0)), 10);
        List<CatalogueHistoryRequested.Result> history = new ArrayList<>();
        entries.get(1).offer(new CatalogueHistoryRequested(history::add));
        assertTrue(bench.runUntil(() -> !history.isEmpty(), SHORT_TIMEOUT));
        List<String> edits = ((CatalogueHistoryRequested.Result.History) history.get(0))
                .edits().stream().map(AcceptedEdit::editId).toList();
        assertEquals(edits, List.of("first", "change", "back"));
    }

    @Test
    public void aCatalogueOverTheValueLimitOfTheServiceIsRefused() {
        Result refused = applyEdit(entries.get(0), 1, SampleCatalogues.ofWorkspaces(5000), "large");
        assertEquals(((Result.Refused) refused).error().kind(), ErrorKind.CATALOGUE_TOO_LARGE);
    }

    private BenchNode startEntry(int index) {
        return bench.start("entry-" + index, ControlComponents.all());
    }

    private Result applyEdit(BenchNode entry, long baseRevision, Catalogue newCatalogue, String editId) {
        List<Result> results = new ArrayList<>();
        entry.offer(editRequest(baseRevision, newCatalogue, editId, results));
        assertTrue(bench.runUntil(() -> !results.isEmpty(), LONG_TIMEOUT));
        return results.get(0);
    }

    private static CatalogueEditRequested editRequest(
            long baseRevision, Catalogue newCatalogue, String editId, List<Result> results) {
        return new CatalogueEditRequested(baseRevision, newCatalogue, editId, "mari", results::add);
    }

    private static boolean isCatalogueWrite(KeyValueCall call) {
        return call instanceof KeyValueCall.CompareAndSwap swap && swap.key().equals(CatalogueKeys.CURRENT);
    }

    private static Catalogue catalogueWithLimit(int concurrentRequests) {
        return SampleCatalogues.withLimit(BASE, "workspace-0", concurrentRequests);
    }

    private boolean allAtRevision(long revision) {
        return entries.stream().allMatch(entry -> revisionOf(entry) == revision);
    }

    private static long revisionOf(BenchNode entry) {
        return entry.state(Catalogue.class).orElseThrow().revision();
    }

    private static int limitOf(BenchNode entry) {
        Catalogue catalogue = entry.state(Catalogue.class).orElseThrow();
        return catalogue
                .workspace(WorkspaceId.of("workspace-0"))
                .orElseThrow()
                .limits()
                .concurrentRequests();
    }

    private static boolean isReady(BenchNode entry) {
        return entry.state(DirectorySnapshot.class).orElseThrow().ready();
    }
}
