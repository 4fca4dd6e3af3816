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
    private static final long LATER = TimeUnit.SECONDS.toNanos(60);

    private final SequenceBarrier quiet = new Barrier();

    @Test
    public void aDueTimerEndsTheWait() {
        Sequence cursor = new Sequence(-1);
        TimerWaitStrategy wait = TimerWaitStrategy.until(() -> System.nanoTime() - 1);
        assertThrows(TimeoutException.class, () -> wait.waitFor(0, cursor, cursor, quiet));
    }

    // Where nothing happens, a VM with a third of a core must not be woken a hundred times a second to look for timers.
    @Test
    public void untilAnEventComesOrATimerIsDueNothingIsLookedAt() throws Exception {
        Sequence cursor = new Sequence(-1);
        AtomicInteger looks = new AtomicInteger();
        CompletableFuture<Void> waiting = new CompletableFuture<>();
        TimerWaitStrategy wait = TimerWaitStrategy.until(() -> {
            looks.incrementAndGet();
            waiting.complete(null);
            return System.nanoTime() + LATER;
        });
        CompletableFuture<Long> woken = CompletableFuture.supplyAsync(() -> await(wait, cursor));
        waiting.get();
        cursor.set(0);
        wait.signalAllWhenBlocking();
        assertEquals(woken.get(), Long.valueOf(0));
        assertTrue(looks.get() <= 2, looks + " looks");
    }

    private long await(TimerWaitStrategy wait, Sequence cursor) {
        try {
            return wait.waitFor(0, cursor, cursor, quiet);
        } catch (AlertException | InterruptedException | TimeoutException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A barrier that is never alerted. */
    private static final class Barrier implements SequenceBarrier {
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
