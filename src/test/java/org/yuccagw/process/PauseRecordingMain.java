package org.yuccagw.process;

import java.io.IOException;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import org.yuccagw.cli.GatewayMain;
import org.yuccagw.core.error.YuccagwException;

/**
 * Runs an entry and prints when its whole process stood still.
 *
 * <p>A thread that does nothing else sleeps for a short time again and again. If it wakes up late, the system did not
 * run the process, or the JVM collected garbage, whose time is printed too. A thread of the entry that blocks
 * doesn't delay it.
 */
public final class PauseRecordingMain {
    private static final Duration SLEEP = Duration.ofMillis(20);
    private static final Duration MIN_PAUSE = Duration.ofMillis(40);

    private PauseRecordingMain() {}

    public static void main(String[] arguments) throws YuccagwException, InterruptedException, IOException {
        Thread recorder = new Thread(PauseRecordingMain::record, "pause-recorder");
        recorder.setDaemon(true);
        recorder.start();
        GatewayMain.main(arguments);
    }

    private static void record() {
        long sleptSince = System.nanoTime();
        long collectionMillis = collectionMillis();
        while (sleep()) {
            long now = System.nanoTime();
            long pauseNanos = now - sleptSince - SLEEP.toNanos();
            if (pauseNanos >= MIN_PAUSE.toNanos()) {
                long collected =
                        Duration.ofMillis(collectionMillis() - collectionMillis).toNanos();
                System.out.println(new ProcessPause(now - pauseNanos, now, collected).toLine());
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
