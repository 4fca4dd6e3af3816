package org.yuccagw.adapters.telemetry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.ResponseDefect;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.id.NetworkAddress;

public class RefusalReporterTest {
    private static final NetworkAddress SERVER = NetworkAddress.of("127.0.0.1", 80);
    private static final int REFUSALS = 1_000;

    private final AtomicLong nowNanos = new AtomicLong();
    private final List<Decision> lines = new ArrayList<>();
    private final Metrics metrics = Metrics.create();
    private final RefusalReporter reporter = RefusalReporter.of(metrics, lines::add, nowNanos::get);

    // Guards against a server whose invalid responses fill the log.
    @Test
    public void allRefusalsAreCountedAndSomeOfThemWritten() {
        for (int refusal = 0; refusal < REFUSALS; refusal++) {
            reporter.onRefused(SERVER, ResponseDefect.LENGTH);
        }
        assertEquals(lines.size(), RefusalReporter.MAX_LINES_PER_SECOND);
        nowNanos.addAndGet(TimeUnit.SECONDS.toNanos(1));
        reporter.onRefused(SERVER, ResponseDefect.CHUNK);
        Decision last = lines.get(lines.size() - 1);
        assertEquals(last.fields().get("reason"), "chunk");
        assertEquals(last.fields().get("unreported"), Integer.toString(REFUSALS - lines.size() + 1));
        String exposition = new String(metrics.exposition(), StandardCharsets.UTF_8);
        assertTrue(exposition.contains("yuccagw_refused_responses_total{reason=\"length\"} 1000"), exposition);
    }
}
