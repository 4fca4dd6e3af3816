package org.yuccagw.bench.local;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponseListener;
import org.yuccagw.bench.Experiment;
import org.yuccagw.bench.ExperimentOptions;
import org.yuccagw.bench.ExperimentReport;
import org.yuccagw.bench.ExperimentReport.Table;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.port.BodyEnd;
import org.yuccagw.standins.engine.EngineCosts;

/**
 * What an entry adds to a request: the same prompts go to a stand-in engine directly and through one entry, in one run,
 * at several numbers of concurrent streams.
 *
 * <p>Everything runs in one JVM, so processor time and allocation are told apart by the names of threads: those of the
 * entry's traffic and control, and those of its calls to the platform. Times are of this machine; ratios of one run are
 * what bounds rest on.
 */
public final class RequestCost implements Experiment {
    private static final int USUAL_REQUESTS = 1_024;
    private static final int USUAL_TOKENS = 16;
    private static final int MANY_TOKENS = 256;
    private static final int SLOPE_STREAMS = 32;
    private static final int WARM_UPS = 2;
    private static final int SPEED = 50;
    private static final int BATCH = 1_024;
    private static final int[] STREAMS = {1, 8, 64, 512};
    private static final Duration LONGEST = Duration.ofSeconds(60);
    private static final double MICROS = 1e3;

    private RequestCost() {}

    public static RequestCost create() {
        return new RequestCost();
    }

    @Override
    public String name() {
        return "request-cost";
    }

    @Override
    public String summary() {
        return "What an entry adds to a request, against a direct call to the same engine in the same run";
    }

    /** One way at one number of streams and length of answers. */
    public record Cost(
            String way,
            int streams,
            int tokens,
            int requests,
            double requestsPerSecond,
            double firstTokenMedianMicros,
            double firstTokenWorstOfTwentyMicros,
            double entryProcessorMicrosForEach,
            double entryBytesForEach,
            double keyValueCallsForThousand,
            int failures) {}

    @Override
    public ExperimentReport run(ExperimentOptions options) throws YuccagwException {
        List<Cost> costs = measure(options.positive("requests", USUAL_REQUESTS));
        ExperimentReport.Builder table = Table.of(
                "cost of a request",
                "way",
                "streams",
                "answer tokens",
                "requests",
                "requests/s",
                "first token median us",
                "first token 95 in 100 us",
                "entry processor us/request",
                "entry allocation bytes/request",
                "key-value calls/1000 requests",
                "failures");
        for (Cost cost : costs) {
            table.row(
                    cost.way(),
                    cost.streams(),
                    cost.tokens(),
                    cost.requests(),
                    cost.requestsPerSecond(),
                    cost.firstTokenMedianMicros(),
                    cost.firstTokenWorstOfTwentyMicros(),
                    cost.entryProcessorMicrosForEach(),
                    cost.entryBytesForEach(),
                    cost.keyValueCallsForThousand(),
                    cost.failures());
        }
        return new ExperimentReport(name(), options.seed(), List.of(table.build()));
    }

    /** Both ways at each number of streams, after a warm-up of both. */
    public static List<Cost> measure(int requests) throws YuccagwException {
        EngineCosts fast = EngineCosts.defaults()
                .withSpeedFactor(SPEED)
                .withBatch(BATCH, BATCH)
                .withBlockTokens(LocalCatalogue.BLOCK_TOKENS);
        LocalDeployment deployment =
                LocalDeployment.start(LocalPlan.usual().withEntries(1).withEngines(1, fast));
        try {
            NetworkAddress direct = deployment.engines().get(0).address();
            NetworkAddress entry = deployment.callerAddresses().get(0);
            for (int i = 0; i < WARM_UPS; i++) {
                new Round(deployment, direct, "warm-up", SLOPE_STREAMS, requests, USUAL_TOKENS).run();
                new Round(deployment, entry, "warm-up", SLOPE_STREAMS, requests, USUAL_TOKENS).run();
            }
            List<Cost> costs = new ArrayList<>();
            for (int streams : STREAMS) {
                int count = streams == 1 ? Math.max(1, requests / 8) : requests;
                costs.add(new Round(deployment, direct, "direct", streams, count, USUAL_TOKENS).run());
                costs.add(new Round(deployment, entry, "entry", streams, count, USUAL_TOKENS).run());
            }
            costs.add(new Round(deployment, entry, "entry", SLOPE_STREAMS, requests, USUAL_TOKENS).run());
            costs.add(new Round(deployment, entry, "entry", SLOPE_STREAMS, requests, MANY_TOKENS).run());
            return costs;
        } finally {
            deployment.stop();
        }
    }

    /** Sends a number of requests with a number of them in progress at any time. */
    private static final class Round {
        private final LocalDeployment deployment;
        private final NetworkAddress target;
        private final String way;
        private final int streams;
        private final int requests;
        private final int tokens;
        private final Histogram firstTokenNanos = new ConcurrentHistogram(3);
        private final AtomicInteger begun = new AtomicInteger();
        private final AtomicInteger ended = new AtomicInteger();
        private final AtomicInteger failures = new AtomicInteger();

        private Round(
                LocalDeployment deployment, NetworkAddress target, String way, int streams, int requests, int tokens) {
            this.tokens = tokens;
            this.deployment = deployment;
            this.target = target;
            this.way = way;
            this.streams = streams;
            this.requests = requests;
        }

        private Cost run() throws YuccagwException {
            ThreadUse before = ThreadUse.ofEntry();
            long callsBefore = keyValueCalls();
            long startNanos = System.nanoTime();
            for (int i = 0; i < streams; i++) {
                sendNext();
            }
            boolean whole = LocalDeployment.await(() -> ended.get() >= requests);
            if (!whole) {
                throw ErrorKind.INTERNAL.raise("only " + ended.get() + " of " + requests + " requests ended");
            }
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            ThreadUse used = ThreadUse.ofEntry().since(before);
            return new Cost(
                    way,
                    streams,
                    tokens,
                    requests,
                    requests / seconds,
                    firstTokenNanos.getValueAtPercentile(50) / MICROS,
                    firstTokenNanos.getValueAtPercentile(95) / MICROS,
                    used.processorNanos() / MICROS / requests,
                    (double) used.bytes() / requests,
                    1_000.0 * (keyValueCalls() - callsBefore) / requests,
                    failures.get());
        }

        private long keyValueCalls() {
            return deployment.keyValue().callsByKind().values().stream()
                    .mapToLong(Long::longValue)
                    .sum();
        }

        private void sendNext() {
            int number = begun.getAndIncrement();
            if (number >= requests) {
                return;
            }
            String body = "{\"model\":\"" + LocalCatalogue.MODEL + "\",\"prompt\":\"" + way + streams + " question "
                    + number + " of " + tokens + "\",\"max_tokens\":" + tokens
                    + ",\"stream\":true,\"cache_salt\":\"x\",\"weight_version\":\""
                    + LocalCatalogue.VERSION + "\"}";
            HttpRequest query = HttpRequest.json("POST", target, "/v1/completions", body)
                    .withHeader("Authorization", "Bearer " + LocalCatalogue.workspaceKey("statistics"))
                    .withTimeouts(LONGEST, LONGEST);
            deployment.http().stream(query, deployment.http().worker().getIoThread(number), new Watch());
        }

        private final class Watch implements HttpResponseListener {
            private final long sentNanos = System.nanoTime();
            private boolean first = true;
            private int status;

            @Override
            public void onHead(int answered, io.undertow.util.HeaderMap headers) {
                status = answered;
            }

            @Override
            public void onBytes(java.nio.ByteBuffer bytes) {
                if (first) {
                    first = false;
                    firstTokenNanos.recordValue(System.nanoTime() - sentNanos);
                }
            }

            @Override
            public void onEnd(BodyEnd end) {
                end(status == 200);
            }

            @Override
            public void onFailure(Phase phase, boolean silent, java.io.IOException cause) {
                end(false);
            }

            private void end(boolean good) {
                if (!good) {
                    failures.incrementAndGet();
                }
                ended.incrementAndGet();
                sendNext();
            }
        }
    }

    /** Processor time and allocation of the threads of an entry. */
    private record ThreadUse(long processorNanos, long bytes) {
        private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

        static ThreadUse ofEntry() {
            Map<String, Long> sums = new HashMap<>();
            for (long id : THREADS.getAllThreadIds()) {
                java.lang.management.ThreadInfo info = THREADS.getThreadInfo(id);
                if (info != null && isOfEntry(info.getThreadName())) {
                    sums.merge("nanos", Math.max(0, THREADS.getThreadCpuTime(id)), Long::sum);
                    sums.merge("bytes", Math.max(0, THREADS.getThreadAllocatedBytes(id)), Long::sum);
                }
            }
            return new ThreadUse(sums.getOrDefault("nanos", 0L), sums.getOrDefault("bytes", 0L));
        }

        private static boolean isOfEntry(String name) {
            return name.startsWith("traffic") || name.equals("control") || name.startsWith("peer");
        }

        ThreadUse since(ThreadUse before) {
            return new ThreadUse(processorNanos - before.processorNanos(), bytes - before.bytes());
        }
    }
}
