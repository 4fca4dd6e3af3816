package org.yuccagw.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.standins.platform.SmallDeployment;

/** The paths of one entry to endpoints, which can be blocked one by one. Blocks new connections only. */
final class CutOffEntry implements UnaryOperator<NetworkAddress>, AutoCloseable {
    private final NetworkAddress refusing;
    private final ServerSocket full;
    private final List<Socket> queued = new ArrayList<>();
    private final Set<NetworkAddress> cut = ConcurrentHashMap.newKeySet();
    private volatile Block block = Block.REFUSED;

    /** What happens to a new connection on a blocked path. */
    enum Block {
        REFUSED,
        /** Nothing answers, as behind a partition. */
        SILENT
    }

    CutOffEntry() throws IOException {
        refusing = NetworkAddress.of("127.0.0.1", SmallDeployment.freePorts(1).get(0));
        full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        fillQueue();
    }

    /** Fills the queue of connections that nobody accepts, so that the kernel drops any further one. */
    private void fillQueue() throws IOException {
        for (int connection = 0; connection < 2; connection++) {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), full.getLocalPort()), 1_000);
            queued.add(socket);
        }
    }

    void cut(Block newBlock, NetworkAddress... endpoints) {
        block = newBlock;
        cut.addAll(List.of(endpoints));
    }

    void restore() {
        cut.clear();
    }

    @Override
    public NetworkAddress apply(NetworkAddress endpoint) {
        if (!cut.contains(endpoint)) {
            return endpoint;
        }
        return block == Block.REFUSED ? refusing : NetworkAddress.of("127.0.0.1", full.getLocalPort());
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : queued) {
            socket.close();
        }
        full.close();
    }
}
