package org.yuccagw.cli;

/** A task that may be requested before it is known: it then runs once, as soon as it is. Safe for use by any thread. */
final class PendingTask {
    private Runnable task;
    private boolean requested;

    private PendingTask() {}

    static PendingTask create() {
        return new PendingTask();
    }

    /** Runs the task, now or when it becomes known. */
    synchronized void request() {
        if (task == null) {
            requested = true;
        } else {
            task.run();
        }
    }

    /** Sets the task, and runs it if it has been requested. */
    synchronized void runWith(Runnable known) {
        task = known;
        if (requested) {
            requested = false;
            known.run();
        }
    }
}
