package org.yuccagw.bench.requests;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.yuccagw.bench.Experiment;
import org.yuccagw.bench.ExperimentOptions;
import org.yuccagw.bench.ExperimentReport;
import org.yuccagw.bench.ExperimentReport.Table;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.retry.FailureClass;
import org.yuccagw.core.retry.RetryBudget;
import org.yuccagw.core.retry.RetryDecision;
import org.yuccagw.core.retry.RetryLayer;
import org.yuccagw.core.retry.RetryPolicy;
import org.yuccagw.core.retry.RetrySituation;

/**
 * Counts what one failure costs when three layers retry it and when one owns it, and what a storm costs with and
 * without a retry budget. The owned set-up is {@link RetryPolicy} itself, asked at each layer.
 */
public final class RetryStorm implements Experiment {
    private static final List<RetryLayer> LAYERS =
            List.of(RetryLayer.CLIENT, RetryLayer.ENTRY, RetryLayer.KEY_VALUE_CLIENT);
    private static final int STACKED_ATTEMPTS = 4;
    private static final Duration PLENTY = Duration.ofMinutes(5);

    private RetryStorm() {}

    public static RetryStorm of() {
        return new RetryStorm();
    }

    @Override
    public String name() {
        return "retry-storm";
    }

    @Override
    public String summary() {
        return "Counts endpoint calls for each failure with retries at every layer and with one owner, and in a storm";
    }

    @Override
    public ExperimentReport run(ExperimentOptions options) throws YuccagwException {
        int rate = options.positive("rate", 200);
        int outageMillis = options.positive("outage-millis", 3_000);
        Table storm = new StormModel(rate, outageMillis).compare(options.seed());
        return new ExperimentReport(name(), options.seed(), List.of(perFailure(options.seed()), storm));
    }

    /** How the endpoint of one case behaves. */
    private enum Fault {
        RESET_ON_EVERY_CALL("connection reset on every call", FailureClass.CONNECTION_RESET, true, false),
        TOO_MANY_ON_EVERY_CALL("429 on every call", FailureClass.OVERLOADED, false, false),
        UNAVAILABLE_ON_EVERY_CALL("503 on every call", FailureClass.FAILED, false, false),
        CRASH_AFTER_RUN("endpoint crashes once after it ran", FailureClass.ENDPOINT_DIED, true, true);

        private final String text;
        private final FailureClass failure;
        private final boolean runs;
        private final boolean once;

        Fault(String text, FailureClass failure, boolean runs, boolean once) {
            this.text = text;
            this.failure = failure;
            this.runs = runs;
            this.once = once;
        }
    }

    /** An endpoint that keeps its own count. */
    private static final class FailingEndpoint {
        private final Fault fault;
        private int calls;
        private int runs;

        private FailingEndpoint(Fault fault) {
            this.fault = fault;
        }

        private Optional<FailureClass> call() {
            calls++;
            boolean fails = !fault.once || calls == 1;
            if (!fails || fault.runs) {
                runs++;
            }
            return fails ? Optional.of(fault.failure) : Optional.empty();
        }
    }

    private static Table perFailure(long seed) {
        ExperimentReport.Builder table = Table.of(
                "endpoint calls of one request",
                "failure",
                "calls stacked",
                "calls owned",
                "runs stacked, not idempotent",
                "runs owned, not idempotent");
        for (Fault fault : Fault.values()) {
            FailingEndpoint stacked = new FailingEndpoint(fault);
            callStacked(LAYERS.size(), stacked);
            FailingEndpoint owned = new FailingEndpoint(fault);
            callOwned(owned, true, new SplittableRandom(seed));
            FailingEndpoint ownedOnce = new FailingEndpoint(fault);
            callOwned(ownedOnce, false, new SplittableRandom(seed));
            table.row(fault.text, stacked.calls, owned.calls, stacked.runs, ownedOnce.runs);
        }
        return table.build();
    }

    /** Each layer retries any failure of the one below it, as libraries do by default. */
    private static boolean callStacked(int layersLeft, FailingEndpoint endpoint) {
        if (layersLeft == 0) {
            return endpoint.call().isEmpty();
        }
        for (int attempt = 0; attempt < STACKED_ATTEMPTS; attempt++) {
            if (callStacked(layersLeft - 1, endpoint)) {
                return true;
            }
        }
        return false;
    }

    private static void callOwned(FailingEndpoint endpoint, boolean idempotent, SplittableRandom random) {
        callOwned(LAYERS, endpoint, idempotent, random);
    }

    private static Optional<FailureClass> callOwned(
            List<RetryLayer> layers, FailingEndpoint endpoint, boolean idempotent, SplittableRandom random) {
        if (layers.isEmpty()) {
            return endpoint.call();
        }
        for (int attempt = 1; ; attempt++) {
            List<RetryLayer> below = layers.subList(1, layers.size());
            Optional<FailureClass> failure = callOwned(below, endpoint, idempotent, random);
            if (failure.isEmpty()) {
                return failure;
            }
            RetrySituation situation = new RetrySituation(
                    layers.get(0), idempotent, false, attempt, PLENTY, Optional.empty(), RetryBudget.full(20, 0.1));
            RetryDecision decision = RetryPolicy.defaults().decide(failure.get(), situation, random);
            if (decision instanceof RetryDecision.GiveUp) {
                return failure;
            }
        }
    }
}
