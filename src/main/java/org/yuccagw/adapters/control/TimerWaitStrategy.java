package org.yuccagw.adapters.control;

import com.lmax.disruptor.AlertException;
import com.lmax.disruptor.Sequence;
import com.lmax.disruptor.SequenceBarrier;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.WaitStrategy;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;

/**
 * Lets the one consumer of a ring sleep until an event comes or its next timer is due, whichever is first.
 *
 * <p>The library's own strategy with a time limit has a fixed one, so timers that are exact to 10 ms take 100 wake-ups
 * a second on every VM, also where nothing happens; a VM has down to a third of a core.
 *
 * <p>The time of the next timer is read on the consumer's thread only, which is the one that sets timers.
 */
final class TimerWaitStrategy implements WaitStrategy {
    private final LongSupplier nextTimerNanos;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition published = lock.newCondition();

    private TimerWaitStrategy(LongSupplier nextTimerNanos) {
        this.nextTimerNanos = nextTimerNanos;
    }

    /**
     * A wait of the consumer's.
     *
     * @param nextTimerNanos monotonic time of the next timer, {@link Long#MAX_VALUE} if none is set
     */
    static TimerWaitStrategy until(LongSupplier nextTimerNanos) {
        return new TimerWaitStrategy(nextTimerNanos);
    }

    @Override
    public long waitFor(long sequence, Sequence cursor, Sequence dependent, SequenceBarrier barrier)
            throws AlertException, InterruptedException, TimeoutException {
        if (cursor.get() < sequence) {
            awaitEvent(sequence, cursor, barrier);
        }
        long available = dependent.get();
        while (available < sequence) {
            barrier.checkAlert();
            Thread.onSpinWait();
            available = dependent.get();
        }
        return available;
    }

    private void awaitEvent(long sequence, Sequence cursor, SequenceBarrier barrier)
            throws AlertException, InterruptedException, TimeoutException {
        lock.lock();
        try {
            while (cursor.get() < sequence) {
                barrier.checkAlert();
                long left = leftNanos();
                if (left <= 0 || published.awaitNanos(left) <= 0) {
                    throw TimeoutException.INSTANCE;
                }
            }
        } finally {
            lock.unlock();
        }
    }

    private long leftNanos() {
        long due = nextTimerNanos.getAsLong();
        return due == Long.MAX_VALUE ? Long.MAX_VALUE : due - System.nanoTime();
    }

    @Override
    public void signalAllWhenBlocking() {
        lock.lock();
        try {
            published.signalAll();
        } finally {
            lock.unlock();
        }
    }
}
