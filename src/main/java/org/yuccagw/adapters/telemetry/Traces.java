package org.yuccagw.adapters.telemetry;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SdkTracerProviderBuilder;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.yuccagw.adapters.settings.EntrySettings;
import org.yuccagw.core.routing.RouteExplanation;

/**
 * Creates the spans for the hops of requests. Depending on the settings, spans are exported to the log, to an OTLP
 * receiver, or not at all; in each case the last ones stay in memory for the command {@code yuccagw trace}. Spans
 * contain ids and counts, but never a prompt, an answer or a key.
 */
public final class Traces {
    /** Id of the request that a hop belongs to. */
    public static final AttributeKey<String> REQUEST = AttributeKey.stringKey("request");

    /** Id of the workspace that sent the request. */
    public static final AttributeKey<String> WORKSPACE = AttributeKey.stringKey("workspace");

    /** Id of the endpoint that a hop calls. */
    public static final AttributeKey<String> ENDPOINT = AttributeKey.stringKey("endpoint");

    private static final int RETAINED_SPANS = 8192;
    private static final long STOP_TIMEOUT_SECONDS = 2;

    private final SdkTracerProvider provider;
    private final RecentSpans recent;
    private final Tracer tracer;

    private Traces(SdkTracerProvider provider, RecentSpans recent) {
        this.provider = provider;
        this.recent = recent;
        this.tracer = provider.get("org.yuccagw");
    }

    public static Traces start(EntrySettings settings) {
        RecentSpans recent = RecentSpans.of(RETAINED_SPANS);
        Attributes resourceAttributes = Attributes.builder()
                .put("service.name", "yuccagw-entry")
                .put("service.instance.id", settings.entry().value())
                .put("yuccagw.domain", settings.domain().value())
                .build();
        SdkTracerProviderBuilder builder = SdkTracerProvider.builder()
                .setResource(Resource.create(resourceAttributes))
                .addSpanProcessor(recent);
        exporter(settings.traces())
                .ifPresent(exporter -> builder.addSpanProcessor(
                        BatchSpanProcessor.builder(exporter).build()));
        return new Traces(builder.build(), recent);
    }

    /** Exports the pending spans, then shuts down; returns after 2 s at the latest. */
    public void stop() {
        provider.shutdown().join(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    public Tracer tracer() {
        return tracer;
    }

    /** Returns the retained hops of a request in the order of their start; empty if there are none. */
    public List<TracedHop> find(String request) {
        return recent.find(request);
    }

    /** Adds the candidates that the router compared to the span of the route hop, as one event each, best first. */
    public static void explain(Span span, RouteExplanation explanation) {
        span.setAttribute("policy", explanation.policy());
        for (RouteExplanation.Candidate candidate : explanation.candidates()) {
            span.addEvent(
                    "weighed",
                    Attributes.builder()
                            .put(ENDPOINT, candidate.endpoint().value())
                            .put("queue_ms", candidate.queueMillis())
                            .put("prefill_ms", candidate.prefillMillis())
                            .put("fetch_ms", candidate.fetchMillis())
                            .put("recomputed_tokens", candidate.recomputedTokens())
                            .put("score", candidate.score())
                            .build());
        }
    }

    private static Optional<SpanExporter> exporter(String setting) {
        return switch (setting) {
            case "off" -> Optional.empty();
            case "log" -> Optional.of(new LogSpanExporter());
            default ->
                Optional.of(OtlpHttpSpanExporter.builder().setEndpoint(setting).build());
        };
    }
}
