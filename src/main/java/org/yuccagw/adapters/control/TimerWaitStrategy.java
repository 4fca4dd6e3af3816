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
 * A wait strategy that blocks the only consumer of a ring until an event is published or the next timer is due.
 *
 * <p>The timeout of the strategy in the Disruptor library is fixed. A timer resolution of 10 ms would therefore take
 * 100 wake-ups a second on every VM, even without events, and some VMs have only a third of a core.
 *
 * <p>The time of the next timer is read on the consumer thread only, which is also the thread that sets timers.
 */
final class TimerWaitStrategy implements WaitStrategy {
    private final LongSupplier nextTimerNanos;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition published = lock.newCondition();

    private TimerWaitStrategy(LongSupplier nextTimerNanos) {
        this.nextTimerNanos = nextTimerNanos;
    }

    /**
     * Creates the wait strategy of one consumer.
     *
     * @param nextTimerNanos returns the monotonic time of the next timer, {@link Long#MAX_VALUE} if none is set
     */
    static TimerWaitStrategy of(LongSupplier nextTimerNanos) {
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
                long remainingNanos = nanosUntilTimer();
                if (remainingNanos <= 0 || published.awaitNanos(remainingNanos) <= 0) {
                    throw TimeoutException.INSTANCE;
                }
            }
        } finally {
            lock.unlock();
        }
    }

    private long nanosUntilTimer() {
        long timerNanos = nextTimerNanos.getAsLong();
        return timerNanos == Long.MAX_VALUE ? Long.MAX_VALUE : timerNanos - System.nanoTime();
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
