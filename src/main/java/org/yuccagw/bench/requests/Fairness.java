package org.yuccagw.bench.requests;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.yuccagw.bench.Experiment;
import org.yuccagw.bench.ExperimentOptions;
import org.yuccagw.bench.ExperimentReport;
import org.yuccagw.bench.ExperimentReport.Table;
import org.yuccagw.bench.requests.LimitedCalls.Call;
import org.yuccagw.core.admission.AdmissionComponent;
import org.yuccagw.core.admission.CapacityChanged;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.CatalogueChanged;
import org.yuccagw.core.catalogue.Limits;
import org.yuccagw.core.catalogue.RequestClass;
import org.yuccagw.core.catalogue.SystemLimits;
import org.yuccagw.core.catalogue.Workspace;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.WorkspaceId;

/**
 * One large workspace floods a service; how long do the requests of the small ones wait? Ours is compared, in the
 * same run and with the same arrivals, with one first-come queue for all, and with a quiet time without the flood.
 */
public final class Fairness implements Experiment {
    private static final ServiceName SERVICE = ServiceName.of("assistant");
    private static final WorkspaceId LARGE = WorkspaceId.of("large");
    private static final String CLASS = "interactive";
    private static final int SMALL_WORKSPACES = 9;
    private static final int PLACES = 26;
    private static final double MEAN_RUN_MILLIS = 400;
    private static final double SMALL_PER_SECOND = 2;
    private static final long PREFILL_MILLIS = 150;
    private static final Duration FIRST_TOKEN_DEADLINE = Duration.ofSeconds(10);

    private Fairness() {}

    public static Fairness of() {
        return new Fairness();
    }

    @Override
    public String name() {
        return "fairness";
    }

    @Override
    public String summary() {
        return "Floods a service from one workspace and compares the waits of the others with and without fair queues";
    }

    @Override
    public ExperimentReport run(ExperimentOptions options) throws YuccagwException {
        int seconds = options.positive("seconds", 60);
        int flood = options.positive("flood", 300);
        Result quiet = measure(options.seed(), seconds, 0, true);
        Result firstCome = measure(options.seed(), seconds, flood, false);
        Result fair = measure(options.seed(), seconds, flood, true);
        ExperimentReport.Builder table = Table.of(
                "time to first token of the nine small workspaces, " + PLACES + " places, the large one always has "
                        + flood + " requests in flight",
                "set-up",
                "small let in",
                "small refused",
                "median (ms)",
                "95 in 100 (ms)",
                "95 in 100 against quiet",
                "large let in");
        add(table, "quiet, no flood", quiet, quiet);
        add(table, "flood, one first-come queue", firstCome, quiet);
        add(table, "flood, fair queues", fair, quiet);
        return new ExperimentReport(name(), options.seed(), List.of(table.build()));
    }

    private static void add(ExperimentReport.Builder table, String name, Result result, Result quiet) {
        double ratio = (double) result.at(95) / (double) quiet.at(95);
        table.row(name, result.letIn(), result.refused(), result.at(50), result.at(95), ratio, result.largeLetIn());
    }

    /** What the small workspaces saw, in milliseconds to the first token. */
    record Result(Histogram firstToken, long refused, long largeLetIn) {
        long letIn() {
            return firstToken.getTotalCount();
        }

        long at(double percentile) {
            return firstToken.getValueAtPercentile(percentile);
        }
    }

    /** One run; without fair queues all requests wait as if they were of one workspace. */
    static Result measure(long seed, int seconds, int flood, boolean fair) {
        VirtualEntries entries =
                VirtualEntries.of(seed, 1, (authority, shards) -> List.of(AdmissionComponent.of(authority, shards)));
        EntryId entry = entries.start("entry-1");
        entries.tell(entry, new CatalogueChanged(catalogue()));
        entries.tell(entry, new CapacityChanged(SERVICE, PLACES));
        LimitedCalls calls = LimitedCalls.over(entries, SERVICE, CLASS);
        Set<Call> small = new HashSet<>();
        Traffic traffic = new Traffic(entries, entry, calls, new SplittableRandom(seed - 1), fair);
        for (int request = 0; request < flood; request++) {
            traffic.floodOnce();
        }
        for (int number = 0; number < SMALL_WORKSPACES; number++) {
            // A generator of its own for each, so that the arrivals are the same in every set-up.
            traffic.trickle(WorkspaceId.of("small-" + number), new SplittableRandom(seed + number), small);
        }
        entries.run(Duration.ofSeconds(seconds));
        return judge(calls, small);
    }

    private static Result judge(LimitedCalls calls, Set<Call> small) {
        Histogram firstToken = new Histogram(3);
        long refused = 0;
        long largeLetIn = 0;
        for (Call call : calls.calls()) {
            boolean isSmall = small.contains(call);
            if (isSmall && call.isLetIn()) {
                firstToken.recordValue(call.waited().toMillis() + PREFILL_MILLIS);
            } else if (isSmall && call.isAnswered()) {
                refused++;
            } else if (call.isLetIn()) {
                largeLetIn++;
            }
        }
        return new Result(firstToken, refused, largeLetIn);
    }

    /** The callers: a flood that replaces each request that ended, and small workspaces with random arrivals. */
    private record Traffic(
            VirtualEntries entries, EntryId entry, LimitedCalls calls, SplittableRandom floodRandom, boolean fair) {
        private void floodOnce() {
            calls.call(
                    entry,
                    LARGE,
                    exponential(MEAN_RUN_MILLIS, floodRandom),
                    ended -> entries.after(pause(ended), this::floodOnce));
        }

        /** A refused caller comes back when it was told to. */
        private Duration pause(Call ended) {
            return ended.refusal().flatMap(YuccagwException::retryAfter).orElse(Duration.ofMillis(1));
        }

        private void trickle(WorkspaceId workspace, SplittableRandom own, Set<Call> small) {
            entries.after(exponential(1_000 / SMALL_PER_SECOND, own), () -> {
                small.add(calls.call(entry, fair ? workspace : LARGE, exponential(MEAN_RUN_MILLIS, own)));
                trickle(workspace, own, small);
            });
        }

        private static Duration exponential(double meanMillis, SplittableRandom random) {
            double millis = -Math.log(1 - random.nextDouble()) * meanMillis;
            return Duration.ofNanos((long) (millis * 1_000_000) + 1);
        }
    }

    private static Catalogue catalogue() {
        RequestClass interactive = new RequestClass(
                CLASS, 0, 1, FIRST_TOKEN_DEADLINE, Duration.ofMinutes(5), Duration.ofSeconds(10), 1, 1);
        Map<WorkspaceId, Workspace> workspaces =
                Map.of(LARGE, new Workspace(LARGE, "owner", CLASS, Limits.unlimited(), 1, List.of(), "secret"));
        return Catalogue.of(1, SystemLimits.defaults(), Map.of(CLASS, interactive), workspaces, Map.of(), List.of());
    }
}
