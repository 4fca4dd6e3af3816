package org.yuccagw.cli;

import java.lang.reflect.Proxy;
import org.apache.logging.log4j.LogManager;

/**
 * Runs a task on a signal of the operating system instead of the default reaction of the JVM, which is to end the
 * process.
 *
 * <p>A process inherits from its parent which signals are ignored, as after {@code nohup}, and the JVM installs no
 * handler for these. So an ignored signal is first given its default reaction.
 *
 * <p>The signal handling class of the JDK is supported, but its use causes a compiler warning that can't be suppressed.
 * It is therefore used by reflection.
 */
enum ProcessSignal {
    /** SIGHUP. */
    HANG_UP("HUP", 1),
    /** SIGTERM. */
    TERMINATE("TERM", 15);

    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

    private final String name;
    private final int number;

    ProcessSignal(String name, int number) {
        this.name = name;
        this.number = number;
    }

    /** Runs the task at each signal, also if the parent of this process ignores the signal. */
    void handle(Runnable task) {
        restoreIfIgnored();
        install(task);
    }

    /** Runs the task at each signal, unless the parent of this process ignores the signal. Logs nothing then. */
    void handleUnlessIgnored(Runnable task) {
        if (!IgnoredSignals.ofThisProcess().contains(number)) {
            install(task);
        }
    }

    /**
     * Runs the task at each signal if the parent of this process ignores the signal. Otherwise the JVM handles it, and
     * nothing is changed.
     */
    void handleIfIgnored(Runnable task) {
        if (restoreIfIgnored()) {
            install(task);
        }
    }

    private boolean restoreIfIgnored() {
        if (!IgnoredSignals.ofThisProcess().contains(number)) {
            return false;
        }
        try {
            IgnoredSignals.restoreDefault(number);
            LogManager.getLogger(ProcessSignal.class)
                    .warn("the parent of this process ignores SIG{}; it is handled here all the same", name);
            return true;
        } catch (LinkageError | RuntimeException e) {
            LogManager.getLogger(ProcessSignal.class)
                    .error("the parent of this process ignores SIG{}, so it has no effect here", name, e);
            return false;
        }
    }

    private void install(Runnable task) {
        try {
            Class<?> signalType = Class.forName(SIGNAL_CLASS);
            Class<?> handlerType = Class.forName(HANDLER_CLASS);
            Object handler = Proxy.newProxyInstance(
                    handlerType.getClassLoader(), new Class<?>[] {handlerType}, (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            task.run();
                        }
                        return null;
                    });
            Object signal = signalType.getConstructor(String.class).newInstance(name);
            signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, handler);
        } catch (ReflectiveOperationException e) {
            LogManager.getLogger(ProcessSignal.class)
                    .warn("no handler for SIG{} can be installed, so it ends this process", name, e);
        }
    }
}
