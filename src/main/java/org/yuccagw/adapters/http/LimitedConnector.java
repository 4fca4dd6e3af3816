package org.yuccagw.adapters.http;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.channels.BoundChannel;

/**
 * Opens connections on an I/O thread and puts an {@link OverheadLimit} around each.
 *
 * <p>Undertow's client takes an I/O thread to open a connection with and gives no access to the connection later. An
 * instance therefore stands in for the thread; it never runs as a thread itself, and delegates all work.
 */
final class LimitedConnector extends XnioIoThread {
    private final XnioIoThread thread;
    private OverheadLimit latestLimit;

    private LimitedConnector(XnioIoThread thread) {
        super(thread.getWorker(), thread.getNumber());
        this.thread = thread;
    }

    static LimitedConnector of(XnioIoThread thread) {
        return new LimitedConnector(thread);
    }

    /**
     * Returns the limit of the connection that was opened last. While the listener of a new connection runs, this is
     * the limit of that connection.
     */
    OverheadLimit latestLimit() {
        return latestLimit;
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination, ChannelListener<? super StreamConnection> openListener, OptionMap options) {
        return thread.openStreamConnection(destination, limited(openListener), options);
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination,
            ChannelListener<? super StreamConnection> openListener,
            ChannelListener<? super BoundChannel> bindListener,
            OptionMap options) {
        return thread.openStreamConnection(destination, limited(openListener), bindListener, options);
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress bindAddress,
            SocketAddress destination,
            ChannelListener<? super StreamConnection> openListener,
            ChannelListener<? super BoundChannel> bindListener,
            OptionMap options) {
        return thread.openStreamConnection(bindAddress, destination, limited(openListener), bindListener, options);
    }

    private ChannelListener<StreamConnection> limited(ChannelListener<? super StreamConnection> openListener) {
        return connection -> {
            latestLimit = OverheadLimit.around(connection.getSourceChannel().getConduit());
            connection.getSourceChannel().setConduit(latestLimit);
            openListener.handleEvent(connection);
        };
    }

    @Override
    public void execute(Runnable command) {
        thread.execute(command);
    }

    @Override
    public Key executeAfter(Runnable command, long time, TimeUnit unit) {
        return thread.executeAfter(command, time, unit);
    }

    @Override
    public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
        return thread.executeAtInterval(command, time, unit);
    }
}
