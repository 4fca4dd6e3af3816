package org.yuccagw.process;

import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * Records when the whole process stood still.
 *
 * <p>A thread that does nothing else sleeps for a short time again and again. If it wakes up late, the system did not
 * run the process, or the JVM collected garbage, whose time is recorded too. Another thread that blocks doesn't delay
 * it.
 */
final class PauseRecorder {
    private static final Duration SLEEP = Duration.ofMillis(20);
    private static final Duration MIN_PAUSE = Duration.ofMillis(40);

    private final Consumer<ProcessPause> listener;
    private final Thread thread = new Thread(this::record, "pause-recorder");

    private PauseRecorder(Consumer<ProcessPause> listener) {
        this.listener = listener;
    }

    /** Starts a recorder, which runs until {@link #stop} or the end of the process. */
    static PauseRecorder start(Consumer<ProcessPause> listener) {
        PauseRecorder recorder = new PauseRecorder(listener);
        recorder.thread.setDaemon(true);
        recorder.thread.start();
        return recorder;
    }

    void stop() {
        thread.interrupt();
    }

    private void record() {
        long sleptSince = System.nanoTime();
        long collectionMillis = collectionMillis();
        while (sleep()) {
            long now = System.nanoTime();
            long pauseNanos = now - sleptSince - SLEEP.toNanos();
            if (pauseNanos >= MIN_PAUSE.toNanos()) {
                long collected =
                        Duration.ofMillis(collectionMillis() - collectionMillis).toNanos();
                listener.accept(new ProcessPause(now - pauseNanos, now, collected));
            }
            sleptSince = System.nanoTime();
            collectionMillis = collectionMillis();
        }
    }

    private static boolean sleep() {
        try {
            Thread.sleep(SLEEP.toMillis());
            return true;
        } catch (InterruptedException e) {
            return false;
        }
    }

    private static long collectionMillis() {
        return ManagementFactory.getGarbageCollectorMXBeans().stream()
                .mapToLong(GarbageCollectorMXBean::getCollectionTime)
                .sum();
    }
}
