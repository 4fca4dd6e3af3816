package org.yuccagw.adapters.control;

import com.google.common.base.Suppliers;
import com.lmax.disruptor.EventHandler;
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

/**
 * The control thread: one Disruptor ring with one handler that feeds the control core and carries out its effects.
 *
 * <p>Any thread offers events; only the control thread touches the core. After each batch of events the new snapshot
 * is published through one volatile field, which is all that traffic threads read. While no event comes, the ring's
 * wait ends when the next timer is due.
 *
 * <p>An event that the control thread offers to itself, such as the outcome of an action that ended at once, goes to a
 * list of its own: waiting for a free slot of the ring it alone empties would never end.
 *
 * <p>A part that throws loses the effects of that event only: the failure is logged and counted, and the thread goes
 * on.
 */
public final class ControlRunner implements ControlInput {
    /** Found when first used: loading the logging library would delay every start. */
    private static final Supplier<Logger> log = Suppliers.memoize(() -> LogManager.getLogger(ControlRunner.class));

    private static final int RING_SLOTS = 16 * 1024;
    private static final long STOP_SECONDS = 10;
    private static final ControlCore.Tick TICK = new ControlCore.Tick();

    private final ControlCore core;
    private final KeyValuePort keyValue;
    private final PeerPort peers;
    private final List<ActionHandler> handlers;
    private final Disruptor<Slot> disruptor;
    private final ArrayDeque<ControlEvent> ownEvents = new ArrayDeque<>();
    private final LongAdder events = new LongAdder();
    private final LongAdder failures = new LongAdder();

    private volatile Thread controlThread;
    private volatile ControlSnapshot snapshot = ControlSnapshot.empty();

    private ControlRunner(ControlCore core, KeyValuePort keyValue, PeerPort peers, List<ActionHandler> handlers) {
        this.core = core;
        this.keyValue = keyValue;
        this.peers = peers;
        this.handlers = List.copyOf(handlers);
        this.disruptor = new Disruptor<>(
                Slot::new, RING_SLOTS, this::makeThread, ProducerType.MULTI, TimerWaitStrategy.until(core::nextTimerNanos));
        disruptor.handleEventsWith(new Handler());
    }

    /** Makes the runner; events wait in the ring until {@link #start}. */
    public static ControlRunner of(
            ControlCore core, KeyValuePort keyValue, PeerPort peers, List<ActionHandler> handlers) {
        return new ControlRunner(core, keyValue, peers, handlers);
    }

    public void start() {
        disruptor.start();
    }

    /** Handles what was offered before, then ends the thread. */
    public void stop() {
        try {
            disruptor.shutdown(STOP_SECONDS, TimeUnit.SECONDS);
        } catch (com.lmax.disruptor.TimeoutException e) {
            log.get().warn("control events were still waiting after {} s", STOP_SECONDS);
            disruptor.halt();
        }
    }

    @Override
    public void offer(ControlEvent event) {
        if (Thread.currentThread() == controlThread) {
            ownEvents.add(event);
        } else {
            disruptor.publishEvent((slot, sequence, offered) -> slot.event = offered, event);
        }
    }

    /** The present state; a new object after each batch that changed something. */
    public ControlSnapshot snapshot() {
        return snapshot;
    }

    /** Events handled since the start. */
    public long eventCount() {
        return events.sum();
    }

    /** Events whose handling threw since the start. */
    public long failureCount() {
        return failures.sum();
    }

    private Thread makeThread(Runnable work) {
        Thread thread = new Thread(work, "control");
        thread.setDaemon(true);
        controlThread = thread;
        return thread;
    }

    private void handleGuarded(ControlEvent event) {
        events.increment();
        try {
            carryOut(core.handle(event, System.nanoTime(), System.currentTimeMillis()));
        } catch (RuntimeException e) {
            failures.increment();
            log.get().error("control event {} failed", event.getClass().getSimpleName(), e);
        }
    }

    private void drainOwnEvents() {
        for (ControlEvent own = ownEvents.poll(); own != null; own = ownEvents.poll()) {
            handleGuarded(own);
        }
    }

    private void carryOut(List<Effect> effects) {
        for (Effect effect : effects) {
            if (effect instanceof Effect.Call call) {
                keyValue.submit(call.call(), answer -> offer(new ControlCore.CallAnswered(call.number(), answer)));
            } else if (effect instanceof Effect.Send send) {
                peers.send(send.to(), send.message());
            } else if (effect instanceof Effect.Reply reply) {
                reply.answer().run();
            } else if (effect instanceof Effect.Perform perform) {
                perform(perform.action());
            }
        }
    }

    private void perform(ControlAction action) {
        for (ActionHandler handler : handlers) {
            if (handler.perform(action, this)) {
                return;
            }
        }
        throw new IllegalStateException("no handler for " + action.getClass().getName());
    }

    private final class Handler implements EventHandler<Slot> {
        @Override
        public void onStart() {
            carryOut(core.start(System.nanoTime(), System.currentTimeMillis()));
            drainOwnEvents();
            snapshot = core.snapshot();
        }

        @Override
        public void onEvent(Slot slot, long sequence, boolean endOfBatch) {
            ControlEvent event = slot.event;
            slot.event = null;
            handleGuarded(event);
            drainOwnEvents();
            if (endOfBatch) {
                snapshot = core.snapshot();
            }
        }

        @Override
        public void onTimeout(long sequence) {
            if (core.nextTimerNanos() <= System.nanoTime()) {
                handleGuarded(TICK);
                drainOwnEvents();
                snapshot = core.snapshot();
            }
        }
    }

    private static final class Slot {
        private ControlEvent event;
    }
}
