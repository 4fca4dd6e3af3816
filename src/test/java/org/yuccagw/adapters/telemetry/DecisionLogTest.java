package org.yuccagw.adapters.telemetry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.Logger;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.core.control.Decision;

public class DecisionLogTest {
    private final Logger logger = (Logger) LogManager.getLogger("org.yuccagw.decisions");
    private RecordingAppender appender;

    /** Records the messages that the logging library receives. */
    private static final class RecordingAppender extends AbstractAppender {
        private final List<String> messages = new CopyOnWriteArrayList<>();

        private RecordingAppender() {
            super("lines", null, null, true, Property.EMPTY_ARRAY);
        }

        @Override
        public void append(LogEvent event) {
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
        for (int index = 0; index < 5_000; index++) {
            log.write(Decision.of("placed").with("index", index));
        }
        log.stop();
        assertTrue(appender.messages.size() >= 4_096, appender.messages.size() + " lines");
        assertTrue(
                appender.messages.contains("event=\"lines-dropped\" lines=\"904\""),
                "no line reports the number of dropped lines");
    }
}
