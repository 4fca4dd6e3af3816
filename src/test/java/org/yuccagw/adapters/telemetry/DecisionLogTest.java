package org.yuccagw.adapters.telemetry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.util.concurrent.Uninterruptibles;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.Logger;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.core.control.Decision;

public class DecisionLogTest {
    private static final int QUEUE_LINES = 4_096;
    private static final Duration SLOW_OUTPUT_LINE_TIME = Duration.ofMillis(1);
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final Logger logger = (Logger) LogManager.getLogger("org.yuccagw.decisions");
    private RecordingAppender appender;

    /** Records the messages that the logging library receives. */
    private static final class RecordingAppender extends AbstractAppender {
        private final List<String> messages = new CopyOnWriteArrayList<>();
        private volatile Runnable beforeEachLine = () -> {};

        private RecordingAppender() {
            super("lines", null, null, true, Property.EMPTY_ARRAY);
        }

        @Override
        public void append(LogEvent event) {
            beforeEachLine.run();
            messages.add(event.getMessage().getFormattedMessage());
        }
    }

    @BeforeMethod
    public void addAppender() {
        appender = new RecordingAppender();
        appender.start();
        logger.addAppender(appender);
    }

    @AfterMethod
    public void removeAppender() {
        logger.removeAppender(appender);
        appender.stop();
    }

    // Guards against losing the last lines, which contain the reason of the stop, of an entry that is stopped right
    // after
    // its start, before the writer thread writes its first lines.
    @Test
    public void queuedLinesAreWrittenInOrderAtAStop() {
        DecisionLog log = DecisionLog.start();
        log.write(Decision.of("stopping").with("running", 1));
        log.write(Decision.of("stopped").with("running", 0));
        log.stop();
        assertEquals(appender.messages, List.of("event=\"stopping\" running=\"1\"", "event=\"stopped\" running=\"0\""));
    }

    // Guards against losing lines unnoticed while the queue is full, for example because standard output is blocked.
    @Test
    public void droppedLinesAreCounted() {
        DecisionLog log = DecisionLog.start();
        writeLines(log, 5_000);
        log.stop();
        assertTrue(appender.messages.size() >= 4_096, appender.messages.size() + " lines");
        assertTrue(
                appender.messages.contains("event=\"lines-dropped\" lines=\"904\""),
                "no line reports the number of dropped lines");
    }

    // Guards against losing the last lines of an entry whose output is slow, for example because its reader is.
    @Test
    public void anOutputThatIsSlowGetsAllQueuedLinesAtAStop() {
        appender.beforeEachLine = () -> Uninterruptibles.sleepUninterruptibly(SLOW_OUTPUT_LINE_TIME);
        DecisionLog log = DecisionLog.start();
        writeLines(log, QUEUE_LINES);
        log.stop();
        assertEquals(appender.messages.size(), QUEUE_LINES);
    }

    // Guards against lines that are written after the end of a stop, or dropped by it unnoticed, while the output is
    // blocked.
    @Test
    public void anOutputThatIsBlockedAtAStopGetsOnlyTheNumberOfDroppedLinesLater() {
        CountDownLatch unblocked = new CountDownLatch(1);
        appender.beforeEachLine = () -> Uninterruptibles.awaitUninterruptibly(unblocked);
        DecisionLog log = DecisionLog.start();
        writeLines(log, QUEUE_LINES);
        log.stop();
        assertEquals(appender.messages, List.of());
        unblocked.countDown();
        Awaitility.await().atMost(TIMEOUT).until(() -> appender.messages.size() >= 2);
        assertEquals(
                appender.messages.subList(1, appender.messages.size()),
                List.of("event=\"lines-dropped\" lines=\"" + (QUEUE_LINES - 1) + "\""));
    }

    private static void writeLines(DecisionLog log, int count) {
        for (int index = 0; index < count; index++) {
            log.write(Decision.of("placed").with("index", index));
        }
    }
}
