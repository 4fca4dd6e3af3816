package org.yuccagw.adapters.telemetry;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.locks.LockSupport;

/**
 * A bounded queue between the threads that make decisions and the thread that writes log lines.
 *
 * <p>Adding a line doesn't wake the writer thread. Instead, {@link #take} polls the queue {@value #POLLS_PER_SECOND}
 * times a second. A request produces about five lines, and waking the writer for each of them cost more than writing
 * it. A full queue rejects lines; with {@value #POLLS_PER_SECOND} polls a second, a capacity of 4,096 lines is
 * sufficient for 20,000 lines a second.
 *
 * @param <E> the type of the lines
 */
final class PollingLogQueue<E> extends ArrayBlockingQueue<E> {
    private static final long serialVersionUID = 1;

    /**
     * Each poll wakes the writer thread even if the queue is empty; in an idle entry of a large fleet these wake-ups
     * are most of the work. Fewer polls delay the lines, and the queue must hold all lines added between two polls.
     */
    private static final long POLLS_PER_SECOND = 5;

    private static final long POLL_INTERVAL_NANOS = 1_000_000_000L / POLLS_PER_SECOND;

    private PollingLogQueue(int capacity) {
        super(capacity);
    }

    static <E> PollingLogQueue<E> of(int capacity) {
        return new PollingLogQueue<>(capacity);
    }

    /** Polls the queue until it returns an element. */
    @Override
    public E take() throws InterruptedException {
        E next = poll();
        while (next == null) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
            next = poll();
        }
        return next;
    }
}
