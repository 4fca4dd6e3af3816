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
 * Writes decisions as lines of named values: {@code event="placed" request="9c41" endpoint="e-7"}.
 *
 * <p>The lines go through a bounded queue to a thread of their own; when the queue is full, lines are dropped, which a
 * later line counts, and never waited for.
 *
 * <p>That thread begins its work {@link #FIRST_LOOK} after the start. Guards against a start that the logging library
 * slows down: after a loss of all entries callers come back all at once, and whatever is loaded beside their first
 * requests makes these late. The lines of the first moments wait in the queue meanwhile, and say by how much they are
 * late.
 */
public final class DecisionLog implements ActionHandler {
    private static final int QUEUE_LINES = 4_096;
    /** When after the start the first lines are written. */
    public static final Duration FIRST_LOOK = Duration.ofSeconds(3);

    /** A line that is written later than this after its decision says so; the queue is looked at every 200 ms. */
    private static final Duration USUAL_DELAY = Duration.ofMillis(500);

    /** What is still in the queue at a stop is written within this; the library may have to be loaded first. */
    private static final Duration LONGEST_STOP = Duration.ofSeconds(2);

    private final BlockingQueue<Line> queue = LazyLogQueue.of(QUEUE_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final Thread writer = new Thread(this::writeAll, "decision-log");
    private volatile boolean stopping;

    /** A decision and the monotonic time at which it was made. */
    private record Line(Decision decision, long atNanos) {}

    private DecisionLog() {
        writer.setDaemon(true);
    }

    /** A log whose thread runs. */
    public static DecisionLog start() {
        DecisionLog log = new DecisionLog();
        log.writer.start();
        return log;
    }

    /** Writes what waits and ends. */
    public void stop() {
        stopping = true;
        writer.interrupt();
        try {
            writer.join(LONGEST_STOP.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes one line. */
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
        waitForFirstLook();
        Logger log = LogManager.getLogger("org.yuccagw.decisions");
        while (!stopping) {
            try {
                write(log, queue.take());
            } catch (InterruptedException e) {
                // Only a stop interrupts; the loop ends by its flag.
            }
            noteDropped(log);
        }
        for (Line rest = queue.poll(); rest != null; rest = queue.poll()) {
            write(log, rest);
        }
        noteDropped(log);
    }

    private void waitForFirstLook() {
        try {
            Thread.sleep(FIRST_LOOK.toMillis());
        } catch (InterruptedException e) {
            // A stop right after the start: what waits is written at once.
        }
    }

    private void noteDropped(Logger log) {
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
        long delayMillis = (System.nanoTime() - line.atNanos()) / 1_000_000;
        if (delayMillis > USUAL_DELAY.toMillis()) {
            message.put("delayed_ms", Long.toString(delayMillis));
        }
        log.info(message);
    }
}
