package org.yuccagw.core.control;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueCall;
import org.yuccagw.core.port.PeerMessage;

/**
 * The environment of a {@link ControlComponent}: time, random numbers and identity are passed in, effects are passed
 * out.
 */
public interface ControlContext {
    /** Returns the monotonic time in nanoseconds, which stays the same during one event. */
    long nowNanos();

    /**
     * Returns the wall-clock time in milliseconds since 1970, which stays the same during one event. For records, never
     * for decisions.
     */
    long wallMillis();

    RandomGenerator random();

    EntryIdentity self();

    /** Calls the key-value service; the continuation runs as a later event of the core. */
    void call(KeyValueCall call, Consumer<KeyValueAnswer> continuation);

    /** Runs the task as an event of the core once {@code delay} has passed. */
    Timer after(Duration delay, Runnable task);

    /** Sends a message to another entry, without any guarantee of delivery. */
    void send(EntryId to, PeerMessage message);

    /** Requests an effect from the environment. */
    void perform(ControlAction action);

    /** Dispatches an event to all components, after the current one. */
    void raise(ControlEvent event);

    /** Delivers an answer to a traffic thread; the runnable must not touch control state. */
    void reply(Runnable answer);

    /** A scheduled task. */
    interface Timer {
        void cancel();
    }
}
