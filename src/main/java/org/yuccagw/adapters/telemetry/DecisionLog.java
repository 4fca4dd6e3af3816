package org.yuccagw.adapters.telemetry;

import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.yuccagw.core.control.ActionHandler;
import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.control.ControlInput;
import org.yuccagw.core.control.Decision;

/**
 * Writes decisions as log lines of named values, for example {@code event="placed" request="9c41" endpoint="e-7"}.
 *
 * <p>A separate thread takes the lines from a bounded queue and writes them. Adding a line never blocks: if the queue
 * is full, the line is dropped, and a later line reports the number of dropped lines.
 *
 * <p>The thread starts writing {@link #INITIAL_WRITE_DELAY} after its start, so that loading the logging library
 * doesn't slow down the start of the entry: after a loss of all entries, all callers return at once, and everything
 * that is loaded concurrently with their first requests delays these. Until then the lines wait in the queue. A line
 * that is written late has a field with its delay.
 */
public final class DecisionLog implements ActionHandler {
    private static final int QUEUE_LINES = 4_096;

    /** Time from the start of the log until the first lines are written. */
    public static final Duration INITIAL_WRITE_DELAY = Duration.ofSeconds(3);

    /** A line whose delay exceeds this has a field with the delay; the writer polls the queue every 200 ms. */
    private static final Duration MAX_UNREPORTED_DELAY = Duration.ofMillis(500);

    /**
     * A stop waits no longer for an output that has taken no line for this time; the logging library may have to be
     * loaded before the first line.
     */
    private static final Duration BLOCKED_OUTPUT_TIMEOUT = Duration.ofSeconds(2);

    /** Time to write the queued lines during a stop while the output takes lines, however slowly. */
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(20);

    /** Time to write the number of lines that a stop drops. */
    private static final Duration LAST_REPORT_TIMEOUT = Duration.ofMillis(200);

    private static final Duration STOP_POLL_INTERVAL = Duration.ofMillis(20);

    private final BlockingQueue<Line> queue = PollingLogQueue.of(QUEUE_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final Thread writer = new Thread(this::writeAll, "decision-log");
    private volatile boolean stopping;
    private volatile boolean droppingAll;
    private volatile long lastProgressNanos;

    /** A decision and the monotonic time at which it was made. */
    private record Line(Decision decision, long decidedNanos) {}

    private DecisionLog() {
        writer.setDaemon(true);
    }

    /** Creates a log and starts its writer thread. */
    public static DecisionLog start() {
        DecisionLog log = new DecisionLog();
        log.writer.start();
        return log;
    }

    /**
     * Writes the queued lines, then ends the writer thread. Drops the remaining lines if the output blocks for 2 s or
     * if they take longer than 20 s in all. The writer thread then ends the line in progress and writes their number.
     */
    public void stop() {
        lastProgressNanos = System.nanoTime();
        stopping = true;
        writer.interrupt();
        try {
            awaitWriter();
            droppingAll = true;
            writer.join(LAST_REPORT_TIMEOUT.toMillis());
        } catch (InterruptedException e) {
            droppingAll = true;
            Thread.currentThread().interrupt();
        }
    }

    private void awaitWriter() throws InterruptedException {
        long startNanos = System.nanoTime();
        while (writer.isAlive()
                && System.nanoTime() - startNanos < STOP_TIMEOUT.toNanos()
                && System.nanoTime() - lastProgressNanos < BLOCKED_OUTPUT_TIMEOUT.toNanos()) {
            writer.join(STOP_POLL_INTERVAL.toMillis());
        }
    }

    /** Queues one line; drops and counts it if the queue is full. Never blocks. */
    public void write(Decision decision) {
        if (!queue.offer(new Line(decision, System.nanoTime()))) {
            dropped.incrementAndGet();
        }
    }

    @Override
    public boolean perform(ControlAction action, ControlInput input) {
        if (action instanceof Decision decision) {
            write(decision);
            return true;
        }
        return false;
    }

    private void writeAll() {
        awaitInitialWriteDelay();
        Logger log = LogManager.getLogger("org.yuccagw.decisions");
        while (!stopping) {
            try {
                write(log, queue.take());
            } catch (InterruptedException e) {
                // Only stop() interrupts this thread, and it sets the flag that ends the loop.
            }
            reportDropped(log);
        }
        writeRemaining(log);
    }

    private void writeRemaining(Logger log) {
        for (Line line = queue.poll(); line != null; line = queue.poll()) {
            if (droppingAll) {
                dropped.incrementAndGet();
            } else {
                write(log, line);
                lastProgressNanos = System.nanoTime();
            }
        }
        reportDropped(log);
    }

    private void awaitInitialWriteDelay() {
        try {
            Thread.sleep(INITIAL_WRITE_DELAY.toMillis());
        } catch (InterruptedException e) {
            // Stopped right after the start; the queued lines are written without further delay.
        }
    }

    private void reportDropped(Logger log) {
        long lines = dropped.getAndSet(0);
        if (lines > 0) {
            write(log, new Line(Decision.of("lines-dropped").with("lines", lines), System.nanoTime()));
        }
    }

    private static void write(Logger log, Line line) {
        if (!log.isInfoEnabled()) {
            return;
        }
        Decision decision = line.decision();
        StringMapMessage message = new StringMapMessage(decision.fields().size() + 1);
        message.put("event", decision.event());
        decision.fields().forEach(message::put);
        long delayMillis = (System.nanoTime() - line.decidedNanos()) / 1_000_000;
        if (delayMillis > MAX_UNREPORTED_DELAY.toMillis()) {
            message.put("delayed_ms", Long.toString(delayMillis));
        }
        log.info(message);
    }
}
