package org.yuccagw.faults;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.yuccagw.core.id.NetworkAddress;

/**
 * A TCP proxy on loopback in front of one target, which simulates network faults on command.
 *
 * <p>All connections and commands run on one event loop thread, so a command applies to every byte that is read after
 * it returned. Bytes keep their order whatever the delays.
 */
public final class FaultProxy {
    private static final String LOOPBACK = "127.0.0.1";

    private final EventLoopGroup eventLoop = new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("fault-proxy", true), NioIoHandler.newFactory());
    private final Set<ProxiedConnection> openConnections = new LinkedHashSet<>();
    private final ProxyRules rules = new ProxyRules();
    private NetworkAddress target;
    private Channel listener;
    private NetworkAddress address;

    private FaultProxy(NetworkAddress target) {
        this.target = target;
    }

    /** Listens on a free port and forwards all bytes to the target. */
    public static FaultProxy start(NetworkAddress target) {
        FaultProxy proxy = new FaultProxy(target);
        proxy.listen(0);
        return proxy;
    }

    public NetworkAddress address() {
        return address;
    }

    public void stop() {
        runOnLoop(() -> List.copyOf(openConnections).forEach(ProxiedConnection::close));
        listener.close().syncUninterruptibly();
        eventLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Sets the target of new connections; open ones keep theirs. */
    public void retarget(NetworkAddress newTarget) {
        runOnLoop(() -> target = newTarget);
    }

    /** Delays all bytes by the given time, in both directions. */
    public void delay(Duration duration) {
        runOnLoop(() -> rules.setDelayNanos(duration.toNanos()));
    }

    /** Limits the bytes per second, for each connection and direction. */
    public void throttle(double bytesPerSecond) {
        runOnLoop(() -> rules.setBytesPerSecond(bytesPerSecond));
    }

    /** Closes all open connections. */
    public void cut() {
        runOnLoop(() -> List.copyOf(openConnections).forEach(ProxiedConnection::close));
    }

    /** Resets all open connections, as if the target's VM had lost them. */
    public void reset() {
        runOnLoop(() -> List.copyOf(openConnections).forEach(ProxiedConnection::reset));
    }

    /** Silences the open connections: they stay open and forward no byte any more. New connections are not affected. */
    public void silenceOpen() {
        runOnLoop(() -> openConnections.forEach(ProxiedConnection::silence));
    }

    /**
     * Closes the connection instead of forwarding an answer, the next {@code count} times that the target begins one.
     */
    public void dropAnswers(int count) {
        runOnLoop(() -> rules.setAnswersToDrop(count));
    }

    /** Stops listening, as if the process of the target had ended; open connections stay. */
    public void refuseNew() {
        listener.close().syncUninterruptibly();
    }

    /** Listens again at the same address after {@link #refuseNew}. */
    public void acceptNew() {
        if (!listener.isOpen()) {
            listen(address.port());
        }
    }

    /** Removes delay, throttle and drops, and accepts new connections; silenced ones stay silent. */
    public void heal() {
        runOnLoop(rules::clear);
        acceptNew();
    }

    /** Returns the number of connections that are open on the side of the caller. */
    public int openConnections() {
        int[] count = new int[1];
        runOnLoop(() -> count[0] = openConnections.size());
        return count[0];
    }

    private void listen(int port) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel caller) {
                        connect(caller);
                    }
                });
        listener = bootstrap.bind(LOOPBACK, port).syncUninterruptibly().channel();
        address = NetworkAddress.of(LOOPBACK, ((InetSocketAddress) listener.localAddress()).getPort());
    }

    private void connect(Channel caller) {
        Bootstrap bootstrap = new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel targetChannel) {
                        // The handlers are added once both sides are connected.
                    }
                });
        bootstrap.connect(target.host(), target.port()).addListener((ChannelFuture targetChannel) -> {
            if (targetChannel.isSuccess()) {
                ProxiedConnection proxied = new ProxiedConnection(caller, targetChannel.channel(), rules);
                openConnections.add(proxied);
                caller.closeFuture().addListener(closed -> openConnections.remove(proxied));
                proxied.begin();
            } else {
                caller.close();
            }
        });
    }

    private void runOnLoop(Runnable command) {
        eventLoop.submit(command).syncUninterruptibly();
    }
}
