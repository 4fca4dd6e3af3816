package org.yuccagw.bench.requests;

import java.time.Duration;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.yuccagw.bench.ExperimentReport;
import org.yuccagw.bench.ExperimentReport.Table;
import org.yuccagw.core.retry.Backoff;
import org.yuccagw.core.retry.FailureClass;
import org.yuccagw.core.retry.RetryBudget;
import org.yuccagw.core.retry.RetryDecision;
import org.yuccagw.core.retry.RetryDecision.Retry;
import org.yuccagw.core.retry.RetryLayer;
import org.yuccagw.core.retry.RetryPolicy;
import org.yuccagw.core.retry.RetrySituation;

/**
 * An endpoint pool that stops for a few seconds under a steady load, in steps of 10 ms of virtual time.
 *
 * <p>The pool has a number of units of work a second. An answer takes one unit and a refusal takes a part of one, as
 * refusing costs a real server something too. That is how retries can keep a pool down after its outage: once
 * refusals use up the units, there are none for answers.
 */
final class StormModel {
    private static final long STEP_MILLIS = 10;
    private static final long END_MILLIS = 60_000;
    private static final long OUTAGE_START_MILLIS = 10_000;
    private static final double UNITS_PER_SECOND = 300;
    private static final double UNITS_OF_REFUSAL = 0.5;
    private static final long DEADLINE_MILLIS = 10_000;

    private final int requestsPerSecond;
    private final long outageEndMillis;

    StormModel(int requestsPerSecond, int outageMillis) {
        this.requestsPerSecond = requestsPerSecond;
        this.outageEndMillis = OUTAGE_START_MILLIS + outageMillis;
    }

    /** One attempt that waits for its time. */
    private record Attempt(long atMillis, long askedMillis, int number) implements Comparable<Attempt> {
        @Override
        public int compareTo(Attempt other) {
            return Long.compare(atMillis, other.atMillis);
        }
    }

    /** One run of one set-up. */
    private final class Run {
        private final RetryPolicy policy;
        private final SplittableRandom random;
        private final PriorityQueue<Attempt> attempts = new PriorityQueue<>();
        private RetryBudget budget;
        private double units;
        private long calls;
        private long answers;
        private long refused;
        private long callsInOutage;
        private long peakCallsInSecond;
        private long lastRefusalMillis;

        private Run(RetryPolicy policy, RetryBudget budget, long seed) {
            this.policy = policy;
            this.budget = budget;
            this.random = new SplittableRandom(seed);
        }

        private void run() {
            long callsThisSecond = 0;
            for (long now = 0; now < END_MILLIS; now += STEP_MILLIS) {
                boolean down = now >= OUTAGE_START_MILLIS && now < outageEndMillis;
                units = down ? 0 : Math.min(UNITS_PER_SECOND / 10, units + UNITS_PER_SECOND * STEP_MILLIS / 1000);
                arrive(now);
                long before = calls;
                while (!attempts.isEmpty() && attempts.peek().atMillis() <= now) {
                    call(attempts.poll(), now);
                }
                callsThisSecond = now % 1000 == 0 ? calls - before : callsThisSecond + calls - before;
                peakCallsInSecond = Math.max(peakCallsInSecond, callsThisSecond);
                callsInOutage += down ? calls - before : 0;
            }
        }

        private void arrive(long now) {
            double expected = (double) requestsPerSecond * STEP_MILLIS / 1000;
            long count = (long) expected + (random.nextDouble() < expected - Math.floor(expected) ? 1 : 0);
            for (long index = 0; index < count; index++) {
                attempts.add(new Attempt(now, now, 1));
            }
        }

        private void call(Attempt attempt, long now) {
            calls++;
            if (units >= 1) {
                units -= 1;
                answers++;
                budget = budget.succeed();
                return;
            }
            units = Math.max(0, units - UNITS_OF_REFUSAL);
            lastRefusalMillis = now;
            RetryDecision decision = policy.decide(FailureClass.OVERLOADED, situation(attempt, now), random);
            if (decision instanceof Retry retry) {
                budget = budget.spend();
                long at = now + Math.max(STEP_MILLIS, retry.delay().toMillis());
                attempts.add(new Attempt(at, attempt.askedMillis(), attempt.number() + 1));
            } else {
                refused++;
            }
        }

        private RetrySituation situation(Attempt attempt, long now) {
            Duration remaining = Duration.ofMillis(DEADLINE_MILLIS - (now - attempt.askedMillis()));
            return new RetrySituation(
                    RetryLayer.ENTRY, true, false, attempt.number(), remaining, Optional.empty(), budget);
        }
    }

    /** Runs the set-ups with the same seed. */
    Table compare(long seed) {
        ExperimentReport.Builder table = Table.of(
                "a pool that stops for " + (outageEndMillis - OUTAGE_START_MILLIS) + " ms under " + requestsPerSecond
                        + " requests/s",
                "set-up",
                "endpoint calls",
                "calls in the outage",
                "most calls in a second",
                "answered",
                "refused",
                "last refusal after the outage (s)");
        // Three layers of four attempts each make 64 attempts of one request.
        RetryPolicy stacked = RetryPolicy.of(64, Backoff.defaults());
        add(table, "stacked, no budget", new Run(stacked, RetryBudget.unlimited(), seed));
        add(table, "owned, no budget", new Run(RetryPolicy.defaults(), RetryBudget.unlimited(), seed));
        add(table, "owned, budget", new Run(RetryPolicy.defaults(), RetryBudget.full(20, 0.1), seed));
        add(table, "no retries", new Run(RetryPolicy.of(1, Backoff.defaults()), RetryBudget.unlimited(), seed));
        return table.build();
    }

    private void add(ExperimentReport.Builder table, String name, Run run) {
        run.run();
        double lastRefusal = Math.max(0, run.lastRefusalMillis - outageEndMillis) / 1000.0;
        table.row(name, run.calls, run.callsInOutage, run.peakCallsInSecond, run.answers, run.refused, lastRefusal);
    }
}
