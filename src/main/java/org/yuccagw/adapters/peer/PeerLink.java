package org.yuccagw.adapters.peer;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import org.yuccagw.core.id.NetworkAddress;

/**
 * The outgoing connection from this entry to one other entry, with its acknowledgement state.
 *
 * <p>States: none, connecting, open. While connecting, frames wait in a short queue, so that the first message of an
 * exchange isn't lost. When the write buffer of an open connection is full, frames are dropped. The address may change
 * between two sends when a VM is replaced; the old connection is then closed.
 */
final class PeerLink {
    /** The connection is replaced if a frame stays unacknowledged for longer. */
    static final long ACKNOWLEDGEMENT_TIMEOUT_NANOS = 2_000_000_000L;

    private static final int MAX_QUEUED_FRAMES = 64;
    private static final int NONE_UNACKNOWLEDGED = -1;

    private final BiConsumer<PeerLink, NetworkAddress> connector;
    private final java.util.ArrayDeque<byte[]> pendingFrames = new java.util.ArrayDeque<>();
    private NetworkAddress address;
    private Channel channel;
    private boolean connecting;
    private OptionalLong incarnation = OptionalLong.empty();
    private long sentFrames;
    private long unacknowledgedSinceNanos = NONE_UNACKNOWLEDGED;

    PeerLink(BiConsumer<PeerLink, NetworkAddress> connector) {
        this.connector = connector;
    }

    /** Sends or queues the frame; returns false if the frame was dropped. */
    synchronized boolean send(NetworkAddress to, byte[] frame) {
        closeIfUnusable(to);
        if (channel != null) {
            if (!channel.isWritable()) {
                return false;
            }
            write(frame);
            return true;
        }
        boolean queued = pendingFrames.size() < MAX_QUEUED_FRAMES;
        if (queued) {
            pendingFrames.add(frame);
        }
        if (!connecting || !to.equals(address)) {
            connecting = true;
            address = to;
            connector.accept(this, to);
        }
        return queued;
    }

    /**
     * Called with the start of the peer that a message states. A connection to an earlier start is closed: if the VM
     * lost power, or the path was cut, no packet has shown the end of that process.
     */
    synchronized void recordIncarnation(long stated) {
        boolean restarted = incarnation.isPresent() && incarnation.getAsLong() != stated;
        incarnation = OptionalLong.of(stated);
        if (restarted && channel != null) {
            channel.close();
            channel = null;
        }
    }

    /**
     * Called when the attempt to connect has ended; sends the queued frames, or drops them if it failed. An attempt at
     * an address that the peer has left since changes nothing.
     *
     * @param newChannel null if the attempt failed
     */
    synchronized void onConnected(NetworkAddress to, Channel newChannel) {
        if (!connecting || !to.equals(address)) {
            if (newChannel != null) {
                newChannel.close();
            }
            return;
        }
        connecting = false;
        channel = newChannel;
        sentFrames = 0;
        unacknowledgedSinceNanos = NONE_UNACKNOWLEDGED;
        if (newChannel == null) {
            pendingFrames.clear();
            return;
        }
        for (byte[] frame = pendingFrames.poll(); frame != null; frame = pendingFrames.poll()) {
            write(frame);
        }
    }

    /**
     * Called with the number of frames that the peer has received on a connection. A number that can't be true ends the
     * connection.
     */
    synchronized void onAcknowledged(Channel acknowledgedChannel, long receivedFrames) {
        if (acknowledgedChannel != channel) {
            return;
        }
        if (receivedFrames < 0 || receivedFrames > sentFrames) {
            acknowledgedChannel.close();
        } else {
            unacknowledgedSinceNanos = receivedFrames == sentFrames ? NONE_UNACKNOWLEDGED : System.nanoTime();
        }
    }

    private void write(byte[] frame) {
        sentFrames++;
        if (unacknowledgedSinceNanos == NONE_UNACKNOWLEDGED) {
            unacknowledgedSinceNanos = System.nanoTime();
        }
        channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
    }

    private void closeIfUnusable(NetworkAddress to) {
        if (channel == null) {
            return;
        }
        boolean timedOut = unacknowledgedSinceNanos != NONE_UNACKNOWLEDGED
                && System.nanoTime() - unacknowledgedSinceNanos > ACKNOWLEDGEMENT_TIMEOUT_NANOS;
        if (timedOut || !channel.isActive() || !to.equals(address)) {
            channel.close();
            channel = null;
        }
    }
}
