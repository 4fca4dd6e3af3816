package org.yuccagw.adapters.control;

import com.google.common.base.Suppliers;
import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.yuccagw.core.control.ActionHandler;
import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.control.ControlCore;
import org.yuccagw.core.control.ControlCore.Effect;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlInput;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.port.KeyValueAnswer;

/**
 * Runs the control thread: a Disruptor ring with one handler, which passes events to the control core and executes the
 * resulting effects.
 *
 * <p>Events may be offered on any thread, but only the control thread accesses the core. After each batch of events the
 * new snapshot is published through one volatile field, which is the only state that traffic threads read. While there
 * are no events, the wait for the ring ends when the next timer is due.
 *
 * <p>An event that is offered on the control thread itself, such as the outcome of an action that completed
 * immediately, goes to a separate queue. Waiting for a free slot of the ring would be a deadlock, because only this
 * thread empties the ring.
 *
 * <p>Whatever a component throws, an {@link Error} too, is logged and counted, the other components handle the event,
 * and the thread continues with the next one. If it doesn't, since it has ended or one batch doesn't end, {@link
 * #isProgressing} says so.
 */
public final class ControlRunner implements ControlInput {
    /** Resolved on first use, because loading the logging library would delay every start. */
    private static final Supplier<Logger> log = Suppliers.memoize(() -> LogManager.getLogger(ControlRunner.class));

    private static final int RING_SLOTS = 16 * 1024;
    private static final long STOP_TIMEOUT_SECONDS = 10;
    /** Far above what any batch takes, also while the processor is shared with many others. */
    private static final long MAX_BATCH_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long IDLE = 0;
    private static final ControlCore.Tick TICK = new ControlCore.Tick();

    private final ControlCore core;
    private final KeyValuePort keyValue;
    private final PeerPort peers;
    private final List<ActionHandler> handlers;
    private final Disruptor<Slot> disruptor;
    private final ArrayDeque<ControlEvent> selfOfferedEvents = new ArrayDeque<>();
    private final LongAdder events = new LongAdder();
    private final LongAdder failures = new LongAdder();

    private volatile Thread controlThread;
    private volatile long batchStartNanos = IDLE;
    private volatile ControlSnapshot snapshot = ControlSnapshot.empty();

    private ControlRunner(ControlCore core, KeyValuePort keyValue, PeerPort peers, List<ActionHandler> handlers) {
        this.core = core;
        this.keyValue = keyValue;
        this.peers = peers;
        this.handlers = List.copyOf(handlers);
        this.disruptor = new Disruptor<>(
                Slot::new,
                RING_SLOTS,
                this::createControlThread,
                ProducerType.MULTI,
                TimerWaitStrategy.of(core::nextTimerNanos));
        disruptor.setDefaultExceptionHandler(new FailureRecorder());
        disruptor.handleEventsWith(new CoreEventHandler());
        core.isolateFailures(this::recordFailure);
    }

    /** Creates the runner; events that are offered before {@link #start} wait in the ring. */
    public static ControlRunner of(
            ControlCore core, KeyValuePort keyValue, PeerPort peers, List<ActionHandler> handlers) {
        return new ControlRunner(core, keyValue, peers, handlers);
    }

    public void start() {
        disruptor.start();
    }

    /** Handles the events offered so far, then ends the control thread; gives up waiting after 10 s. */
    public void stop() {
        try {
            disruptor.shutdown(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (com.lmax.disruptor.TimeoutException e) {
            log.get().warn("discarding the control events that are still queued after {} s", STOP_TIMEOUT_SECONDS);
            disruptor.halt();
        }
    }

    @Override
    public void offer(ControlEvent event) {
        if (Thread.currentThread() == controlThread) {
            selfOfferedEvents.add(event);
        } else {
            disruptor.publishEvent((slot, sequence, offered) -> slot.event = offered, event);
        }
    }

    /** Returns the snapshot after the last batch of events; a batch that changed the state gives a new object. */
    public ControlSnapshot snapshot() {
        return snapshot;
    }

    /** Returns whether the control thread runs and its present batch, if any, began a short time ago. */
    @Override
    public boolean isProgressing() {
        Thread thread = controlThread;
        long startNanos = batchStartNanos;
        return thread != null
                && thread.isAlive()
                && (startNanos == IDLE || System.nanoTime() - startNanos < MAX_BATCH_NANOS);
    }

    /** Returns the number of events handled since the start. */
    public long eventCount() {
        return events.sum();
    }

    /** Returns the number of failures since the start, of components, effects and snapshots. */
    public long failureCount() {
        return failures.sum();
    }

    private Thread createControlThread(Runnable work) {
        Thread thread = new Thread(work, "control");
        thread.setDaemon(true);
        controlThread = thread;
        return thread;
    }

    private void handleSafely(ControlEvent event) {
        events.increment();
        try {
            execute(core.handle(event, System.nanoTime(), System.currentTimeMillis()));
        } catch (RuntimeException | Error e) {
            recordFailure("handling of the control event " + event.getClass().getSimpleName(), e);
        }
    }

    private void recordFailure(String step, Throwable failure) {
        failures.increment();
        try {
            log.get().error("{} failed", step, failure);
        } catch (RuntimeException | Error notLogged) {
            // An exhausted heap fails the log line as well.
            failures.increment();
        }
    }

    private void drainSelfOfferedEvents() {
        for (ControlEvent event = selfOfferedEvents.poll(); event != null; event = selfOfferedEvents.poll()) {
            handleSafely(event);
        }
    }

    /**
     * Executes each effect, whatever becomes of the others. A call that was never sent would leave its component
     * waiting for ever, for example the one that follows the key-value service.
     */
    private void execute(List<Effect> effects) {
        for (Effect effect : effects) {
            try {
                execute(effect);
            } catch (RuntimeException | Error e) {
                recordFailure("the control effect " + effect.getClass().getSimpleName(), e);
            }
        }
    }

    private void execute(Effect effect) {
        if (effect instanceof Effect.Call call) {
            submit(call);
        } else if (effect instanceof Effect.Send send) {
            peers.send(send.to(), send.message());
        } else if (effect instanceof Effect.Reply reply) {
            reply.answer().run();
        } else if (effect instanceof Effect.Perform perform) {
            perform(perform.action());
        }
    }

    private void submit(Effect.Call call) {
        try {
            keyValue.submit(call.call(), answer -> offer(new ControlCore.CallAnswered(call.number(), answer)));
        } catch (RuntimeException e) {
            offer(new ControlCore.CallAnswered(
                    call.number(), new KeyValueAnswer.Lost("the call could not be sent: " + e)));
            throw e;
        }
    }

    private void perform(ControlAction action) {
        for (ActionHandler handler : handlers) {
            if (handler.perform(action, this)) {
                return;
            }
        }
        throw new IllegalStateException(
                "no handler performs the action " + action.getClass().getName());
    }

    private final class CoreEventHandler implements EventHandler<Slot> {
        @Override
        public void onStart() {
            beginBatch();
            execute(core.start(System.nanoTime(), System.currentTimeMillis()));
            drainSelfOfferedEvents();
            snapshot = core.snapshot();
            batchStartNanos = IDLE;
        }

        @Override
        public void onEvent(Slot slot, long sequence, boolean endOfBatch) {
            beginBatch();
            ControlEvent event = slot.event;
            slot.event = null;
            handleSafely(event);
            drainSelfOfferedEvents();
            if (endOfBatch) {
                snapshot = core.snapshot();
                batchStartNanos = IDLE;
            }
        }

        @Override
        public void onTimeout(long sequence) {
            if (core.nextTimerNanos() <= System.nanoTime()) {
                beginBatch();
                handleSafely(TICK);
                drainSelfOfferedEvents();
                snapshot = core.snapshot();
                batchStartNanos = IDLE;
            }
        }

        private void beginBatch() {
            if (batchStartNanos == IDLE) {
                long nowNanos = System.nanoTime();
                batchStartNanos = nowNanos == IDLE ? IDLE + 1 : nowNanos;
            }
        }
    }

    /**
     * Records what escapes the handler, after which the Disruptor goes on with the next event. A core that can't be
     * started handles none: the thread ends.
     */
    private final class FailureRecorder implements ExceptionHandler<Slot> {
        @Override
        public void handleEventException(Throwable failure, long sequence, Slot slot) {
            batchStartNanos = IDLE;
            recordFailure("a batch of control events", failure);
        }

        @Override
        public void handleOnStartException(Throwable failure) {
            recordFailure("the start of the control core", failure);
            disruptor.halt();
        }

        @Override
        public void handleOnShutdownException(Throwable failure) {
            recordFailure("the end of the control core", failure);
        }
    }

    private static final class Slot {
        private ControlEvent event;
    }
}
