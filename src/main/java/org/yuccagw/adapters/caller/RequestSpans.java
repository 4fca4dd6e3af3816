package org.yuccagw.adapters.caller;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.context.Context;
import java.util.LinkedHashMap;
import java.util.Map;
import org.yuccagw.adapters.telemetry.TraceParent;
import org.yuccagw.adapters.telemetry.Traces;
import org.yuccagw.core.routing.RouteExplanation;

/** The spans of one request: one for the whole, one for each hop on the way. Used on the request's thread. */
final class RequestSpans {
    private final Tracer tracer;
    private final String request;
    private final Span whole;
    private final Context context;
    private final Map<String, Span> open = new LinkedHashMap<>();

    private RequestSpans(Tracer tracer, Span whole, String request) {
        this.request = request;
        this.tracer = tracer;
        this.whole = whole;
        this.context = Context.root().with(whole);
    }

    static RequestSpans of(Tracer tracer, Span whole, String request) {
        return new RequestSpans(tracer, whole, request);
    }

    /** Begins the hop; one of the same name that is still open ends first. */
    void begin(String hop) {
        end(hop);
        open.put(
                hop,
                tracer.spanBuilder(hop)
                        .setParent(context)
                        .setAttribute(Traces.REQUEST, request)
                        .startSpan());
    }

    void note(String hop, String key, String value) {
        Span span = open.get(hop);
        if (span != null) {
            span.setAttribute(key, value);
        }
    }

    void end(String hop) {
        Span span = open.remove(hop);
        if (span != null) {
            span.end();
        }
    }

    void event(String text) {
        whole.addEvent(text);
    }

    void endAll(String outcome) {
        open.values().forEach(Span::end);
        open.clear();
        whole.setAttribute("outcome", outcome);
        whole.setStatus(outcome.equals("answered") ? StatusCode.OK : StatusCode.UNSET);
        whole.end();
    }

    /** The W3C header for the next hop, empty if nothing is traced. */
    String traceParent() {
        return TraceParent.write(whole).orElse("");
    }

    void explain(RouteExplanation explanation) {
        Span span = open.get("route");
        if (span != null) {
            Traces.explain(span, explanation);
        }
    }
}
