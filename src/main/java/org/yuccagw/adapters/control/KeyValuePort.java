package org.yuccagw.adapters.control;

import java.util.function.Consumer;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueCall;

/** Sends calls to the key-value service. */
@FunctionalInterface
public interface KeyValuePort {
    /**
     * Sends a call. Never blocks and never throws.
     *
     * @param answer called exactly once with the answer, on any thread
     */
    void submit(KeyValueCall call, Consumer<KeyValueAnswer> answer);
}
