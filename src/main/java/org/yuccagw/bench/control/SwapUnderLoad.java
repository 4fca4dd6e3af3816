package org.yuccagw.bench.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.yuccagw.bench.Experiment;
import org.yuccagw.bench.ExperimentOptions;
import org.yuccagw.bench.ExperimentReport;
import org.yuccagw.bench.ExperimentReport.Table;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.CatalogueEditRequested;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.shard.ShardsComponent;
import org.yuccagw.core.swap.SwapsComponent;

/**
 * A weight swap of a whole pool, with several limits of replicas that load at once and with an owner that dies in the
 * middle. Loading takes longer once more replicas load at the same time than the weight store can feed.
 */
public final class SwapUnderLoad implements Experiment {
    private static final Duration LOAD = Duration.ofMillis(450);
    private static final Duration LIMIT = Duration.ofMinutes(10);
    private static final WeightVersion NEXT = WeightVersion.of("v2");
    private static final int ENTRIES = 8;
    private static final String POOL = "assistant";

    private SwapUnderLoad() {}

    public static SwapUnderLoad create() {
        return new SwapUnderLoad();
    }

    @Override
    public String name() {
        return "swap-under-load";
    }

    @Override
    public String summary() {
        return "a rolling weight swap: time, capacity kept and service calls by limit, and with the owner dying";
    }

    @Override
    public ExperimentReport run(ExperimentOptions options) throws YuccagwException {
        int replicas = options.positive("replicas", 13);
        int fed = options.positive("fed-at-once", 3);
        ExperimentReport.Builder rows = Table.of(
                "Swap of " + replicas + " replicas; the weight store feeds " + fed + " at full speed",
                "limit",
                "owner dies",
                "virtual seconds",
                "most loading at once",
                "fewest serving",
                "replica seconds lost",
                "orders",
                "key-value writes");
        for (int limit = 1; limit <= Math.min(2 * fed, replicas); limit++) {
            new Run(options.seed(), replicas, fed, limit).report(false, rows);
        }
        new Run(options.seed(), replicas, fed, fed).report(true, rows);
        return new ExperimentReport(name(), options.seed(), List.of(rows.build()));
    }

    /** One deployment and one swap. */
    private static final class Run {
        private final ControlBench bench;
        private final EnginePool engines;
        private final Map<BenchNode, ShardsComponent> authorities = new HashMap<>();
        private final int limit;
        private final int replicas;

        private Run(long seed, int replicas, int fed, int limit) {
            this.bench = ControlBench.of(seed);
            this.limit = limit;
            this.replicas = replicas;
            this.engines = EnginePool.start(bench, POOL, replicas, SampleCatalogues.FIRST_VERSION, true, LOAD);
            engines.feedAtOnce(fed);
            for (int index = 0; index < ENTRIES; index++) {
                ControlComponents.WithShards parts = ControlComponents.withShards();
                authorities.put(bench.start("entry-" + index, parts.parts()), parts.shards());
            }
            bench.runFor(Duration.ofSeconds(5));
            edit(SampleCatalogues.FIRST_VERSION, "first");
            bench.runFor(Duration.ofSeconds(30));
        }

        private void report(boolean ownerDies, ExperimentReport.Builder rows) {
            bench.keyValue().forgetCalls();
            long began = bench.time().nowNanos();
            edit(NEXT, "swap");
            if (ownerDies) {
                bench.runUntil(() -> engines.arrived().size() > replicas / 2, LIMIT);
                authorities.forEach((node, shards) -> killIfOwner(node, shards));
            }
            bench.runUntil(() -> engines.allRun(NEXT), LIMIT);
            double seconds = Duration.ofNanos(bench.time().nowNanos() - began).toMillis() / 1000.0;
            rows.row(
                    limit,
                    ownerDies,
                    seconds,
                    engines.mostLoadingAtOnce(),
                    engines.fewestServing(),
                    engines.loadingSeconds(),
                    engines.arrived().size(),
                    bench.keyValue().callsByKind().getOrDefault("CompareAndSwap", 0L));
        }

        private void killIfOwner(BenchNode node, ShardsComponent shards) {
            if (shards.epochIfHeld(
                            SwapsComponent.shardOf(POOL, 16), bench.time().nowNanos())
                    .isPresent()) {
                node.kill();
            }
        }

        private void edit(WeightVersion version, String editId) {
            BenchNode node = bench.node("entry-0").orElseThrow();
            long base = node.state(Catalogue.class).orElseThrow().revision();
            Catalogue wanted =
                    SampleCatalogues.withPool(SampleCatalogues.ofWorkspaces(1), POOL, version, true, limit, 1);
            List<CatalogueEditRequested.Result> results = new ArrayList<>();
            node.offer(new CatalogueEditRequested(base, wanted, editId, "mari", results::add));
            bench.runUntil(() -> !results.isEmpty(), LIMIT);
        }
    }
}
