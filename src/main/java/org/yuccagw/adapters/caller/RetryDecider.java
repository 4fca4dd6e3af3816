package org.yuccagw.adapters.caller;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.yuccagw.core.catalogue.SystemLimits;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.retry.RetryBudget;
import org.yuccagw.core.retry.RetryDecision;
import org.yuccagw.core.retry.RetryLayer;
import org.yuccagw.core.retry.RetryPolicy;
import org.yuccagw.core.retry.RetrySituation;

/**
 * Applies the retry policy of the entry, with one retry budget per service shared by all traffic threads.
 *
 * <p>A budget is an immutable value that is replaced with compare-and-set. A thread whose update fails decides again
 * with the new value.
 */
public final class RetryDecider {
    private final RetryPolicy policy;
    private final Supplier<SystemLimits> limits;
    private final Map<ServiceName, AtomicReference<RetryBudget>> budgets = new ConcurrentHashMap<>();

    private RetryDecider(RetryPolicy policy, Supplier<SystemLimits> limits) {
        this.policy = policy;
        this.limits = limits;
    }

    /** Returns a decider whose budgets start full, with the size given in the catalogue. */
    public static RetryDecider of(RetryPolicy policy, Supplier<SystemLimits> limits) {
        return new RetryDecider(policy, limits);
    }

    /**
     * Decides whether to retry a failed attempt, and spends from the budget of the service if the decision requires it.
     */
    RetryDecision decide(ServiceName service, FailedAttempt attempt) {
        AtomicReference<RetryBudget> budgetReference = budget(service);
        while (true) {
            RetryBudget budget = budgetReference.get();
            RetrySituation situation = new RetrySituation(
                    RetryLayer.ENTRY,
                    attempt.idempotent(),
                    attempt.mayHaveRunBefore(),
                    attempt.attemptsMade(),
                    attempt.remaining(),
                    Optional.empty(),
                    budget);
            RetryDecision decision =
                    policy.decide(attempt.failure().failureClass(), situation, ThreadLocalRandom.current());
            boolean spendsBudget = decision instanceof RetryDecision.Retry retry && retry.spendsBudget();
            if (!spendsBudget || budgetReference.compareAndSet(budget, budget.spend())) {
                return decision;
            }
        }
    }

    /** Credits the budget of a service for a successful request. */
    void creditBudget(ServiceName service) {
        budget(service).updateAndGet(RetryBudget::succeed);
    }

    private AtomicReference<RetryBudget> budget(ServiceName service) {
        return budgets.computeIfAbsent(service, name -> {
            SystemLimits systemLimits = limits.get();
            return new AtomicReference<>(RetryBudget.full(systemLimits.retryBudget(), systemLimits.retryEarn()));
        });
    }

    /**
     * A failed attempt and the state of its request.
     *
     * @param mayHaveRunBefore whether an earlier attempt may have run
     * @param attemptsMade number of attempts so far
     * @param remaining time left until the deadline of the request
     */
    record FailedAttempt(
            org.yuccagw.core.request.AttemptFailure failure,
            boolean idempotent,
            boolean mayHaveRunBefore,
            int attemptsMade,
            Duration remaining) {}
}
