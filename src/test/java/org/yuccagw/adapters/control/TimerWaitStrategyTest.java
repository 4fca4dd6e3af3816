package org.yuccagw.adapters.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.lmax.disruptor.AlertException;
import com.lmax.disruptor.Sequence;
import com.lmax.disruptor.SequenceBarrier;
import com.lmax.disruptor.TimeoutException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

public class TimerWaitStrategyTest {
    private static final long TIMER_DELAY_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final SequenceBarrier barrier = new NeverAlertedBarrier();

    @Test
    public void aDueTimerEndsTheWait() {
        Sequence cursor = new Sequence(-1);
        TimerWaitStrategy wait = TimerWaitStrategy.of(() -> System.nanoTime() - 1);
        assertThrows(TimeoutException.class, () -> wait.waitFor(0, cursor, cursor, barrier));
    }

    // Guards against periodic wake-ups that check the timers while there are no events, which load a VM with a third of
    // a
    // core.
    @Test
    public void timersAreNotPolledWhileNoEventIsPublished() throws Exception {
        Sequence cursor = new Sequence(-1);
        AtomicInteger timerReads = new AtomicInteger();
        CompletableFuture<Void> waiting = new CompletableFuture<>();
        TimerWaitStrategy wait = TimerWaitStrategy.of(() -> {
            timerReads.incrementAndGet();
            waiting.complete(null);
            return System.nanoTime() + TIMER_DELAY_NANOS;
        });
        CompletableFuture<Long> available = CompletableFuture.supplyAsync(() -> await(wait, cursor));
        waiting.get();
        cursor.set(0);
        wait.signalAllWhenBlocking();
        assertEquals(available.get(), Long.valueOf(0));
        assertTrue(timerReads.get() <= 2, timerReads + " reads of the next timer");
    }

    private long await(TimerWaitStrategy wait, Sequence cursor) {
        try {
            return wait.waitFor(0, cursor, cursor, barrier);
        } catch (AlertException | InterruptedException | TimeoutException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A barrier that is never alerted. */
    private static final class NeverAlertedBarrier implements SequenceBarrier {
        @Override
        public long waitFor(long sequence) {
            throw new UnsupportedOperationException();
        }

        @Override
        public long getCursor() {
            return -1;
        }

        @Override
        public boolean isAlerted() {
            return false;
        }

        @Override
        public void alert() {}

        @Override
        public void clearAlert() {}

        @Override
        public void checkAlert() {}
    }
}
