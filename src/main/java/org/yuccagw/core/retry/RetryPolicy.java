package org.yuccagw.core.retry;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.ErrorKind.Ran;
import org.yuccagw.core.retry.RetryDecision.GiveUp;
import org.yuccagw.core.retry.RetryDecision.Retry;
import org.yuccagw.core.retry.RetryTable.Row;

/**
 * Decides after a failed attempt whether the asking layer tries again.
 *
 * <p>The cases, in this order:
 *
 * <ol>
 *   <li>Another layer owns the failure class: give up, so that attempts don't multiply.
 *   <li>The table forbids another attempt for this request: give up.
 *   <li>An earlier attempt may have run and the request isn't idempotent: give up, whatever the last failure proves.
 *   <li>The most attempts are made: give up.
 *   <li>The retry would spend from an empty budget: give up, with {@link ErrorKind#RETRY_BUDGET_SPENT} if nothing ran.
 *   <li>The wait, jittered backoff or what the other side asked for, passes the deadline: give up now rather than
 *       then.
 *   <li>Else retry after the wait.
 * </ol>
 *
 * <p>Giving up is immediate. The error kind claims "not run" only if neither this attempt nor an earlier one may have
 * run.
 */
public final class RetryPolicy {
    private static final int USUAL_MOST_ATTEMPTS = 4;

    private final int mostAttempts;
    private final Backoff backoff;

    private RetryPolicy(int mostAttempts, Backoff backoff) {
        this.mostAttempts = mostAttempts;
        this.backoff = backoff;
    }

    public static RetryPolicy usual() {
        return of(USUAL_MOST_ATTEMPTS, Backoff.usual());
    }

    /**
     * A policy with limits of its own.
     *
     * @param mostAttempts attempts of one request over all layers, at least 1
     */
    public static RetryPolicy of(int mostAttempts, Backoff backoff) {
        if (mostAttempts < 1) {
            throw new IllegalArgumentException("at least one attempt is needed, not " + mostAttempts);
        }
        return new RetryPolicy(mostAttempts, backoff);
    }

    /** Decides; the same arguments and state of {@code random} give the same decision. */
    public RetryDecision decide(FailureClass failure, RetrySituation situation, RandomGenerator random) {
        Row row = RetryTable.row(failure);
        boolean mayHaveRun = situation.mayHaveRunBefore() || row.ran() != Ran.NOT_RUN;
        boolean provenAgain = row.again(situation.idempotent());
        boolean earlierForbids =
                situation.mayHaveRunBefore() && !situation.idempotent() && situation.layer() == RetryLayer.ENTRY;
        if (row.owner() != situation.layer() || !provenAgain || earlierForbids) {
            return giveUp(row.error(), mayHaveRun, situation);
        }
        if (situation.attempts() >= mostAttempts) {
            return giveUp(row.error(), mayHaveRun, situation);
        }
        if (row.spendsBudget() && !situation.budget().allowsRetry()) {
            return giveUp(ErrorKind.RETRY_BUDGET_SPENT, mayHaveRun, situation);
        }
        Duration wait = waitBefore(situation, random);
        if (wait.compareTo(situation.remaining()) >= 0) {
            return giveUp(mayHaveRun ? ErrorKind.DEADLINE_PASSED : row.error(), mayHaveRun, situation);
        }
        return new Retry(wait, row.spendsBudget());
    }

    private Duration waitBefore(RetrySituation situation, RandomGenerator random) {
        Duration jittered = backoff.before(situation.attempts(), random);
        Duration asked = situation.retryAfter().orElse(Duration.ZERO);
        return Comparators.max(asked, jittered);
    }

    private static GiveUp giveUp(ErrorKind error, boolean mayHaveRun, RetrySituation situation) {
        boolean wouldLie = mayHaveRun && error.ran() == Ran.NOT_RUN;
        Optional<Duration> comeBackAfter = situation.retryAfter();
        return new GiveUp(wouldLie ? ErrorKind.ENDPOINT_FAILED : error, comeBackAfter);
    }
}
