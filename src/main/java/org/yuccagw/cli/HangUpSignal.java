package org.yuccagw.cli;

import java.lang.reflect.Proxy;
import org.apache.logging.log4j.LogManager;

/**
 * Runs a task on SIGHUP in place of the virtual machine's own reaction, which is to end the process.
 *
 * <p>The class of the platform that handles signals is supported but draws a warning that can't be suppressed, so it is
 * used by reflection.
 */
final class HangUpSignal {
    private static final String SIGNAL = "sun.misc.Signal";
    private static final String HANDLER = "sun.misc.SignalHandler";

    private HangUpSignal() {}

    static void handle(Runnable task) {
        try {
            Class<?> signalType = Class.forName(SIGNAL);
            Class<?> handlerType = Class.forName(HANDLER);
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
            LogManager.getLogger(HangUpSignal.class).warn("SIGHUP ends this process: it can't be handled", e);
        }
    }
}
