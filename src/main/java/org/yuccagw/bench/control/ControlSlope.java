package org.yuccagw.bench.control;

import com.google.common.base.Splitter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.yuccagw.adapters.peer.PeerCodec;
import org.yuccagw.bench.Experiment;
import org.yuccagw.bench.ExperimentOptions;
import org.yuccagw.bench.ExperimentReport;
import org.yuccagw.bench.ExperimentReport.Table;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.CatalogueEditRequested;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.membership.Gossip;
import org.yuccagw.core.membership.OwnLoadReported;
import org.yuccagw.core.port.PeerMessage;

/**
 * What control costs a node at several numbers of nodes: the real parts, messages encoded by the real codecs, in-memory
 * ports, virtual time. Edits come at 10,000 a day, loads change every second, endpoints answer their probes.
 *
 * <p>Processor time is that of the control core alone: decoding of messages and system calls are not in it.
 */
public final class ControlSlope implements Experiment {
    private static final Duration BETWEEN_EDITS = Duration.ofMillis(8_640);
    private static final Duration SETTLING = Duration.ofSeconds(60);
    private static final Duration LIMIT = Duration.ofMinutes(2);
    private static final int WORKSPACES = 350;
    private static final double PERCENT = 100;
    private static final double NANOS_PER_SECOND = 1e9;

    private ControlSlope() {}

    public static ControlSlope create() {
        return new ControlSlope();
    }

    @Override
    public String name() {
        return "control-slope";
    }

    @Override
    public String summary() {
        return "events, bytes, service calls, memory and processor time of control for each node, at several sizes";
    }

    @Override
    public ExperimentReport run(ExperimentOptions options) throws YuccagwException {
        int endpoints = options.positive("endpoints", 200);
        int seconds = options.positive("seconds", 60);
        List<Sample> samples = new ArrayList<>();
        for (int size : sizes(options)) {
            samples.add(new Run(options.seed(), size, endpoints).measure(Duration.ofSeconds(seconds)));
        }
        return new ExperimentReport(
                name(),
                options.seed(),
                List.of(
                        costs(samples, endpoints),
                        bytesByKind(samples),
                        slopes(samples),
                        ControlMemory.perThousand(options.seed())));
    }

    private static List<Integer> sizes(ExperimentOptions options) throws YuccagwException {
        String text = options.text("sizes", "8,64,250,500");
        List<Integer> sizes = new ArrayList<>();
        try {
            for (String part : Splitter.on(',').trimResults().split(text)) {
                sizes.add(Integer.parseInt(part));
            }
        } catch (NumberFormatException e) {
            throw ErrorKind.WRONG_FIELD.raiseFrom(e, "sizes", "expected numbers with commas, found '" + text + "'");
        }
        return sizes;
    }

    /** The costs at one size; per node, but for the calls to the service. */
    private record Sample(
            int nodes,
            double events,
            double messages,
            double meanBytes,
            double highestBytes,
            double serviceCalls,
            double processorPercent,
            double heapKilobytes,
            double medianMillis,
            double worstMillis,
            Map<String, Double> bytesByKind) {}

    private static Table costs(List<Sample> samples, int endpoints) {
        ExperimentReport.Builder rows = Table.of(
                "Cost of control by number of nodes, " + endpoints + " endpoints, " + WORKSPACES + " workspaces",
                "nodes",
                "events/s per node",
                "messages/s per node",
                "bytes/s per node, mean",
                "bytes/s, highest node",
                "key-value calls/s, all nodes",
                "processor % of a core per node",
                "heap KB per node",
                "edit in force everywhere ms, median",
                "worst");
        for (Sample sample : samples) {
            rows.row(
                    sample.nodes(),
                    sample.events(),
                    sample.messages(),
                    sample.meanBytes(),
                    sample.highestBytes(),
                    sample.serviceCalls(),
                    sample.processorPercent(),
                    sample.heapKilobytes(),
                    sample.medianMillis(),
                    sample.worstMillis());
        }
        return rows.build();
    }

    private static Table bytesByKind(List<Sample> samples) {
        ExperimentReport.Builder rows =
                Table.of("Bytes sent per second and node, by kind of message", "nodes", "message", "bytes/s per node");
        for (Sample sample : samples) {
            new TreeMap<>(sample.bytesByKind()).forEach((kind, bytes) -> rows.row(sample.nodes(), kind, bytes));
        }
        return rows.build();
    }

    private static Table slopes(List<Sample> samples) {
        ExperimentReport.Builder rows = Table.of(
                "Least-squares lines over the number of nodes", "figure", "at no nodes", "for each 100 nodes", "R2");
        addSlope(rows, samples, "events/s per node", Sample::events);
        addSlope(rows, samples, "bytes/s per node", Sample::meanBytes);
        addSlope(rows, samples, "key-value calls/s, all nodes", Sample::serviceCalls);
        addSlope(rows, samples, "processor % of a core per node", Sample::processorPercent);
        addSlope(rows, samples, "heap KB per node", Sample::heapKilobytes);
        return rows.build();
    }

    private static void addSlope(
            ExperimentReport.Builder rows, List<Sample> samples, String figure, ToDoubleFunction<Sample> value) {
        LineFit fit = LineFit.of(samples.stream()
                .map(sample -> new LineFit.Point(sample.nodes(), value.applyAsDouble(sample)))
                .toList());
        rows.row(figure, fit.intercept(), PERCENT * fit.slope(), fit.determination());
    }

    /** One deployment at one size. */
    private static final class Run {
        private final ControlBench bench;
        private final SplittableRandom random;
        private final List<BenchNode> nodes = new ArrayList<>();
        private final Histogram millis = new Histogram(3);
        private final Map<String, Long> bytesByKind = new TreeMap<>();
        private final long heapBefore = ControlMemory.usedHeap();

        private Run(long seed, int size, int endpoints) {
            this.bench = ControlBench.of(seed);
            this.random = new SplittableRandom(seed);
            EnginePool.start(
                    bench, "assistant", endpoints, SampleCatalogues.FIRST_VERSION, true, Duration.ofMillis(450));
            PeerCodec codec = ControlComponents.codec();
            bench.measureBytes((from, message) -> {
                int bytes = codec.encode(from, message).length;
                bytesByKind.merge(kindOf(message), (long) bytes, Long::sum);
                return bytes;
            });
            for (int index = 0; index < size; index++) {
                nodes.add(bench.start("entry-" + index, ControlComponents.all()));
            }
            bench.runFor(Duration.ofSeconds(20));
            Catalogue first = SampleCatalogues.withPool(
                    SampleCatalogues.ofWorkspaces(WORKSPACES), "assistant", SampleCatalogues.FIRST_VERSION, true, 3, 1);
            nodes.get(0).offer(new CatalogueEditRequested(0, first, "first", "mari", result -> {}));
            bench.runUntil(() -> lowestRevision() == 1, LIMIT);
            changeLoads();
            bench.runFor(SETTLING);
        }

        private Sample measure(Duration time) {
            nodes.forEach(BenchNode::forgetCounts);
            bench.keyValue().forgetCalls();
            bytesByKind.clear();
            long began = bench.time().nowNanos();
            long end = began + time.toNanos();
            int edits = 0;
            while (bench.time().nowNanos() < end) {
                edit(edits++);
            }
            double seconds = (bench.time().nowNanos() - began) / NANOS_PER_SECOND;
            double heap = (ControlMemory.usedHeap() - heapBefore) / 1024.0 / nodes.size();
            return new Sample(
                    nodes.size(),
                    mean(BenchNode::events) / seconds,
                    mean(BenchNode::messagesSent) / seconds,
                    mean(BenchNode::bytesSent) / seconds,
                    nodes.stream().mapToLong(BenchNode::bytesSent).max().orElseThrow() / seconds,
                    bench.keyValue().calls() / seconds,
                    PERCENT * mean(BenchNode::busyNanos) / NANOS_PER_SECOND / seconds,
                    heap,
                    millis.getValueAtPercentile(50),
                    millis.getMaxValue(),
                    bytesByKind.entrySet().stream()
                            .collect(Collectors.toMap(
                                    Map.Entry::getKey, kind -> kind.getValue() / seconds / nodes.size())));
        }

        private static String kindOf(PeerMessage message) {
            String name = message.getClass().getSimpleName();
            return message instanceof Gossip gossip ? name + " " + gossip.kind() : name;
        }

        private void edit(int number) {
            Catalogue base = nodes.get(0).state(Catalogue.class).orElseThrow();
            Catalogue wanted = SampleCatalogues.withLimit(base, "workspace-7", 100 + number);
            long began = bench.time().nowNanos();
            BenchNode accepting = nodes.get(random.nextInt(nodes.size()));
            accepting.offer(
                    new CatalogueEditRequested(base.revision(), wanted, "edit-" + number, "mari", result -> {}));
            bench.runUntil(() -> lowestRevision() > base.revision(), LIMIT);
            Duration took = Duration.ofNanos(bench.time().nowNanos() - began);
            millis.recordValue(took.toMillis());
            if (took.compareTo(BETWEEN_EDITS) < 0) {
                bench.runFor(BETWEEN_EDITS.minus(took));
            }
        }

        private void changeLoads() {
            bench.time().after(Duration.ofSeconds(1), this::changeLoads);
            nodes.forEach(node -> node.offer(new OwnLoadReported(random.nextInt(50))));
        }

        /** Cheap enough to be asked after every task: it stops at the first node that lags. */
        private long lowestRevision() {
            long lowest = Long.MAX_VALUE;
            for (BenchNode node : nodes) {
                long revision = node.state(Catalogue.class).orElseThrow().revision();
                lowest = Math.min(lowest, revision);
                if (lowest == 0) {
                    return 0;
                }
            }
            return lowest;
        }

        private double mean(ToLongFunction<BenchNode> figure) {
            return nodes.stream().mapToLong(figure).average().orElseThrow();
        }
    }
}
