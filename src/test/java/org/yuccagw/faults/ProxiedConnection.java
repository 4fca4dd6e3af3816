package org.yuccagw.faults;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/** A connection through the proxy: two channels and the bytes in transit between them. */
final class ProxiedConnection {
    private static final int MAX_PENDING_BYTES = 256 * 1024;

    private final Channel caller;
    private final Channel target;
    private final ProxyRules rules;
    private boolean silent;
    private boolean answerBegun;

    ProxiedConnection(Channel caller, Channel target, ProxyRules rules) {
        this.caller = caller;
        this.target = target;
        this.rules = rules;
    }

    void begin() {
        caller.pipeline().addLast(new Relay(target, false));
        target.pipeline().addLast(new Relay(caller, true));
        caller.config().setAutoRead(true);
        target.config().setAutoRead(true);
    }

    void silence() {
        silent = true;
    }

    void reset() {
        resetOnClose(caller);
        resetOnClose(target);
        close();
    }

    private static void resetOnClose(Channel channel) {
        try {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        } catch (ChannelException ignored) {
            // The channel was closed already.
        }
    }

    void close() {
        caller.close();
        target.close();
    }

    /** Forwards the bytes of one direction, each not before its due time and never before an earlier one. */
    private final class Relay extends ChannelInboundHandlerAdapter {
        private final Channel other;
        private final boolean fromTarget;
        private long lastDueNanos = Long.MIN_VALUE;
        private final ArrayDeque<DueTask> tasks = new ArrayDeque<>();
        private int pendingBytes;

        private Relay(Channel other, boolean fromTarget) {
            this.other = other;
            this.fromTarget = fromTarget;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            if (silent) {
                bytes.release();
                return;
            }
            if (fromTarget && !answerBegun && rules.dropNextAnswer()) {
                bytes.release();
                close();
                return;
            }
            // A further request on the same connection has its own answer, which may be dropped.
            answerBegun = fromTarget;
            forward(context, bytes);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!silent) {
                runAt(Math.max(lastDueNanos, System.nanoTime()), context, other::close);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A reset of one side must not look like an orderly end on the other.
            resetOnClose(other);
            context.close();
        }

        private void forward(ChannelHandlerContext context, ByteBuf bytes) {
            int size = bytes.readableBytes();
            long earliest = System.nanoTime() + rules.delayNanos();
            lastDueNanos = Math.max(earliest, lastDueNanos) + rules.transferNanos(size);
            pendingBytes += size;
            context.channel().config().setAutoRead(pendingBytes < MAX_PENDING_BYTES);
            runAt(lastDueNanos, context, () -> deliver(context, bytes, size));
        }

        private void deliver(ChannelHandlerContext context, ByteBuf bytes, int size) {
            if (silent) {
                bytes.release();
                return;
            }
            other.writeAndFlush(bytes).addListener(written -> {
                pendingBytes -= size;
                context.channel().config().setAutoRead(pendingBytes < MAX_PENDING_BYTES);
            });
        }

        /**
         * Runs the task at its time and after every earlier one of this direction. The scheduler alone does not keep
         * that order: the delays of two tasks that are due at the same nanosecond are computed at different moments,
         * so the later task may run slightly earlier. Bytes then changed places.
         */
        private void runAt(long nanos, ChannelHandlerContext context, Runnable task) {
            tasks.add(new DueTask(nanos, task));
            if (tasks.size() == 1) {
                scheduleAt(nanos, context);
            }
        }

        private void scheduleAt(long nanos, ChannelHandlerContext context) {
            long wait = Math.max(0, nanos - System.nanoTime());
            context.executor().schedule(() -> runDue(context), wait, TimeUnit.NANOSECONDS);
        }

        private void runDue(ChannelHandlerContext context) {
            while (!tasks.isEmpty() && tasks.peek().nanos() - System.nanoTime() <= 0) {
                tasks.poll().task().run();
            }
            if (!tasks.isEmpty()) {
                scheduleAt(tasks.peek().nanos(), context);
            }
        }
    }

    private record DueTask(long nanos, Runnable task) {}
}
