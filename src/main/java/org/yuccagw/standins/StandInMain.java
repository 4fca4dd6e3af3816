package org.yuccagw.standins;

import java.util.Arrays;
import java.util.List;

/** Runs one stand-in as a process until the process is terminated: {@code NAME [OPTION=VALUE]...}. */
public final class StandInMain {
    private StandInMain() {}

    /**
     * Starts the stand-in and blocks until the process is terminated.
     *
     * @param arguments the name of the stand-in, followed by its options
     */
    public static void main(String[] arguments) throws InterruptedException {
        if (arguments.length == 0) {
            throw new IllegalArgumentException("expected the name of a stand-in, one of " + StandIns.names());
        }
        List<String> options = Arrays.asList(arguments).subList(1, arguments.length);
        StandIns.run(arguments[0], StandIns.options(options), System.out);
        Thread.currentThread().join();
    }
}
