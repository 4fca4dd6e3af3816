package org.yuccagw.bench.requests;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.yuccagw.adapters.peer.ClaimLogProtobuf;
import org.yuccagw.bench.ExperimentReport;
import org.yuccagw.bench.ExperimentReport.Table;
import org.yuccagw.bench.requests.KeyedCalls.Attempt;
import org.yuccagw.core.claim.ClaimComponent;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ShardNumber;

/** What claims cost the key-value service, and callers in waiting, at several rates and without faults. */
final class CommitCost {
    private static final int SHARDS = 16;
    private static final int ENTRIES = 8;
    private static final int SECONDS = 10;
    private static final int[] MAX_CALLS_PER_SECOND = {1, 10, 100, 1_000};
    private static final double MICROS_PER_MILLI = 1e3;

    private CommitCost() {}

    static Table measure(long seed) {
        ExperimentReport.Builder table = Table.of(
                "claims without faults, " + SHARDS + " shards on " + ENTRIES + " entries, KV answers in 6 ms",
                "claims/s",
                "KV writes/s",
                "KV writes for 1000 claims",
                "decided after, median (ms)",
                "decided after, 99 in 100 (ms)");
        for (int rate : MAX_CALLS_PER_SECOND) {
            add(table, rate, seed);
        }
        return table.build();
    }

    private static void add(ExperimentReport.Builder table, int rate, long seed) {
        VirtualEntries entries = VirtualEntries.of(
                seed,
                SHARDS,
                (authority, shards) -> List.of(ClaimComponent.of(authority, shards, ClaimLogProtobuf.of())));
        for (int number = 0; number < ENTRIES; number++) {
            entries.start("entry-" + number);
        }
        entries.tellMembers();
        List<EntryId> names = entries.names();
        for (int shard = 0; shard < SHARDS; shard++) {
            entries.own(ShardNumber.of(shard), names.get(shard % ENTRIES));
        }
        entries.run(Duration.ofSeconds(1));
        KeyedCalls calls = KeyedCalls.over(entries);
        SplittableRandom random = new SplittableRandom(seed);
        int count = rate * SECONDS;
        Histogram waits = new Histogram(3);
        for (int number = 0; number < count; number++) {
            calls.call(names.get(random.nextInt(ENTRIES)), "key-" + number, "body");
            entries.run(Duration.ofSeconds(1).dividedBy(rate));
        }
        entries.run(Duration.ofSeconds(SECONDS));
        for (Attempt attempt : calls.attempts()) {
            waits.recordValue((attempt.decidedNanos() - attempt.askedNanos()) / (long) MICROS_PER_MILLI);
        }
        double writes = (double) entries.keyValue().writes();
        table.row(
                rate,
                writes / SECONDS,
                writes * 1_000 / count,
                waits.getValueAtPercentile(50) / MICROS_PER_MILLI,
                waits.getValueAtPercentile(99) / MICROS_PER_MILLI);
    }
}
