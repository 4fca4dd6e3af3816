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

/** The spans of one request: one for the whole request and one for each of its steps. Used on the request's thread. */
final class RequestSpans {
    private final Tracer tracer;
    private final String request;
    private final Span requestSpan;
    private final Context context;
    private final Map<String, Span> openSpans = new LinkedHashMap<>();

    private RequestSpans(Tracer tracer, Span requestSpan, String request) {
        this.request = request;
        this.tracer = tracer;
        this.requestSpan = requestSpan;
        this.context = Context.root().with(requestSpan);
    }

    static RequestSpans of(Tracer tracer, Span requestSpan, String request) {
        return new RequestSpans(tracer, requestSpan, request);
    }

    /** Starts the span of a step. A span of the same name that is still open is ended first. */
    void begin(String name) {
        end(name);
        openSpans.put(
                name,
                tracer.spanBuilder(name)
                        .setParent(context)
                        .setAttribute(Traces.REQUEST, request)
                        .startSpan());
    }

    /** Sets an attribute of the open span of a step, if there is one. */
    void setAttribute(String name, String key, String value) {
        Span span = openSpans.get(name);
        if (span != null) {
            span.setAttribute(key, value);
        }
    }

    void end(String name) {
        Span span = openSpans.remove(name);
        if (span != null) {
            span.end();
        }
    }

    void addEvent(String text) {
        requestSpan.addEvent(text);
    }

    /** Ends all open spans and the span of the request. */
    void endAll(String outcome) {
        openSpans.values().forEach(Span::end);
        openSpans.clear();
        requestSpan.setAttribute("outcome", outcome);
        requestSpan.setStatus(outcome.equals("answered") ? StatusCode.OK : StatusCode.UNSET);
        requestSpan.end();
    }

    /** Returns the W3C traceparent header for the request to the endpoint, empty if the request isn't traced. */
    String traceParent() {
        return TraceParent.write(requestSpan).orElse("");
    }

    void addRouteExplanation(RouteExplanation explanation) {
        Span span = openSpans.get("route");
        if (span != null) {
            Traces.explain(span, explanation);
        }
    }
}
