package org.yuccagw.core.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.ErrorKind.Ran;
import org.yuccagw.core.retry.RetryDecision.GiveUp;
import org.yuccagw.core.retry.RetryDecision.Retry;

public class RetryPolicyTest {
    private static final Duration MINUTE = Duration.ofMinutes(1);

    private final SplittableRandom random = new SplittableRandom(7);
    private final RetryPolicy policy = RetryPolicy.defaults();

    @DataProvider
    public Object[][] failures() {
        return java.util.Arrays.stream(FailureClass.values())
                .map(failure -> new Object[] {failure})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "failures")
    public void everyFailureClassIsRetriedByItsOwnerOnly(FailureClass failure) {
        RetryTable.Row row = RetryTable.row(failure);
        assertNotNull(row);
        for (RetryLayer layer : RetryLayer.values()) {
            boolean retried = decide(failure, situation(layer, true, false, 1)) instanceof Retry;
            assertEquals(retried, layer == row.owner() && row.retriesIdempotent(), layer.name());
        }
    }

    @Test(dataProvider = "failures")
    public void theEntryNeverRetriesANonIdempotentRequestThatMayHaveRun(FailureClass failure) {
        boolean mayHaveRun = RetryTable.row(failure).ran() != Ran.NOT_RUN;
        boolean retried = decide(failure, situation(RetryLayer.ENTRY, false, false, 1)) instanceof Retry;
        assertTrue(!(retried && mayHaveRun), failure.name());
        boolean retriedAfterUncertainAttempt =
                decide(failure, situation(RetryLayer.ENTRY, false, true, 2)) instanceof Retry;
        assertTrue(!retriedAfterUncertainAttempt, failure.name());
    }

    @Test(dataProvider = "failures")
    public void noErrorClaimsNotRunAfterAnAttemptThatMayHaveRun(FailureClass failure) {
        RetryDecision decision = decide(failure, situation(RetryLayer.ENTRY, true, true, 4));
        assertEquals(((GiveUp) decision).error().ran() == Ran.NOT_RUN, false, failure.name());
    }

    @Test
    public void anEmptyBudgetEndsTheRequestImmediatelyAsNotRun() {
        RetrySituation spent = new RetrySituation(
                RetryLayer.ENTRY, true, false, 1, MINUTE, Optional.empty(), new RetryBudget(0.9, 20, 0.1));
        assertEquals(
                decide(FailureClass.OVERLOADED, spent), new GiveUp(ErrorKind.RETRY_BUDGET_SPENT, Optional.empty()));
    }

    @Test
    public void aDelayBeyondTheDeadlineIsRefusedImmediatelyWithARetryAfterDelay() {
        Optional<Duration> requested = Optional.of(Duration.ofMinutes(2));
        RetrySituation late =
                new RetrySituation(RetryLayer.ENTRY, true, false, 1, MINUTE, requested, RetryBudget.full(20, 0.1));
        assertEquals(decide(FailureClass.OVERLOADED, late), new GiveUp(ErrorKind.ENDPOINT_REFUSED, requested));
    }

    @Test
    public void theDelayIsJitteredBelowADoublingCeilingAndNeverShorterThanRequested() {
        Backoff backoff = Backoff.defaults();
        for (int retry = 1; retry <= 40; retry++) {
            long ceiling = (long) Math.min(2000, 50 * Math.pow(2, Math.min(retry - 1, 30)));
            assertTrue(backoff.delay(retry, random).toMillis() <= ceiling);
        }
        RetrySituation requested = new RetrySituation(
                RetryLayer.ENTRY, true, false, 1, MINUTE, Optional.of(Duration.ofSeconds(9)), RetryBudget.unlimited());
        assertEquals(decide(FailureClass.OVERLOADED, requested), new Retry(Duration.ofSeconds(9), true));
    }

    @Test
    public void successesRefillTheBudgetUpToItsCapacity() {
        RetryBudget budget = RetryBudget.full(1, 0.25).spend();
        for (int success = 0; success < 3; success++) {
            budget = budget.succeed();
        }
        assertTrue(!budget.allowsRetry());
        assertTrue(budget.succeed().allowsRetry());
        assertEquals(RetryBudget.full(1, 0.25).succeed().tokens(), 1.0);
    }

    @Test
    public void onlyAnErrorCodeOfAModelEngineOrStatus429ProvesThatNothingRan() {
        assertEquals(FailureClass.ofAnswer(429, ""), FailureClass.OVERLOADED);
        assertEquals(FailureClass.ofAnswer(503, "overloaded"), FailureClass.OVERLOADED);
        assertEquals(FailureClass.ofAnswer(503, "leaving"), FailureClass.LEAVING);
        assertEquals(FailureClass.ofAnswer(409, "wrong_version"), FailureClass.WRONG_VERSION);
        assertEquals(FailureClass.ofAnswer(503, ""), FailureClass.FAILED);
        assertEquals(FailureClass.ofAnswer(404, ""), FailureClass.REJECTED);
    }

    private RetryDecision decide(FailureClass failure, RetrySituation situation) {
        return policy.decide(failure, situation, random);
    }

    private static RetrySituation situation(RetryLayer layer, boolean idempotent, boolean ranBefore, int attempts) {
        return new RetrySituation(
                layer, idempotent, ranBefore, attempts, MINUTE, Optional.empty(), RetryBudget.full(20, 0.1));
    }
}
