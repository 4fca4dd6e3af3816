package org.yuccagw.bench.control;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlCore;
import org.yuccagw.core.control.ControlCore.CallAnswered;
import org.yuccagw.core.control.ControlCore.Effect;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlInput;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.id.EntryId;

/** One process of an entry in virtual time. It can be paused and killed; a restart is another node of the same name. */
public final class BenchNode implements ControlInput {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final ControlBench bench;
    private final EntryIdentity identity;
    private final ControlCore core;
    private boolean dead;
    private long pausedUntilNanos;
    private long wakeNanos = Long.MAX_VALUE;
    private long events;
    private long bytesSent;
    private long messagesSent;
    private long busyNanos;

    BenchNode(ControlBench bench, EntryIdentity identity, long seed, List<ControlComponent> components) {
        this.bench = bench;
        this.identity = identity;
        this.core = ControlCore.of(identity, new SplittableRandom(seed), components);
        this.pausedUntilNanos = bench.time().nowNanos();
    }

    void start() {
        carryOut(core.start(bench.time().nowNanos(), bench.time().wallMillis()));
        scheduleWake();
    }

    public EntryId entry() {
        return identity.entry();
    }

    public EntryIdentity identity() {
        return identity;
    }

    public boolean isDead() {
        return dead;
    }

    /** Hands an event to the core now, or once the pause is over. */
    @Override
    public void offer(ControlEvent event) {
        if (dead) {
            return;
        }
        if (pausedUntilNanos - bench.time().nowNanos() > 0) {
            bench.time().at(pausedUntilNanos, () -> offer(event));
            return;
        }
        long began = THREADS.getCurrentThreadCpuTime();
        List<Effect> effects =
                core.handle(event, bench.time().nowNanos(), bench.time().wallMillis());
        core.snapshot();
        busyNanos += THREADS.getCurrentThreadCpuTime() - began;
        events++;
        carryOut(effects);
        scheduleWake();
    }

    /** Nothing runs in this process for a while, then everything that waited does. */
    public void pause(Duration time) {
        pausedUntilNanos = bench.time().nowNanos() + time.toNanos();
    }

    public void kill() {
        dead = true;
    }

    public ControlSnapshot snapshot() {
        return core.snapshot();
    }

    public <T> Optional<T> state(Class<T> type) {
        return core.snapshot().find(type);
    }

    public long events() {
        return events;
    }

    /** Encoded bytes that this node sent to others; 0 unless the bench was told how to measure. */
    public long bytesSent() {
        return bytesSent;
    }

    public long messagesSent() {
        return messagesSent;
    }

    /** Processor time of this thread in the core, snapshots included, in nanoseconds. */
    public long busyNanos() {
        return busyNanos;
    }

    /** Counts from zero again. */
    public void forgetCounts() {
        events = 0;
        bytesSent = 0;
        messagesSent = 0;
        busyNanos = 0;
    }

    private void carryOut(List<Effect> effects) {
        for (Effect effect : effects) {
            if (effect instanceof Effect.Call call) {
                bench.keyValue().submit(entry(), call.call(), answer -> offer(new CallAnswered(call.number(), answer)));
            } else if (effect instanceof Effect.Send send) {
                messagesSent++;
                bytesSent += bench.sizeOf(this, send.message());
                bench.deliver(this, send.to(), send.message());
            } else if (effect instanceof Effect.Perform perform) {
                bench.perform(this, perform.action());
            } else if (effect instanceof Effect.Reply reply) {
                reply.answer().run();
            }
        }
    }

    private void scheduleWake() {
        long next = core.nextTimerNanos();
        if (next < wakeNanos) {
            wakeNanos = next;
            bench.time().at(next, () -> wake(next));
        }
    }

    private void wake(long planned) {
        if (dead || wakeNanos != planned) {
            return;
        }
        if (pausedUntilNanos - bench.time().nowNanos() > 0) {
            bench.time().at(pausedUntilNanos, () -> wake(planned));
            return;
        }
        wakeNanos = Long.MAX_VALUE;
        offer(new ControlCore.Tick());
    }
}
