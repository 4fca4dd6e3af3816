import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A replica that follows the users' pages: one thread a channel; a handler answers each request that it runs. */
final class Replica implements AutoCloseable {
    interface Handler {
        void run(Http.Request request, Socket socket) throws Exception;
    }

    final String id;
    final int port;
    private final Rig rig;
    private final ServerSocket server;
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    volatile boolean closed;

    Replica(Rig rig, String id, Handler handler) throws IOException {
        this(rig, id, 0, handler);
    }

    Replica(Rig rig, String id, int onPort, Handler handler) throws IOException {
        this.rig = rig;
        this.id = id;
        this.handler = handler;
        server = new ServerSocket(onPort == 0 ? rig.freePort() : onPort, 512, InetAddress.getByName(Rig.HOST));
        port = server.getLocalPort();
        rig.closeables.add(this);
        daemon("accept " + id, this::accept);
    }

    static void daemon(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                daemon("channel " + id, () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Request request = Http.readRequest(in); request != null; request = Http.readRequest(in)) {
                String expected = request.header("Yuccagw-Expect-Instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    rig.note(id + " 421 for " + expected + " " + request.line);
                    answer(socket, 421, "Yuccagw-Instance-Id: " + id + "\r\nYuccagw-Not-Executed: 1\r\n" + echo(request), "");
                } else {
                    handler.run(request, socket);
                }
                if (socket.isClosed()) {
                    return;
                }
            }
        } catch (Exception e) {
            // The channel has ended.
        } finally {
            open.remove(socket);
        }
    }

    static String echo(Http.Request request) {
        return "Yuccagw-Request-Id: " + request.header("Yuccagw-Request-Id") + "\r\n";
    }

    static void answer(Socket socket, int status, String headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
        Http.write(socket, "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n", bytes);
    }

    /** Closes all channels with a reset, and the address, like a crash. */
    void crash() {
        closed = true;
        try {
            server.close();
            for (Socket socket : open) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        } catch (IOException e) {
            // It has ended.
        }
    }

    @Override
    public void close() {
        crash();
    }
}
