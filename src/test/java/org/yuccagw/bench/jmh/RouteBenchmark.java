package org.yuccagw.bench.jmh;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.core.routing.AttemptReport;
import org.yuccagw.core.routing.CacheCore;
import org.yuccagw.core.routing.RouteRequested;

/** One routing decision with its reports, by the number of candidates. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 4, time = 1)
public class RouteBenchmark {
    private static final int PROMPTS = 2_000;
    private static final int BLOCKS = 64;

    @Param({"13", "130", "1250"})
    public int candidates;

    private final List<List<BlockKey>> prompts = new ArrayList<>();
    private CacheCore core;
    private int next;

    @Setup
    public void serveEachPromptOnce() {
        core = CacheCore.withDefaults(candidates);
        for (int i = 0; i < PROMPTS; i++) {
            prompts.add(CacheCore.prompt("prompt" + i, BLOCKS));
            core.serve(prompts.get(i));
        }
    }

    @Benchmark
    public RouteRequested.Answer decision() {
        next = (next + 1) % PROMPTS;
        RouteRequested.Answer.Chosen chosen = core.route(prompts.get(next));
        core.handle(new AttemptReport.Ended(chosen.attempt(), false, 0, 0));
        return chosen;
    }
}
