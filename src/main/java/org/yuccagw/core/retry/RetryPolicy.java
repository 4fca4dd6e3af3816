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
 * Decides after a failed attempt whether the calling layer retries the request.
 *
 * <p>The first rule that applies decides:
 *
 * <ol>
 *   <li>Another layer owns the failure class: give up, so that the attempts of several layers do not multiply.
 *   <li>{@link RetryTable} forbids another attempt for this request: give up.
 *   <li>An earlier attempt may have run and the request is not idempotent: give up, whatever the last failure proves.
 *   <li>The maximum number of attempts has been made: give up.
 *   <li>The retry needs a token and the budget is empty: give up, with {@link ErrorKind#RETRY_BUDGET_SPENT} if nothing
 *       ran.
 *   <li>The delay, which is the longer of the jittered backoff and the delay that the peer requested for, reaches the
 *       deadline: give up now instead of at the deadline.
 *   <li>Otherwise: retry after the delay.
 * </ol>
 *
 * <p>Giving up takes effect immediately. The error kind says "not run" only if neither this attempt nor an earlier one
 * may have run.
 */
public final class RetryPolicy {
    private static final int DEFAULT_MAX_ATTEMPTS = 4;

    private final int attemptLimit;
    private final Backoff backoff;

    private RetryPolicy(int attemptLimit, Backoff backoff) {
        this.attemptLimit = attemptLimit;
        this.backoff = backoff;
    }

    /** Returns a policy of four attempts with the backoff of {@link Backoff#defaults()}. */
    public static RetryPolicy defaults() {
        return of(DEFAULT_MAX_ATTEMPTS, Backoff.defaults());
    }

    /**
     * Returns a policy with the given limits.
     *
     * @param attemptLimit maximum number of attempts of one request over all layers, at least 1
     * @throws IllegalArgumentException if {@code attemptLimit} is below 1
     */
    public static RetryPolicy of(int attemptLimit, Backoff backoff) {
        if (attemptLimit < 1) {
            throw new IllegalArgumentException("maximum number of attempts must be at least 1: " + attemptLimit);
        }
        return new RetryPolicy(attemptLimit, backoff);
    }

    /** Returns the decision, which depends only on the arguments and the state of {@code random}. */
    public RetryDecision decide(FailureClass failure, RetrySituation situation, RandomGenerator random) {
        Row row = RetryTable.row(failure);
        boolean mayHaveRun = situation.mayHaveRunBefore() || row.ran() != Ran.NOT_RUN;
        boolean retryAllowed = row.allowsRetry(situation.idempotent());
        boolean earlierAttemptForbids =
                situation.mayHaveRunBefore() && !situation.idempotent() && situation.layer() == RetryLayer.ENTRY;
        if (row.owner() != situation.layer() || !retryAllowed || earlierAttemptForbids) {
            return giveUp(row.error(), mayHaveRun, situation);
        }
        if (situation.attempts() >= attemptLimit) {
            return giveUp(row.error(), mayHaveRun, situation);
        }
        if (row.spendsBudget() && !situation.budget().allowsRetry()) {
            return giveUp(ErrorKind.RETRY_BUDGET_SPENT, mayHaveRun, situation);
        }
        Duration delay = retryDelay(situation, random);
        if (delay.compareTo(situation.remaining()) >= 0) {
            return giveUp(mayHaveRun ? ErrorKind.DEADLINE_PASSED : row.error(), mayHaveRun, situation);
        }
        return new Retry(delay, row.spendsBudget());
    }

    private Duration retryDelay(RetrySituation situation, RandomGenerator random) {
        Duration jittered = backoff.delay(situation.attempts(), random);
        Duration requested = situation.retryAfter().orElse(Duration.ZERO);
        return Comparators.max(requested, jittered);
    }

    private static GiveUp giveUp(ErrorKind error, boolean mayHaveRun, RetrySituation situation) {
        boolean contradictsNotRun = mayHaveRun && error.ran() == Ran.NOT_RUN;
        Optional<Duration> retryAfter = situation.retryAfter();
        return new GiveUp(contradictsNotRun ? ErrorKind.ENDPOINT_FAILED : error, retryAfter);
    }
}
