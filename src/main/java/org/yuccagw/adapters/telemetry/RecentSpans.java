package org.yuccagw.adapters.telemetry;

import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.context.Context;
import io.opentelemetry.sdk.trace.ReadWriteSpan;
import io.opentelemetry.sdk.trace.ReadableSpan;
import io.opentelemetry.sdk.trace.SpanProcessor;
import io.opentelemetry.sdk.trace.data.EventData;
import io.opentelemetry.sdk.trace.data.SpanData;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.function.Consumer;

/**
 * Retains the spans that ended last, so that an operator can query the spans of one request.
 *
 * <p>The spans are in a ring buffer of fixed size. Traffic threads increment a counter and set one slot without a lock;
 * a query, which is rare, reads the whole ring. The size of the ring bounds the number of retained spans at any load.
 */
final class RecentSpans implements SpanProcessor {
    private final AtomicReferenceArray<SpanData> ring;
    private final AtomicLong next = new AtomicLong();

    private RecentSpans(int size) {
        ring = new AtomicReferenceArray<>(size);
    }

    static RecentSpans of(int size) {
        return new RecentSpans(size);
    }

    @Override
    public void onStart(Context parentContext, ReadWriteSpan span) {}

    @Override
    public boolean isStartRequired() {
        return false;
    }

    @Override
    public void onEnd(ReadableSpan span) {
        int slot = (int) (next.getAndIncrement() % ring.length());
        ring.set(slot, span.toSpanData());
    }

    @Override
    public boolean isEndRequired() {
        return true;
    }

    /**
     * Returns the hops of one request in the order of their start: the spans with the id of the request, and the spans
     * without a request id that belong to the same trace as one of them.
     */
    List<TracedHop> find(String request) {
        Set<String> traces = new HashSet<>();
        forEach(span -> {
            if (request.equals(span.getAttributes().get(Traces.REQUEST))) {
                traces.add(span.getTraceId());
            }
        });
        List<TracedHop> hops = new ArrayList<>();
        forEach(span -> {
            String requestOfSpan = span.getAttributes().get(Traces.REQUEST);
            boolean belongs =
                    requestOfSpan == null ? traces.contains(span.getTraceId()) : requestOfSpan.equals(request);
            if (belongs) {
                hops.add(toHop(span));
            }
        });
        hops.sort(Comparator.comparingLong(TracedHop::startMicros));
        return hops;
    }

    private void forEach(Consumer<SpanData> consumer) {
        for (int i = 0; i < ring.length(); i++) {
            SpanData span = ring.get(i);
            if (span != null) {
                consumer.accept(span);
            }
        }
    }

    private static TracedHop toHop(SpanData span) {
        long startNanos = span.getStartEpochNanos();
        List<TracedHop.Event> events = new ArrayList<>();
        for (EventData event : span.getEvents()) {
            long afterMicros = TimeUnit.NANOSECONDS.toMicros(event.getEpochNanos() - startNanos);
            events.add(new TracedHop.Event(event.getName(), afterMicros, toMap(event.getAttributes())));
        }
        return new TracedHop(
                span.getName(),
                span.getTraceId(),
                span.getSpanId(),
                span.getParentSpanId(),
                TimeUnit.NANOSECONDS.toMicros(startNanos),
                TimeUnit.NANOSECONDS.toMicros(span.getEndEpochNanos() - startNanos),
                span.getStatus().getStatusCode() != StatusCode.ERROR,
                toMap(span.getAttributes()),
                events);
    }

    private static Map<String, String> toMap(Attributes attributes) {
        Map<String, String> map = new TreeMap<>();
        attributes.forEach((key, value) -> map.put(key.getKey(), String.valueOf(value)));
        return map;
    }
}
