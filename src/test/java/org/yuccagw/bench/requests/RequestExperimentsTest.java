package org.yuccagw.bench.requests;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.bench.ExperimentOptions;
import org.yuccagw.bench.ExperimentReport;
import org.yuccagw.core.claim.ClaimGuards;
import org.yuccagw.core.error.YuccagwException;

public class RequestExperimentsTest {
    private static final int CALLS = 1_500;

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}};
    }

    // Entries die, stand still and lose each other, the key-value service fails in every way, shards change hands
    // while the old owner goes on, and callers repeat their calls. No key may run twice, and no "not run" may be a
    // lie.
    @Test(dataProvider = "seeds")
    public void underRandomFaultsNoKeyRunsTwiceAndNoRefusalLies(long seed) {
        FaultyRun run = AtMostOnce.run(ClaimGuards.defaults(), seed, CALLS);
        assertTrue(run.faults() > 10, "faults: " + run.faults());
        assertTrue(
                run.calls().runs().size() > CALLS / 5,
                "runs: " + run.calls().runs().size());
        assertEquals(run.calls().duplicates(), 0);
        assertEquals(run.calls().liedRefusals(), 0);
        assertEquals(run.calls().violations(), List.of());
    }

    @Test
    public void theSameSeedShowsDuplicatesOnceTheFenceIsTakenAway() {
        FaultyRun run = AtMostOnce.run(
                ClaimGuards.defaults().withExpectedRevision(revision -> VirtualKeyValue.ANY_REVISION), 1, CALLS);
        assertTrue(run.calls().duplicates() > 0);
        assertFalse(run.calls().violations().isEmpty());
    }

    @Test
    public void theSameSeedGivesTheSameRun() {
        assertEquals(
                AtMostOnce.run(ClaimGuards.defaults(), 9, 300).calls().runs(),
                AtMostOnce.run(ClaimGuards.defaults(), 9, 300).calls().runs());
    }

    @Test
    public void oneOwnerForEachFailureMakesAFractionOfTheCallsAndNoSecondRun() throws YuccagwException {
        ExperimentReport report = RetryStorm.of().run(ExperimentOptions.ofSeed(1));
        for (List<String> row : report.tables().get(0).rows()) {
            int stacked = Integer.parseInt(row.get(1));
            int owned = Integer.parseInt(row.get(2));
            int ownedRunsNotIdempotent = Integer.parseInt(row.get(4));
            assertTrue(owned <= 4 && owned <= stacked, row.toString());
            assertTrue(ownedRunsNotIdempotent <= 1, row.toString());
        }
    }

    @Test
    public void theBudgetKeepsTheCallsOfAStormNearThoseWithoutRetries() throws YuccagwException {
        ExperimentReport report = RetryStorm.of().run(ExperimentOptions.ofSeed(1));
        List<List<String>> rows = report.tables().get(1).rows();
        long withoutBudget = Long.parseLong(rows.get(1).get(2));
        long withBudget = Long.parseLong(rows.get(2).get(2));
        long withoutRetries = Long.parseLong(rows.get(3).get(2));
        assertTrue(withBudget <= withoutRetries * 1.3, rows.toString());
        assertTrue(withoutBudget >= withoutRetries * 2, rows.toString());
    }

    @Test
    public void aFloodRaisesTheOthersTimeToFirstTokenByLessThanHalfWithFairQueues() {
        Fairness.Result quiet = Fairness.measure(3, 30, 0, true);
        Fairness.Result fair = Fairness.measure(3, 30, 300, true);
        Fairness.Result firstCome = Fairness.measure(3, 30, 300, false);
        assertEquals(fair.refused(), 0);
        assertTrue(fair.at(95) <= quiet.at(95) * 1.5, fair.at(95) + " ms against " + quiet.at(95) + " ms quiet");
        assertTrue(firstCome.at(95) >= quiet.at(95) * 5, "the flood is too small to show anything");
    }
}
