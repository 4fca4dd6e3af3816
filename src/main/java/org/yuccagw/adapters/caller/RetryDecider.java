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
 * The retry policy as the entry applies it, with one budget for each service that all traffic threads share. A
 * budget is an immutable value; a thread that loses the race to replace it decides again with the value that won.
 */
public final class RetryDecider {
    private final RetryPolicy policy;
    private final Supplier<SystemLimits> limits;
    private final Map<ServiceName, AtomicReference<RetryBudget>> budgets = new ConcurrentHashMap<>();

    private RetryDecider(RetryPolicy policy, Supplier<SystemLimits> limits) {
        this.policy = policy;
        this.limits = limits;
    }

    /** A gate whose budgets start full at the size in the catalogue. */
    public static RetryDecider of(RetryPolicy policy, Supplier<SystemLimits> limits) {
        return new RetryDecider(policy, limits);
    }

    /** Decides after a failed attempt, and spends from the budget if that is the decision. */
    RetryDecision decide(ServiceName service, RequestSoFar request) {
        AtomicReference<RetryBudget> holder = budget(service);
        while (true) {
            RetryBudget budget = holder.get();
            RetrySituation situation = new RetrySituation(
                    RetryLayer.ENTRY,
                    request.idempotent(),
                    request.mayHaveRunBefore(),
                    request.attemptsMade(),
                    request.remaining(),
                    Optional.empty(),
                    budget);
            RetryDecision decision =
                    policy.decide(request.failure().failureClass(), situation, ThreadLocalRandom.current());
            boolean spends = decision instanceof RetryDecision.Retry retry && retry.spendsBudget();
            if (!spends || holder.compareAndSet(budget, budget.spend())) {
                return decision;
            }
        }
    }

    /** A request succeeded: the budget of its service earns. */
    void succeeded(ServiceName service) {
        budget(service).updateAndGet(RetryBudget::succeed);
    }

    private AtomicReference<RetryBudget> budget(ServiceName service) {
        return budgets.computeIfAbsent(service, name -> {
            SystemLimits present = limits.get();
            return new AtomicReference<>(RetryBudget.full(present.retryBudget(), present.retryEarn()));
        });
    }

    /** What is known of the request whose attempt failed. */
    record RequestSoFar(
            org.yuccagw.core.request.AttemptFailure failure,
            boolean idempotent,
            boolean mayHaveRunBefore,
            int attemptsMade,
            Duration remaining) {}
}
