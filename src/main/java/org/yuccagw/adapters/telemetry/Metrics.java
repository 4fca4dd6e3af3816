package org.yuccagw.adapters.telemetry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.Unit;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.DoubleSupplier;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.StoreId;

/** The metrics of one entry in the format of Prometheus. Thread-safe. */
public final class Metrics {
    /** Value of the label {@code end} for answered requests; the other values are the codes of error kinds. */
    public static final String ANSWERED = "answered";

    /** Upper bounds of the buckets of the time to the first token. */
    private static final double[] FIRST_TOKEN_BOUNDS_SECONDS = {
        0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.3, 2, 3, 5, 8, 13, 21, 34
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests = Counter.builder()
            .name("yuccagw_requests_total")
            .help("Requests by service, class and kind of end: answered or the code of the error")
            .labelNames("service", "class", "end")
            .register(registry);
    private final Histogram firstToken = Histogram.builder()
            .name("yuccagw_first_token_seconds")
            .help("Time from the arrival of a request to its first token")
            .unit(Unit.SECONDS)
            .labelNames("class")
            .classicUpperBounds(FIRST_TOKEN_BOUNDS_SECONDS)
            .classicOnly()
            .register(registry);
    private final Histogram longestGap = Histogram.builder()
            .name("yuccagw_longest_event_gap_seconds")
            .help("Longest time between two events of a streamed answer")
            .unit(Unit.SECONDS)
            .labelNames("service")
            .classicUpperBounds(FIRST_TOKEN_BOUNDS_SECONDS)
            .classicOnly()
            .register(registry);
    private final Counter silences = Counter.builder()
            .name("yuccagw_endpoint_silences_total")
            .help("Attempts whose endpoint was silent for longer than expected, by service and what became of them")
            .labelNames("service", "outcome")
            .register(registry);
    private final Counter resumptions = Counter.builder()
            .name("yuccagw_resumed_streams_total")
            .help("Streams that callers took up again, by service and whether they went on, or why not")
            .labelNames("service", "outcome")
            .register(registry);
    private final Counter answerEnds = Counter.builder()
            .name("yuccagw_endpoint_answer_ends_total")
            .help("Answers that endpoints ended, by service, what showed the end, and how much of the last event came")
            .labelNames("service", "shown_by", "last_event")
            .register(registry);
    private final Counter promptTokens = Counter.builder()
            .name("yuccagw_prompt_tokens_total")
            .help("Prompt tokens by service and whether the engine reused or recomputed them")
            .labelNames("service", "work")
            .register(registry);
    private final Counter linkBytes = Counter.builder()
            .name("yuccagw_link_bytes_total")
            .help("Cache bytes moved on this entry's orders by store and direction: import or export")
            .labelNames("store", "direction")
            .register(registry);
    private final Counter keyValueCalls = Counter.builder()
            .name("yuccagw_key_value_calls_total")
            .help("Calls to the key-value service by kind and outcome")
            .labelNames("call", "outcome")
            .register(registry);
    private final Counter retries = Counter.builder()
            .name("yuccagw_retries_total")
            .help("Further attempts by service and class of the failure before")
            .labelNames("service", "failure")
            .register(registry);

    private final Counter refusedResponses = Counter.builder()
            .name("yuccagw_refused_responses_total")
            .help("Responses of other processes that were refused as invalid, by reason")
            .labelNames("reason")
            .register(registry);

    /**
     * The metrics of the Java virtual machine take a tenth of the start to set up, so the first scrape registers them.
     */
    private final AtomicBoolean jvmMetricsRegistered = new AtomicBoolean();

    private Metrics() {}

    public static Metrics create() {
        return new Metrics();
    }

    /**
     * Counts the end of a request.
     *
     * @param end {@link #ANSWERED} or the code of the error
     */
    public void recordRequestEnd(ServiceName service, String className, String end) {
        requests.labelValues(service.value(), className, end).inc();
    }

    /** Counts a response that was refused as invalid. */
    public void recordRefusedResponse(String reason) {
        refusedResponses.labelValues(reason).inc();
    }

    /** Records the time from the arrival of a request to the first token of its answer. */
    public void recordFirstToken(String className, Duration sinceArrival) {
        firstToken.labelValues(className).observe(sinceArrival.toNanos() / (double) TimeUnit.SECONDS.toNanos(1));
    }

    /** Records the longest time between two events of a streamed answer. */
    public void recordLongestGap(ServiceName service, Duration gap) {
        longestGap.labelValues(service.value()).observe(gap.toNanos() / (double) TimeUnit.SECONDS.toNanos(1));
    }

    /** Counts an attempt whose endpoint was silent for longer than expected. */
    public void recordSilence(ServiceName service, String outcome) {
        silences.labelValues(service.value(), outcome).inc();
    }

    /**
     * Counts a stream that its caller took up again.
     *
     * @param outcome {@code went_on}, or what ended the request before the first byte
     */
    public void recordResumption(ServiceName service, String outcome) {
        resumptions.labelValues(service.value(), outcome).inc();
    }

    /**
     * Counts an answer that its endpoint ended.
     *
     * @param shownBy what showed the end: the length, the last chunk or the end of the connection
     * @param lastEvent how much of the last event came, {@code none} for answers without events
     */
    public void recordAnswerEnd(ServiceName service, String shownBy, String lastEvent) {
        answerEnds.labelValues(service.value(), shownBy, lastEvent).inc();
    }

    /** Counts the prompt tokens of an answered request by whether the engine reused or recomputed them. */
    public void recordPromptTokens(ServiceName service, long reused, long recomputed) {
        promptTokens.labelValues(service.value(), "reused").inc(reused);
        promptTokens.labelValues(service.value(), "recomputed").inc(recomputed);
    }

    /** Counts the bytes that engines imported from a store on orders of this entry. */
    public void recordImport(StoreId store, long bytes) {
        linkBytes.labelValues(store.value(), "import").inc(bytes);
    }

    /** Counts the bytes that engines exported to a store on orders of this entry. */
    public void recordExport(StoreId store, long bytes) {
        linkBytes.labelValues(store.value(), "export").inc(bytes);
    }

    /** Counts a call to the key-value service by the simple class names of the call and of its answer. */
    public void recordKeyValueCall(String call, String outcome) {
        keyValueCalls.labelValues(call, outcome).inc();
    }

    /**
     * Counts a further attempt of a request.
     *
     * @param failure the class of the failure of the previous attempt
     */
    public void recordRetry(ServiceName service, String failure) {
        retries.labelValues(service.value(), failure).inc();
    }

    /** Registers a gauge whose value is read at each scrape, such as the length of a queue. */
    public void registerGauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /** Returns all metrics in the text format of Prometheus. */
    public byte[] exposition() {
        if (jvmMetricsRegistered.compareAndSet(false, true)) {
            JvmMetrics.builder().register(registry);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            // Can't happen: writing to memory doesn't fail.
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }
}
