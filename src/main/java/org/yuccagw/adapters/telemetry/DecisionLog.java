package org.yuccagw.adapters.telemetry;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.yuccagw.core.control.ActionHandler;
import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.control.ControlInput;
import org.yuccagw.core.control.Decision;

/**
 * Writes decisions as lines of named values: {@code event="placed" request="9c41" endpoint="e-7"}.
 *
 * <p>The lines go through a bounded queue to a thread of their own; when the queue is full, lines are dropped and never
 * waited for.
 */
public final class DecisionLog implements ActionHandler {
    private static final Logger log = LogManager.getLogger("org.yuccagw.decisions");

    private DecisionLog() {}

    public static DecisionLog create() {
        return new DecisionLog();
    }

    /** Writes one line. */
    public void write(Decision decision) {
        if (!log.isInfoEnabled()) {
            return;
        }
        StringMapMessage message = new StringMapMessage(decision.fields().size() + 1);
        message.put("event", decision.event());
        decision.fields().forEach(message::put);
        log.info(message);
    }

    @Override
    public boolean perform(ControlAction action, ControlInput input) {
        if (action instanceof Decision decision) {
            write(decision);
            return true;
        }
        return false;
    }
}
