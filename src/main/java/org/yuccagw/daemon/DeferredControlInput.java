package org.yuccagw.daemon;

import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlInput;

/**
 * Passes events to a control runner that is set later. Adapters that have to be created before the runner send their
 * events through it.
 */
final class DeferredControlInput implements ControlInput {
    private volatile ControlInput runner;

    void connect(ControlInput controlRunner) {
        runner = controlRunner;
    }

    @Override
    public void offer(ControlEvent event) {
        runner.offer(event);
    }
}
