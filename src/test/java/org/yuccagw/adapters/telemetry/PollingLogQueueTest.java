package org.yuccagw.adapters.telemetry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.BlockingQueue;
import org.testng.annotations.Test;

public class PollingLogQueueTest {
    @Test
    public void linesComeOutInTheOrderInWhichTheyWentIn() throws InterruptedException {
        BlockingQueue<String> queue = LazyLogQueue.of(4);
        queue.offer("first");
        queue.offer("second");
        assertEquals(queue.take(), "first");
        assertEquals(queue.take(), "second");
    }

    // Standard output stands still. Whoever decides about a request must not wait for its log line.
    @Test
    public void aFullQueueTurnsLinesAwayAtOnce() {
        BlockingQueue<String> queue = LazyLogQueue.of(1);
        assertTrue(queue.offer("kept"));
        assertFalse(queue.offer("dropped"));
    }
}
