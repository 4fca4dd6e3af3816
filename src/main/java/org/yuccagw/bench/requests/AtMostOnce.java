package org.yuccagw.bench.requests;

import java.util.List;
import org.yuccagw.adapters.peer.ClaimLogProtobuf;
import org.yuccagw.bench.Experiment;
import org.yuccagw.bench.ExperimentOptions;
import org.yuccagw.bench.ExperimentReport;
import org.yuccagw.bench.ExperimentReport.Table;
import org.yuccagw.bench.requests.KeyedCalls.Told;
import org.yuccagw.core.claim.ClaimComponent;
import org.yuccagw.core.claim.ClaimGuards;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.port.KeyValueAnswer.Conflict;

/**
 * Thousands of keyed calls on several control cores under random seeded faults; duplicates and refusals that lied are
 * counted from the endpoint's own record. Beside ours, in the same run and with the same seed, claims with a guard
 * taken away.
 */
public final class AtMostOnce implements Experiment {
    private static final int USUAL_CALLS = 4_000;

    private AtMostOnce() {}

    public static AtMostOnce of() {
        return new AtMostOnce();
    }

    @Override
    public String name() {
        return "at-most-once";
    }

    @Override
    public String summary() {
        return "Runs keyed calls under random faults and counts duplicates and untrue refusals, guarded and not";
    }

    @Override
    public ExperimentReport run(ExperimentOptions options) throws YuccagwException {
        int calls = options.positive("calls", USUAL_CALLS);
        ExperimentReport.Builder table = Table.of(
                "keyed calls under faults",
                "claims",
                "calls",
                "keys",
                "runs",
                "duplicates",
                "refusals that lied",
                "broken invariants",
                "answered",
                "not run",
                "unknown",
                "followed",
                "no answer (entry died)",
                "faults",
                "KV calls for 1000 calls",
                "largest KV value (bytes)");
        ClaimGuards usual = ClaimGuards.defaults();
        add(table, "committed and fenced", usual, options.seed(), calls);
        add(
                table,
                "commit without its revision",
                usual.withExpectedRevision(revision -> VirtualKeyValue.ANY_REVISION),
                options.seed(),
                calls);
        add(
                table,
                "granted without a confirmed commit",
                usual.withConfirms(answer -> !(answer instanceof Conflict)),
                options.seed(),
                calls);
        return new ExperimentReport(name(), options.seed(), List.of(table.build(), CommitCost.measure(options.seed())));
    }

    private static void add(ExperimentReport.Builder table, String name, ClaimGuards guards, long seed, int count) {
        FaultyRun run = run(guards, seed, count);
        KeyedCalls calls = run.calls();
        long keys = calls.attempts().stream()
                .map(KeyedCalls.Attempt::key)
                .distinct()
                .count();
        table.row(
                name,
                calls.attempts().size(),
                keys,
                calls.runs().size(),
                calls.duplicates(),
                calls.liedRefusals(),
                calls.violations().size(),
                calls.told(Told.ANSWERED),
                calls.told(Told.NOT_RUN),
                calls.told(Told.MAY_HAVE_RUN),
                calls.told(Told.FOLLOWS),
                calls.told(Told.NOTHING_YET),
                run.faults(),
                run.entries().keyValue().calls() * 1000 / calls.attempts().size(),
                run.entries().keyValue().largestValue());
    }

    /** One run, for a test to look into. */
    public static FaultyRun run(ClaimGuards guards, long seed, int count) {
        VirtualEntries entries = VirtualEntries.of(
                seed,
                FaultyRun.SHARDS,
                (authority, shards) ->
                        List.of(ClaimComponent.withGuards(authority, shards, ClaimLogProtobuf.of(), guards)));
        FaultyRun run = FaultyRun.of(entries, seed);
        run.run(count);
        return run;
    }
}
