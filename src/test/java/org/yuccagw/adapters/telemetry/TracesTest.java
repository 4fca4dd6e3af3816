package org.yuccagw.adapters.telemetry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.context.Context;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import org.yuccagw.adapters.settings.EntrySettingsReader;
import org.yuccagw.core.id.ServiceName;

public class TracesTest {
    private static final String CALLER_TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736";

    private Traces traces;

    @BeforeClass
    public void start() throws Exception {
        traces = Traces.start(EntrySettingsReader.read(Path.of("config/samples/entry.json")));
    }

    @AfterClass
    public void stop() {
        traces.stop();
    }

    @Test
    public void findsTheHopsOfARequestInTheOrderOfTheirStart() {
        Span request = traces.tracer()
                .spanBuilder("request")
                .setAttribute(Traces.REQUEST, "r1")
                .startSpan();
        Span route = traces.tracer()
                .spanBuilder("route")
                .setParent(Context.root().with(request))
                .startSpan();
        route.end();
        request.end();
        List<TracedHop> hops = traces.find("r1");
        assertEquals(hops.stream().map(TracedHop::name).toList(), List.of("request", "route"));
        assertEquals(hops.get(1).parent(), hops.get(0).span());
        assertEquals(traces.find("r2"), List.of());
    }

    @Test
    public void continuesTheTraceOfTheCaller() {
        Context caller = TraceParent.read("00-" + CALLER_TRACE_ID + "-00f067aa0ba902b7-01");
        Span request = traces.tracer().spanBuilder("request").setParent(caller).startSpan();
        assertTrue(TraceParent.write(request).orElseThrow().startsWith("00-" + CALLER_TRACE_ID + "-"));
        request.end();
    }

    @Test
    public void aMalformedHeaderStartsANewTrace() {
        for (String header : new String[] {null, "", "nonsense", "00-" + "0".repeat(32) + "-00f067aa0ba902b7-01"}) {
            assertFalse(
                    Span.fromContext(TraceParent.read(header)).getSpanContext().isValid());
        }
    }

    @Test
    public void writesMetricsInTheTextFormatOfPrometheus() {
        Metrics metrics = Metrics.create();
        metrics.recordRequestEnd(ServiceName.of("assistant"), "notebook", Metrics.ANSWERED);
        metrics.recordFirstToken("notebook", Duration.ofMillis(40));
        metrics.registerGauge("yuccagw_queue_length", "Requests that wait for admission", () -> 3);
        String text = new String(metrics.exposition(), java.nio.charset.StandardCharsets.UTF_8);
        assertTrue(
                text.contains("yuccagw_requests_total{class=\"notebook\",end=\"answered\",service=\"assistant\"} 1.0"));
        assertTrue(text.contains("yuccagw_first_token_seconds_bucket{class=\"notebook\",le=\"0.05\"} 1"));
        assertTrue(text.contains("yuccagw_queue_length 3.0"));
        assertTrue(text.contains("jvm_memory_used_bytes"));
    }
}
