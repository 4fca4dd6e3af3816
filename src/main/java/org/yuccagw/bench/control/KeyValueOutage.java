package org.yuccagw.bench.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.yuccagw.bench.Experiment;
import org.yuccagw.bench.ExperimentOptions;
import org.yuccagw.bench.ExperimentReport;
import org.yuccagw.bench.ExperimentReport.Table;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.CatalogueEditRequested;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.membership.DirectorySnapshot;
import org.yuccagw.core.shard.ShardsComponent;

/**
 * The key-value service is down for long. Measured are who stays ready, how many calls are tried, how an entry that
 * restarts meanwhile fares, and how long everything takes to recover; also when all entries restart during the outage.
 */
public final class KeyValueOutage implements Experiment {
    private static final Duration LIMIT = Duration.ofMinutes(10);

    private KeyValueOutage() {}

    public static KeyValueOutage create() {
        return new KeyValueOutage();
    }

    @Override
    public String name() {
        return "kv-outage";
    }

    @Override
    public String summary() {
        return "the key-value service is down for an hour: readiness, calls tried, recovery";
    }

    @Override
    public ExperimentReport run(ExperimentOptions options) throws YuccagwException {
        int entries = options.positive("entries", 8);
        Duration outage = Duration.ofMinutes(options.positive("minutes", 60));
        ExperimentReport.Builder rows = Table.of(
                "Outage of " + outage.toMinutes() + " virtual minutes, " + entries + " entries",
                "entries restarted meanwhile",
                "ready during the outage",
                "revision before/during/after",
                "calls tried per entry and second",
                "restarted entry ready after s",
                "after the end: all ready after s",
                "all shards owned after s",
                "edit in force everywhere after s");
        for (int restarted : new int[] {0, 1, entries}) {
            new Run(options.seed(), entries).report(restarted, outage, rows);
        }
        return new ExperimentReport(name(), options.seed(), List.of(rows.build()));
    }

    /** One deployment and one outage. */
    private static final class Run {
        private final ControlBench bench;
        private final int entries;
        private final Map<String, ShardsComponent> authorities = new HashMap<>();

        private Run(long seed, int entries) {
            this.bench = ControlBench.of(seed);
            this.entries = entries;
            for (int index = 0; index < entries; index++) {
                start(index);
            }
            bench.runFor(Duration.ofSeconds(5));
            edit(0, 5);
            seconds(() -> everyShardIsOwned() && readyCount() == entries);
            bench.runFor(Duration.ofSeconds(30));
        }

        private void report(int restarted, Duration outage, ExperimentReport.Builder rows) {
            long before = lowestRevision();
            bench.keyValue().setDown(true);
            bench.runFor(Duration.ofSeconds(30));
            for (int index = 0; index < restarted; index++) {
                bench.node("entry-" + index).orElseThrow().kill();
            }
            for (int index = 0; index < restarted; index++) {
                start(index);
            }
            boolean peersLive = restarted > 0 && restarted < entries;
            double readyAgain = peersLive ? seconds(() -> readyCount() == entries) : 0;
            bench.keyValue().forgetCalls();
            bench.runFor(outage);
            double tried = bench.keyValue().calls() / (double) entries / outage.toSeconds();
            int readyDuring = readyCount();
            long during = lowestRevision();
            bench.keyValue().setDown(false);
            double ready = seconds(() -> readyCount() == entries);
            double owned = ready + seconds(this::everyShardIsOwned);
            long after = lowestRevision();
            double inForce = edit(after, 6);
            rows.row(
                    restarted,
                    readyDuring,
                    before + "/" + during + "/" + after,
                    tried,
                    peersLive ? readyAgain : "-",
                    ready,
                    owned,
                    inForce);
        }

        private void start(int index) {
            ControlComponents.WithShards parts = ControlComponents.withShards();
            authorities.put("entry-" + index, parts.shards());
            bench.start("entry-" + index, parts.parts());
        }

        private double edit(long base, int limit) {
            Catalogue wanted = SampleCatalogues.withLimit(SampleCatalogues.ofWorkspaces(10), "workspace-0", limit);
            List<CatalogueEditRequested.Result> results = new ArrayList<>();
            bench.node("entry-0")
                    .orElseThrow()
                    .offer(new CatalogueEditRequested(base, wanted, "edit-" + limit, "mari", results::add));
            return seconds(() -> lowestRevision() > base);
        }

        private double seconds(BooleanSupplier condition) {
            long began = bench.time().nowNanos();
            bench.runUntil(condition, LIMIT);
            return Duration.ofNanos(bench.time().nowNanos() - began).toMillis() / 1000.0;
        }

        private int readyCount() {
            return (int) bench.nodes().stream()
                    .filter(node ->
                            node.state(DirectorySnapshot.class).orElseThrow().ready())
                    .count();
        }

        private long lowestRevision() {
            return bench.nodes().stream()
                    .mapToLong(node -> node.state(Catalogue.class).orElseThrow().revision())
                    .min()
                    .orElseThrow();
        }

        private boolean everyShardIsOwned() {
            for (int number = 0; number < 16; number++) {
                ShardNumber shard = ShardNumber.of(number);
                boolean owned = authorities.values().stream()
                        .anyMatch(
                                shards -> shards.epochIfHeld(shard, bench.time().nowNanos())
                                        .isPresent());
                if (!owned) {
                    return false;
                }
            }
            return true;
        }
    }
}
