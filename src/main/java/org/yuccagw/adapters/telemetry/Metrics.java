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

/** The numbers of one entry, for Prometheus. Safe for any thread. */
public final class Metrics {
    /** The kind of end of a request that was answered; others are the codes of error kinds. */
    public static final String ANSWERED = "answered";

    private static final double[] FIRST_TOKEN_SECONDS = {
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
            .classicUpperBounds(FIRST_TOKEN_SECONDS)
            .classicOnly()
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

    /** The numbers of the virtual machine take a tenth of a start to set up, so they wait until somebody asks. */
    private final AtomicBoolean processAdded = new AtomicBoolean();

    private Metrics() {}

    public static Metrics create() {
        return new Metrics();
    }

    /** Counts the end of a request: {@link #ANSWERED} or the code of its error. */
    public void requestEnded(ServiceName service, String className, String end) {
        requests.labelValues(service.value(), className, end).inc();
    }

    public void firstToken(String className, Duration sinceArrival) {
        firstToken.labelValues(className).observe(sinceArrival.toNanos() / (double) TimeUnit.SECONDS.toNanos(1));
    }

    /** Counts the prompt of an answered request in tokens. */
    public void promptTokens(ServiceName service, long reused, long recomputed) {
        promptTokens.labelValues(service.value(), "reused").inc(reused);
        promptTokens.labelValues(service.value(), "recomputed").inc(recomputed);
    }

    public void imported(StoreId store, long bytes) {
        linkBytes.labelValues(store.value(), "import").inc(bytes);
    }

    public void exported(StoreId store, long bytes) {
        linkBytes.labelValues(store.value(), "export").inc(bytes);
    }

    /** Counts a call to the key-value service by the simple names of its call and its answer. */
    public void keyValueCall(String call, String outcome) {
        keyValueCalls.labelValues(call, outcome).inc();
    }

    public void retried(ServiceName service, String failure) {
        retries.labelValues(service.value(), failure).inc();
    }

    /** A number that is read when asked for, such as the length of a queue. */
    public void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /** All metrics in the text format of Prometheus. */
    public byte[] exposition() {
        if (processAdded.compareAndSet(false, true)) {
            JvmMetrics.builder().register(registry);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            // Writing into memory does not fail.
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }
}
