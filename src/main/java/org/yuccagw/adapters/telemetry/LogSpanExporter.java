package org.yuccagw.adapters.telemetry;

import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.Collection;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.CloseableThreadContext;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Writes each span as one log line, with its ids and attributes as fields. */
final class LogSpanExporter implements SpanExporter {
    private static final Logger log = LogManager.getLogger("org.yuccagw.traces");

    @Override
    public CompletableResultCode export(Collection<SpanData> spans) {
        for (SpanData span : spans) {
            long micros = TimeUnit.NANOSECONDS.toMicros(span.getEndEpochNanos() - span.getStartEpochNanos());
            try (CloseableThreadContext.Instance fields = CloseableThreadContext.put("trace", span.getTraceId())) {
                fields.put("span", span.getSpanId());
                span.getAttributes().forEach((key, value) -> fields.put(key.getKey(), String.valueOf(value)));
                log.info(
                        "span {} took {} us, {}",
                        span.getName(),
                        micros,
                        span.getStatus().getStatusCode());
            }
        }
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode flush() {
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
        return CompletableResultCode.ofSuccess();
    }
}
