package org.yuccagw.faults;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.yuccagw.core.id.NetworkAddress;

/** A server on loopback with a thread for each connection, which it closes when the handler returns. */
public final class RawServer implements AutoCloseable {
    private final ServerSocket server;
    private final Handler handler;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

    /** Serves one connection. */
    @FunctionalInterface
    public interface Handler {
        void serve(Socket socket) throws IOException, InterruptedException;
    }

    private RawServer(ServerSocket server, Handler handler) {
        this.server = server;
        this.handler = handler;
    }

    /** Starts a server on a free port. */
    public static RawServer start(Handler handler) throws IOException {
        ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        RawServer server = new RawServer(socket, handler);
        startThread(server::accept);
        return server;
    }

    public NetworkAddress address() {
        return NetworkAddress.of("127.0.0.1", server.getLocalPort());
    }

    /** Stops listening and closes the open connections. */
    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : openSockets) {
            socket.close();
        }
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "raw-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                startThread(() -> serve(socket));
            } catch (IOException ignored) {
                // The server socket was closed: the loop ends.
            }
        }
    }

    private void serve(Socket socket) {
        openSockets.add(socket);
        try (socket) {
            handler.serve(socket);
        } catch (IOException | InterruptedException ignored) {
            // The peer closed the connection, or the server was closed.
        } finally {
            openSockets.remove(socket);
        }
    }
}
