package org.yuccagw.adapters.telemetry;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import java.util.List;
import java.util.Optional;

/** Reads and writes the header {@code traceparent} of W3C Trace Context. */
public final class TraceParent {
    /** Name of the header. */
    public static final String HEADER = "traceparent";

    private static final W3CTraceContextPropagator PROPAGATOR = W3CTraceContextPropagator.getInstance();
    private static final TextMapGetter<String> HEADER_GETTER = new TextMapGetter<>() {
        @Override
        public Iterable<String> keys(String carrier) {
            return List.of(HEADER);
        }

        @Override
        public String get(String carrier, String key) {
            return HEADER.equals(key) ? carrier : null;
        }
    };

    private TraceParent() {}

    /** Returns the context of a caller's header, or the root context if the header is null or malformed. */
    public static Context read(String header) {
        return PROPAGATOR.extract(Context.root(), header, HEADER_GETTER);
    }

    /** Returns the value of the header for calls made within a span, empty if the span isn't traced. */
    public static Optional<String> write(Span span) {
        String[] value = new String[1];
        PROPAGATOR.inject(Context.root().with(span), value, (carrier, key, text) -> {
            if (HEADER.equals(key)) {
                carrier[0] = text;
            }
        });
        return Optional.ofNullable(value[0]);
    }
}
