package org.yuccagw.adapters.telemetry;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.locks.LockSupport;
import org.apache.logging.log4j.core.Core;
import org.apache.logging.log4j.core.async.BlockingQueueFactory;
import org.apache.logging.log4j.core.config.plugins.Plugin;
import org.apache.logging.log4j.core.config.plugins.PluginFactory;

/**
 * The queue between the threads that decide and the one that writes log lines.
 *
 * <p>Whoever adds a line wakes nobody: the writing thread looks for itself, {@value #LOOKS_A_SECOND} times a second. A
 * request takes about five lines, and a wake-up for each cost more than writing it. A full queue still drops lines; at
 * {@value #LOOKS_A_SECOND} looks a second 4,096 lines are room for 80,000 lines a second.
 *
 * @param <E> what waits
 */
@Plugin(name = "LazyLogQueue", category = Core.CATEGORY_NAME, elementType = BlockingQueueFactory.ELEMENT_TYPE)
public final class LazyLogQueue<E> implements BlockingQueueFactory<E> {
    private static final long LOOKS_A_SECOND = 20;
    private static final long NANOS_BETWEEN_LOOKS = 1_000_000_000L / LOOKS_A_SECOND;

    private LazyLogQueue() {}

    /** Called by the logging library for the element of the same name in its configuration. */
    @PluginFactory
    public static <E> LazyLogQueue<E> createFactory() {
        return new LazyLogQueue<>();
    }

    @Override
    public BlockingQueue<E> create(int capacity) {
        return new Queue<>(capacity);
    }

    private static final class Queue<E> extends ArrayBlockingQueue<E> {
        private static final long serialVersionUID = 1;

        private Queue(int capacity) {
            super(capacity);
        }

        @Override
        public E take() throws InterruptedException {
            E next = poll();
            while (next == null) {
                LockSupport.parkNanos(NANOS_BETWEEN_LOOKS);
                if (Thread.interrupted()) {
                    throw new InterruptedException();
                }
                next = poll();
            }
            return next;
        }
    }
}
