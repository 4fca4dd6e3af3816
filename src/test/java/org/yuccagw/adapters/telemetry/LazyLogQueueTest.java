package org.yuccagw.adapters.telemetry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.BlockingQueue;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.config.Configuration;
import org.testng.annotations.Test;

public class LazyLogQueueTest {
    @Test
    public void linesComeOutInTheOrderInWhichTheyWentIn() throws InterruptedException {
        BlockingQueue<String> queue = LazyLogQueue.<String>createFactory().create(4);
        queue.offer("first");
        queue.offer("second");
        assertEquals(queue.take(), "first");
        assertEquals(queue.take(), "second");
    }

    // Standard output stands still. Whoever decides about a request must not wait for its log line.
    @Test
    public void aFullQueueTurnsLinesAwayAtOnce() {
        BlockingQueue<String> queue = LazyLogQueue.<String>createFactory().create(1);
        assertTrue(queue.offer("kept"));
        assertFalse(queue.offer("dropped"));
    }

    @Test
    public void theLoggingLibraryTakesTheQueueForDecisions() {
        Configuration configuration =
                ((org.apache.logging.log4j.core.LoggerContext) LogManager.getContext(false)).getConfiguration();
        AsyncAppender decisions = configuration.getAppender("decisions");
        assertEquals(decisions.getQueueCapacity(), 4_096);
        assertTrue(LogManager.getLogger("org.yuccagw.decisions").isInfoEnabled());
    }
}
