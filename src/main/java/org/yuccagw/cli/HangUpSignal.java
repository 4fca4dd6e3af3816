package org.yuccagw.cli;

import java.lang.reflect.Proxy;
import org.apache.logging.log4j.LogManager;

/**
 * Runs a task on SIGHUP instead of the default reaction of the JVM, which is to end the process.
 *
 * <p>The signal handling class of the JDK is supported, but its use causes a compiler warning that can't be suppressed.
 * It is therefore used by reflection.
 */
final class HangUpSignal {
    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

    private HangUpSignal() {}

    static void handle(Runnable task) {
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
            Object hangUp = signalType.getConstructor(String.class).newInstance("HUP");
            signalType.getMethod("handle", signalType, handlerType).invoke(null, hangUp, handler);
        } catch (ReflectiveOperationException e) {
            LogManager.getLogger(HangUpSignal.class)
                    .warn("no handler for SIGHUP can be installed, so it ends this process", e);
        }
    }
}
