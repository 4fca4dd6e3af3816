package org.yuccagw.cli;

import org.apache.logging.log4j.LogManager;

/** Ends the process with exit code 0 after SIGTERM. Java would exit with 143, which supervisors treat as a failure. */
final class GracefulExit {
    private GracefulExit() {}

    /**
     * Installs a shutdown hook that runs {@code stop} after SIGTERM and then ends the process.
     *
     * @param stop stops the daemon and returns once it has stopped; if it throws, the process exits with a failure
     */
    static void onSignal(Runnable stop) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stopAndExit(stop), "graceful-stop"));
        ProcessSignal.TERMINATE.handleIfIgnored(() -> Runtime.getRuntime().exit(ExitCode.OK));
    }

    private static void stopAndExit(Runnable stop) {
        int exitCode = ExitCode.FAILED;
        try {
            stop.run();
            exitCode = ExitCode.OK;
        } finally {
            shutDownLogging();
            Runtime.getRuntime().halt(exitCode);
        }
    }

    /** Shuts down logging. A failure is only printed, since the process has to end with its own exit code. */
    private static void shutDownLogging() {
        try {
            LogManager.shutdown();
        } catch (RuntimeException | LinkageError e) {
            System.err.println("the logging library could not be ended: " + e);
        }
    }
}
