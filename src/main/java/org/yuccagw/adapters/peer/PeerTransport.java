package org.yuccagw.adapters.peer;

import com.google.common.base.Suppliers;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.ssl.SslHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import javax.net.ssl.SSLEngine;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.yuccagw.adapters.control.PeerPort;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.port.PeerMessage;

/**
 * Sends and receives messages between entries over TCP. A frame is a length of four bytes, then one envelope. Each pair
 * of entries has one connection in each direction; the receiver acknowledges frames by their total count.
 *
 * <p>Invariant: a message is delivered completely and at most once, or it is lost. Sending never blocks: messages are
 * dropped while the queue of a connection that is being opened, or the write buffer of an open one, is full. The
 * protocols above, such as gossip, tolerate lost messages anyway.
 *
 * <p>The acknowledgements guard against a connection whose state was lost by a device between the two ends. Such a
 * connection reports no error: writes succeed, but no data arrives. If a frame stays unacknowledged for {@link
 * PeerLink#ACKNOWLEDGEMENT_TIMEOUT_NANOS}, the next send closes the connection and opens a new one.
 */
public final class PeerTransport implements PeerPort {
    /** Resolved on first use, because loading the logging library would delay every start. */
    private static final Supplier<Logger> log = Suppliers.memoize(() -> LogManager.getLogger(PeerTransport.class));

    private static final long ACKNOWLEDGEMENT_DELAY_MILLIS = 900;
    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final EntryIdentity self;
    private final PeerCodec codec;
    private final Function<EntryId, Optional<NetworkAddress>> addresses;
    private final Consumer<PeerReceived> receiver;
    private final PeerSecurity security;
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("peer", true), NioIoHandler.newFactory());
    private final Map<EntryId, PeerLink> links = new ConcurrentHashMap<>();
    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();
    private final LongAdder droppedMessages = new LongAdder();
    private volatile EncodedMessage lastEncoded;
    private Channel serverChannel;

    private PeerTransport(
            EntryIdentity self,
            PeerCodec codec,
            Function<EntryId, Optional<NetworkAddress>> addresses,
            Consumer<PeerReceived> receiver,
            PeerSecurity security) {
        this.self = self;
        this.codec = codec;
        this.addresses = addresses;
        this.receiver = receiver;
        this.security = security;
    }

    /** The sources of TLS engines for incoming and outgoing connections; both are absent for plain text. */
    public record PeerSecurity(Optional<Supplier<SSLEngine>> server, Optional<Supplier<SSLEngine>> client) {
        public static PeerSecurity none() {
            return new PeerSecurity(Optional.empty(), Optional.empty());
        }
    }

    /**
     * Creates the transport of one entry.
     *
     * @param addresses returns the peer address of an entry, if it is known
     * @param receiver called with each message, on the transport's thread
     */
    public static PeerTransport of(
            EntryIdentity self,
            PeerCodec codec,
            Function<EntryId, Optional<NetworkAddress>> addresses,
            Consumer<PeerReceived> receiver,
            PeerSecurity security) {
        return new PeerTransport(self, codec, addresses, receiver, security);
    }

    /**
     * Listens on the peer address of this entry.
     *
     * @throws IOException when the address can't be bound
     */
    public void start() throws IOException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer(security.server(), FrameReceiver::new));
        InetSocketAddress address = new InetSocketAddress(
                self.peerAddress().host(), self.peerAddress().port());
        try {
            serverChannel = bootstrap.bind(address).syncUninterruptibly().channel();
        } catch (RuntimeException e) {
            throw new IOException("can't listen on the peer address " + self.peerAddress(), e);
        }
    }

    public void stop() {
        if (serverChannel != null) {
            serverChannel.close().awaitUninterruptibly();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @Override
    public void send(EntryId to, PeerMessage message) {
        Optional<NetworkAddress> address = addresses.apply(to);
        if (address.isEmpty()) {
            droppedMessages.increment();
            return;
        }
        byte[] bytes = encode(message);
        if (linkTo(to).send(address.get(), bytes)) {
            sentBytes.add(bytes.length + LENGTH_FIELD_BYTES);
        } else {
            droppedMessages.increment();
        }
    }

    /**
     * Encodes a message, or returns the bytes of the last one if it is the same object: a message to all entries, such
     * as a heartbeat that goes to three to seventy of them, is encoded once.
     */
    private byte[] encode(PeerMessage message) {
        EncodedMessage last = lastEncoded;
        if (last == null || last.message() != message) {
            last = new EncodedMessage(message, codec.encode(self, message));
            lastEncoded = last;
        }
        return last.bytes();
    }

    /** A message, which is compared by identity, and its encoded bytes. */
    private record EncodedMessage(PeerMessage message, byte[] bytes) {}

    /** Returns the bytes of frames sent since the start. */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /** Returns the bytes of frames received since the start. */
    public long receivedBytes() {
        return receivedBytes.sum();
    }

    /** Returns the number of messages dropped since the start because no address was known or a queue was full. */
    public long droppedMessages() {
        return droppedMessages.sum();
    }

    private void connect(PeerLink link, NetworkAddress address) {
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(initializer(security.client(), () -> new AcknowledgementReceiver(link)))
                .connect(address.host(), address.port())
                .addListener(future -> link.onConnected(
                        address, future.isSuccess() ? ((io.netty.channel.ChannelFuture) future).channel() : null));
    }

    private ChannelInitializer<SocketChannel> initializer(
            Optional<Supplier<SSLEngine>> engine, Supplier<SimpleChannelInboundHandler<ByteBuf>> handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                engine.ifPresent(supplier -> channel.pipeline().addLast(new SslHandler(supplier.get())));
                channel.pipeline()
                        .addLast(new LengthFieldBasedFrameDecoder(
                                MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
                        .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
                        .addLast(handler.get());
            }
        };
    }

    /** Passes a message on; a sender that has restarted is sent the next frame over a new connection. */
    private void receive(PeerCodec.Decoded message) {
        PeerLink link = linkTo(message.received().from());
        link.recordIncarnation(message.incarnation());
        receiver.accept(message.received());
    }

    private PeerLink linkTo(EntryId entry) {
        return links.computeIfAbsent(entry, to -> new PeerLink(this::connect));
    }

    /**
     * Receives the frames of another entry and acknowledges them with their total count.
     *
     * <p>Acknowledging each frame by itself would double the number of frames. The sender replaces a connection after
     * {@link PeerLink#ACKNOWLEDGEMENT_TIMEOUT_NANOS} without acknowledgement, so one acknowledgement for all frames
     * received in less than half of that time is sufficient.
     */
    private final class FrameReceiver extends SimpleChannelInboundHandler<ByteBuf> {
        private long receivedFrames;
        private boolean acknowledgementScheduled;

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            receivedFrames++;
            byte[] bytes = new byte[frame.readableBytes()];
            frame.readBytes(bytes);
            receivedBytes.add(bytes.length + LENGTH_FIELD_BYTES);
            try {
                receive(codec.decode(bytes));
            } catch (YuccagwException e) {
                log.get().warn("dropped a message from a peer: {}", e.getMessage());
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (!acknowledgementScheduled) {
                acknowledgementScheduled = true;
                context.executor()
                        .schedule(() -> acknowledge(context), ACKNOWLEDGEMENT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        private void acknowledge(ChannelHandlerContext context) {
            acknowledgementScheduled = false;
            if (context.channel().isActive()) {
                context.writeAndFlush(context.alloc().buffer(Long.BYTES).writeLong(receivedFrames));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            log.get()
                    .debug(
                            "closing the peer connection from {} after an error",
                            context.channel().remoteAddress(),
                            cause);
            context.close();
        }
    }

    /** Receives the acknowledgements on a connection that this entry opened. */
    private static final class AcknowledgementReceiver extends SimpleChannelInboundHandler<ByteBuf> {
        private final PeerLink link;

        private AcknowledgementReceiver(PeerLink link) {
            this.link = link;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            if (frame.readableBytes() == Long.BYTES) {
                link.onAcknowledged(context.channel(), frame.readLong());
            } else {
                context.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
