package org.yuccagw.adapters.telemetry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.BlockingQueue;
import org.testng.annotations.Test;

public class PollingLogQueueTest {
    @Test
    public void linesAreTakenInTheOrderInWhichTheyWereAdded() throws InterruptedException {
        BlockingQueue<String> queue = PollingLogQueue.of(4);
        queue.offer("first");
        queue.offer("second");
        assertEquals(queue.take(), "first");
        assertEquals(queue.take(), "second");
    }

    // Guards against blocking the threads that handle requests while standard output is blocked and the queue is full.
    @Test
    public void aFullQueueRejectsLinesWithoutBlocking() {
        BlockingQueue<String> queue = PollingLogQueue.of(1);
        assertTrue(queue.offer("kept"));
        assertFalse(queue.offer("dropped"));
    }
}
