package org.yuccagw.daemon;

import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlInput;

/** The way into the control core for adapters that must exist before its runner does. */
final class DeferredControlInput implements ControlInput {
    private volatile ControlInput runner;

    void connect(ControlInput connected) {
        runner = connected;
    }

    @Override
    public void offer(ControlEvent event) {
        runner.offer(event);
    }
}
