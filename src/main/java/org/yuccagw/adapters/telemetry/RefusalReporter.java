package org.yuccagw.adapters.telemetry;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.yuccagw.adapters.http.RefusalListener;
import org.yuccagw.adapters.http.ResponseDefect;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.id.NetworkAddress;

/**
 * Counts the responses that an entry refuses, and writes a line for each, {@value #MAX_LINES_PER_SECOND} a second at
 * most. A line holds fixed texts and the address only, never bytes that were received. Thread-safe.
 */
public final class RefusalReporter implements RefusalListener {
    static final int MAX_LINES_PER_SECOND = 10;

    private final Metrics metrics;
    private final Consumer<Decision> lines;
    private final LongSupplier nanoTime;
    private final AtomicLong unreported = new AtomicLong();
    private long secondBeginNanos;
    private int linesInSecond;

    private RefusalReporter(Metrics metrics, Consumer<Decision> lines, LongSupplier nanoTime) {
        this.metrics = metrics;
        this.lines = lines;
        this.nanoTime = nanoTime;
        this.secondBeginNanos = nanoTime.getAsLong();
    }

    /**
     * Creates a reporter.
     *
     * @param lines receives the lines; must not block
     * @param nanoTime monotonic clock, in nanoseconds
     */
    public static RefusalReporter of(Metrics metrics, Consumer<Decision> lines, LongSupplier nanoTime) {
        return new RefusalReporter(metrics, lines, nanoTime);
    }

    @Override
    public void onRefused(NetworkAddress server, ResponseDefect defect) {
        metrics.recordRefusedResponse(defect.code());
        if (mayWriteLine()) {
            lines.accept(Decision.of("response-refused")
                    .with("server", server)
                    .with("reason", defect.code())
                    .with("detail", defect.text())
                    .with("unreported", unreported.getAndSet(0)));
        } else {
            unreported.incrementAndGet();
        }
    }

    private synchronized boolean mayWriteLine() {
        long now = nanoTime.getAsLong();
        if (now - secondBeginNanos >= TimeUnit.SECONDS.toNanos(1)) {
            secondBeginNanos = now;
            linesInSecond = 0;
        }
        linesInSecond++;
        return linesInSecond <= MAX_LINES_PER_SECOND;
    }
}
