package org.yuccagw.bench.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.yuccagw.bench.Experiment;
import org.yuccagw.bench.ExperimentOptions;
import org.yuccagw.bench.ExperimentReport;
import org.yuccagw.bench.ExperimentReport.Table;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.CatalogueEditRequested;
import org.yuccagw.core.catalogue.CatalogueEditRequested.Result;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.port.KeyValueCall;

/**
 * Two operators change the same field at the same time, again and again, through different entries, while answers of
 * the key-value service are lost at a given rate. Counted are outcomes, and what must never happen: both accepted, an
 * accepted edit that isn't in force, a revision that goes back.
 */
public final class CatalogueRace implements Experiment {
    private static final Duration LIMIT = Duration.ofMinutes(2);
    private static final double LOST_ANSWERS = 0.2;

    private CatalogueRace() {}

    public static CatalogueRace create() {
        return new CatalogueRace();
    }

    @Override
    public String name() {
        return "catalogue-race";
    }

    @Override
    public String summary() {
        return "two operators race, answers are lost: outcomes, and the time until an edit is in force everywhere";
    }

    @Override
    public ExperimentReport run(ExperimentOptions options) throws YuccagwException {
        int rounds = options.positive("rounds", 200);
        int entries = options.positive("entries", 8);
        ExperimentReport.Builder outcomes = Table.of(
                "Outcomes of races",
                "answers lost",
                "races",
                "one accepted, one conflict",
                "both accepted",
                "none accepted",
                "unconfirmed, resolved later",
                "in force wrongly",
                "revision went back");
        ExperimentReport.Builder times = Table.of(
                "Virtual time from the operator's request until in force on every entry, one edit at a time",
                "answers lost",
                "entries",
                "median ms",
                "99th percentile ms",
                "worst ms");
        for (double lost : new double[] {0, LOST_ANSWERS}) {
            new Run(options.seed(), entries, rounds, lost).report(outcomes, times);
        }
        return new ExperimentReport(name(), options.seed(), List.of(outcomes.build(), times.build()));
    }

    /** One deployment and its races. */
    private static final class Run {
        private final ControlBench bench;
        private final SplittableRandom random;
        private final List<BenchNode> nodes = new ArrayList<>();
        private final Map<BenchNode, Long> highest = new HashMap<>();
        private final Histogram millis = new Histogram(3);
        private final int rounds;
        private final double lost;
        private int clean;
        private int bothAccepted;
        private int neither;
        private int unconfirmed;
        private int wronglyInForce;
        private int wentBack;

        private Run(long seed, int entries, int rounds, double lost) {
            this.bench = ControlBench.of(seed);
            this.random = new SplittableRandom(seed);
            this.rounds = rounds;
            this.lost = lost;
            for (int index = 0; index < entries; index++) {
                nodes.add(bench.start("entry-" + index, ControlComponents.all()));
            }
            bench.runFor(Duration.ofSeconds(10));
        }

        private void report(ExperimentReport.Builder outcomes, ExperimentReport.Builder times) {
            bench.keyValue()
                    .loseAnswersOf(call -> call instanceof KeyValueCall.CompareAndSwap && random.nextDouble() < lost);
            for (int round = 0; round < rounds; round++) {
                race(round);
                measureSpread(round);
            }
            outcomes.row(lost, rounds, clean, bothAccepted, neither, unconfirmed, wronglyInForce, wentBack);
            times.row(
                    lost,
                    nodes.size(),
                    millis.getValueAtPercentile(50),
                    millis.getValueAtPercentile(99),
                    millis.getMaxValue());
        }

        private void race(int round) {
            Catalogue base = nodes.get(0).state(Catalogue.class).orElseThrow();
            Catalogue start = base.revision() == 0 ? SampleCatalogues.ofWorkspaces(10) : base;
            int left = random.nextInt(nodes.size());
            int right = (left + 1 + random.nextInt(nodes.size() - 1)) % nodes.size();
            Catalogue leftWanted = SampleCatalogues.withLimit(start, "workspace-0", 1000 + 2 * round);
            Catalogue rightWanted = SampleCatalogues.withLimit(start, "workspace-0", 1001 + 2 * round);
            List<Result> leftResult = new ArrayList<>();
            List<Result> rightResult = new ArrayList<>();
            ask(left, base.revision(), leftWanted, "left-" + round, leftResult);
            bench.runFor(Duration.ofMillis(random.nextInt(12)));
            ask(right, base.revision(), rightWanted, "right-" + round, rightResult);
            bench.runUntil(() -> !leftResult.isEmpty() && !rightResult.isEmpty(), LIMIT);
            boolean leftAccepted = resolve(left, base.revision(), leftWanted, "left-" + round, leftResult);
            boolean rightAccepted = resolve(right, base.revision(), rightWanted, "right-" + round, rightResult);
            if (leftAccepted && rightAccepted) {
                bothAccepted++;
            } else if (leftAccepted || rightAccepted) {
                clean++;
            }
            if (leftAccepted || rightAccepted) {
                check(base.revision() + 1, leftAccepted ? leftWanted : rightWanted);
            } else {
                neither++;
            }
        }

        private void ask(int node, long base, Catalogue wanted, String editId, List<Result> results) {
            nodes.get(node).offer(new CatalogueEditRequested(base, wanted, editId, "operator-" + node, results::add));
        }

        /** An unconfirmed edit is sent again under its id until its outcome is known. */
        private boolean resolve(int node, long base, Catalogue wanted, String editId, List<Result> first) {
            Result result = first.get(0);
            if (isUnconfirmed(result)) {
                unconfirmed++;
            }
            while (isUnconfirmed(result)) {
                List<Result> again = new ArrayList<>();
                ask(node, base, wanted, editId, again);
                bench.runUntil(() -> !again.isEmpty(), LIMIT);
                result = again.get(0);
            }
            return result instanceof Result.Accepted;
        }

        private static boolean isUnconfirmed(Result result) {
            return result instanceof Result.Refused refused && refused.error().kind() == ErrorKind.EDIT_UNCONFIRMED;
        }

        /** Waits until the accepted edit is in force everywhere and looks whether it is that one. */
        private void check(long revision, Catalogue expected) {
            bench.runUntil(() -> lowestRevision() >= revision, LIMIT);
            for (BenchNode node : nodes) {
                Catalogue inForce = node.state(Catalogue.class).orElseThrow();
                if (!inForce.atRevision(0).equals(expected.atRevision(0))) {
                    wronglyInForce++;
                }
                if (inForce.revision() < highest.getOrDefault(node, 0L)) {
                    wentBack++;
                }
                highest.put(node, inForce.revision());
            }
        }

        private void measureSpread(int round) {
            Catalogue base = nodes.get(0).state(Catalogue.class).orElseThrow();
            Catalogue wanted = SampleCatalogues.withLimit(base, "workspace-1", 1 + round);
            int node = random.nextInt(nodes.size());
            long began = bench.time().nowNanos();
            boolean accepted = false;
            while (!accepted) {
                List<Result> results = new ArrayList<>();
                ask(node, base.revision(), wanted, "alone-" + round, results);
                bench.runUntil(() -> !results.isEmpty(), LIMIT);
                accepted = results.get(0) instanceof Result.Accepted;
            }
            bench.runUntil(() -> lowestRevision() > base.revision(), LIMIT);
            millis.recordValue(Duration.ofNanos(bench.time().nowNanos() - began).toMillis());
            check(base.revision() + 1, wanted);
            bench.runFor(Duration.ofSeconds(1));
        }

        private long lowestRevision() {
            return nodes.stream()
                    .mapToLong(node -> node.state(Catalogue.class).orElseThrow().revision())
                    .min()
                    .orElseThrow();
        }
    }
}
