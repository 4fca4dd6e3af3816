package org.yuccagw.core.control;

import com.google.common.base.Throwables;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueCall;
import org.yuccagw.core.port.PeerMessage;

/**
 * The control state of one entry: it maps events to effects, and has no clock, thread, random source or input of its
 * own.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>The same identity, random seed and sequence of (time, event) give the same sequence of effects.
 *   <li>Time never goes backwards: a time before the last one counts as the last one.
 *   <li>Due timers run before the event that arrives with that time, ordered by due time, then by creation.
 *   <li>A continuation of a key-value call runs at most once; a second answer to the same call is ignored.
 *   <li>With {@link #isolateFailures}, whatever one component throws, the others handle the event.
 * </ul>
 *
 * <p>Example: at time 0 a component schedules {@code after(1 s, A)}; the event E arrives at 1.5 s. The core runs A,
 * then E, then all events that A and E raised, and returns the effects of all of them.
 */
public final class ControlCore {
    private final EntryIdentity self;
    private final RandomGenerator random;
    private final List<ControlComponent> components;
    private final Context context = new Context();
    private final PriorityQueue<ScheduledTask> timers = new PriorityQueue<>();
    private final Map<Long, Consumer<KeyValueAnswer>> continuations = new HashMap<>();
    private final ArrayDeque<ControlEvent> raised = new ArrayDeque<>();
    private final KeyValueEras eras = KeyValueEras.of(
            this::send, task -> context.after(Duration.ZERO, task), era -> raised.add(new KeyValueRestored(era)));

    private FailureHandler failureHandler = ControlCore::rethrow;
    private List<Effect> effects = new ArrayList<>();
    private ControlSnapshot snapshot = ControlSnapshot.empty();
    private long nowNanos;
    private long wallMillis;
    private long nextCall = 1;
    private long nextTimer = 1;
    private boolean changed;

    private ControlCore(EntryIdentity self, RandomGenerator random, List<ControlComponent> components) {
        this.self = self;
        this.random = random;
        this.components = List.copyOf(components);
    }

    public static ControlCore of(EntryIdentity self, RandomGenerator random, List<ControlComponent> components) {
        return new ControlCore(self, random, components);
    }

    /** Handles what a component throws. */
    @FunctionalInterface
    public interface FailureHandler {
        /**
         * Called on the thread that runs the core.
         *
         * @param step what the component was doing
         */
        void handle(String step, Throwable failure);
    }

    /**
     * Passes failures of components to a handler from now on, in place of throwing them. An event reaches all other
     * components although one fails at it, and the effects of the step are returned.
     */
    public void isolateFailures(FailureHandler handler) {
        failureHandler = handler;
    }

    private static void rethrow(String step, Throwable failure) {
        Throwables.throwIfUnchecked(failure);
        throw new IllegalStateException(step + " failed", failure);
    }

    private void runSafely(String step, Runnable action) {
        try {
            action.run();
        } catch (RuntimeException | Error failure) {
            failureHandler.handle(step, failure);
        }
    }

    /** An effect that the core requests from its environment; effects are returned in order. */
    public sealed interface Effect {
        record Call(long number, KeyValueCall call) implements Effect {}

        record Send(EntryId to, PeerMessage message) implements Effect {}

        record Perform(ControlAction action) implements Effect {}

        record Reply(Runnable answer) implements Effect {}
    }

    /** The answer to the effect {@link Effect.Call} with the same number. */
    public record CallAnswered(long number, KeyValueAnswer answer) implements ControlEvent {}

    /** Time has passed and nothing else happened. */
    public record Tick() implements ControlEvent {}

    /** Starts all components. */
    public List<Effect> start(long monotonicNanos, long wallClockMillis) {
        nowNanos = monotonicNanos;
        wallMillis = wallClockMillis;
        for (ControlComponent component : components) {
            component.start(context);
        }
        drainRaised();
        changed = true;
        return takeEffects();
    }

    /** Handles one event at a time given in nanoseconds (monotonic) and milliseconds (wall clock). */
    public List<Effect> handle(ControlEvent event, long monotonicNanos, long wallClockMillis) {
        advance(monotonicNanos, wallClockMillis);
        runDueTimers();
        dispatch(event);
        drainRaised();
        return takeEffects();
    }

    /**
     * Returns the monotonic time in nanoseconds at which the next timer is due, or {@link Long#MAX_VALUE} if there is
     * none. Cancelled timers are removed here: each would wake the control thread for nothing, once for every request
     * that a lead places.
     */
    public long nextTimerNanos() {
        while (!timers.isEmpty() && timers.peek().cancelled) {
            timers.poll();
        }
        ScheduledTask next = timers.peek();
        return next == null ? Long.MAX_VALUE : next.dueNanos;
    }

    /** Returns the current immutable state; a new object only if an event was handled since the last call. */
    public ControlSnapshot snapshot() {
        if (changed) {
            ControlSnapshot.Builder builder = snapshot.toBuilder();
            for (ControlComponent component : components) {
                runSafely("a snapshot", () -> component.contribute(builder));
            }
            snapshot = builder.build();
            changed = false;
        }
        return snapshot;
    }

    private void advance(long monotonicNanos, long wallClockMillis) {
        nowNanos = Math.max(nowNanos, monotonicNanos);
        wallMillis = wallClockMillis;
    }

    private void runDueTimers() {
        for (ScheduledTask next = timers.peek(); next != null && next.dueNanos <= nowNanos; next = timers.peek()) {
            timers.poll();
            if (!next.cancelled) {
                runSafely("a timer", next.task);
                changed = true;
                drainRaised();
            }
        }
    }

    private void drainRaised() {
        for (ControlEvent event = raised.poll(); event != null; event = raised.poll()) {
            dispatch(event);
        }
    }

    private void dispatch(ControlEvent event) {
        if (event instanceof Tick) {
            return;
        }
        changed = true;
        if (event instanceof CallAnswered answered) {
            Consumer<KeyValueAnswer> continuation = continuations.remove(answered.number());
            if (continuation != null) {
                runSafely("an answer of the key-value service", () -> continuation.accept(answered.answer()));
            }
            return;
        }
        for (ControlComponent component : components) {
            handleSafely(component, event);
        }
    }

    private void handleSafely(ControlComponent component, ControlEvent event) {
        try {
            component.handle(event, context);
        } catch (RuntimeException | Error failure) {
            failureHandler.handle(
                    component.getClass().getSimpleName() + " with "
                            + event.getClass().getSimpleName(),
                    failure);
        }
    }

    private void send(KeyValueCall call, Consumer<KeyValueAnswer> continuation) {
        long number = nextCall++;
        continuations.put(number, continuation);
        effects.add(new Effect.Call(number, call));
    }

    private List<Effect> takeEffects() {
        List<Effect> current = effects;
        effects = new ArrayList<>();
        return current;
    }

    private final class Context implements ControlContext {
        @Override
        public long nowNanos() {
            return nowNanos;
        }

        @Override
        public long wallMillis() {
            return wallMillis;
        }

        @Override
        public RandomGenerator random() {
            return random;
        }

        @Override
        public EntryIdentity self() {
            return self;
        }

        @Override
        public void call(KeyValueCall call, Consumer<KeyValueAnswer> continuation) {
            eras.submit(call, continuation);
        }

        @Override
        public Timer after(Duration delay, Runnable task) {
            ScheduledTask scheduled = new ScheduledTask(nowNanos + Math.max(0, delay.toNanos()), nextTimer++, task);
            timers.add(scheduled);
            return scheduled;
        }

        @Override
        public void send(EntryId to, PeerMessage message) {
            effects.add(new Effect.Send(to, message));
        }

        @Override
        public void perform(ControlAction action) {
            effects.add(new Effect.Perform(action));
        }

        @Override
        public void raise(ControlEvent event) {
            raised.add(event);
        }

        @Override
        public void reply(Runnable answer) {
            effects.add(new Effect.Reply(answer));
        }
    }

    private static final class ScheduledTask implements ControlContext.Timer, Comparable<ScheduledTask> {
        private final long dueNanos;
        private final long order;
        private final Runnable task;
        private boolean cancelled;

        private ScheduledTask(long dueNanos, long order, Runnable task) {
            this.dueNanos = dueNanos;
            this.order = order;
            this.task = task;
        }

        @Override
        public void cancel() {
            cancelled = true;
        }

        @Override
        public int compareTo(ScheduledTask other) {
            int byDueTime = Long.compare(dueNanos, other.dueNanos);
            return byDueTime != 0 ? byDueTime : Long.compare(order, other.order);
        }
    }
}
