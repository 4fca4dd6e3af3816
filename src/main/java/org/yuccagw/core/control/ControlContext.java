package org.yuccagw.core.control;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueCall;
import org.yuccagw.core.port.PeerMessage;

/** What a {@link ControlComponent} may use: time, chance and identity passed in, effects passed out. */
public interface ControlContext {
    /** Monotonic time in nanoseconds, the same during one event. */
    long nowNanos();

    /** Wall-clock time in milliseconds since 1970, the same during one event; for records, never for decisions. */
    long wallMillis();

    RandomGenerator random();

    EntryIdentity self();

    /** Calls the key-value service; the continuation runs as a later event of the core. */
    void call(KeyValueCall call, Consumer<KeyValueAnswer> continuation);

    /** Runs the task as an event of the core once {@code delay} has passed. */
    Timer after(Duration delay, Runnable task);

    /** Sends to another entry, without any promise that it arrives. */
    void send(EntryId to, PeerMessage message);

    /** Asks an effect of the surroundings. */
    void perform(ControlAction action);

    /** Hands an event to all parts, after the present one. */
    void raise(ControlEvent event);

    /** Gives an answer to a traffic thread; the runnable must not touch control state. */
    void reply(Runnable answer);

    /** A task that waits for its time. */
    interface Timer {
        void cancel();
    }
}
