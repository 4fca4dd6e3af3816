package org.yuccagw.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.daemon.ScriptedEndpoint;
import org.yuccagw.faults.FaultProxy;

/** An endpoint of a soak behind a fault proxy. It falls silent, dies and returns on command, and records its runs. */
final class SoakEndpoint {
    private static final AtomicInteger NEXT_SEAL = new AtomicInteger();

    private final String name;
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final FaultProxy proxy = FaultProxy.start(NetworkAddress.of("127.0.0.1", server.getLocalPort()));
    private final List<SoakRun> runs = new CopyOnWriteArrayList<>();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final AtomicInteger starts = new AtomicInteger(1);
    private volatile long silentUntilNanos = System.nanoTime();

    private SoakEndpoint(String name) throws IOException {
        this.name = name;
    }

    static SoakEndpoint start(String name) throws IOException {
        SoakEndpoint endpoint = new SoakEndpoint(name);
        startThread(endpoint::accept);
        return endpoint;
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "soak-endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the id of the present start. */
    String id() {
        return name + "-start-" + starts;
    }

    NetworkAddress address() {
        return proxy.address();
    }

    List<SoakRun> runs() {
        return runs;
    }

    /** Holds back all that it would send for the given time, but works on. */
    void fallSilent(Duration duration) {
        silentUntilNanos = System.nanoTime() + duration.toNanos();
    }

    /** Silences the open connections for good. */
    void loseOpenConnections() {
        runs.forEach(SoakRun::loseConnection);
        proxy.silenceOpen();
    }

    void die() throws IOException {
        runs.forEach(SoakRun::die);
        proxy.refuseNew();
        proxy.cut();
        for (Socket socket : open) {
            socket.close();
        }
    }

    /** Starts again after its death, under a new id at the same address. */
    void startAgain() {
        starts.incrementAndGet();
        proxy.acceptNew();
    }

    void stop() throws IOException {
        die();
        server.close();
        proxy.stop();
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
        open.add(socket);
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                answer(ScriptedEndpoint.readRequest(line, reader), socket, reader);
            }
        } catch (IOException ignored) {
            // The peer closed the connection, or the endpoint died.
        } finally {
            open.remove(socket);
        }
    }

    private void answer(Map<String, String> request, Socket socket, BufferedReader reader) throws IOException {
        String id = id();
        if (!id.equals(request.get("yuccagw-expect-instance"))) {
            write(socket, "HTTP/1.1 421 Misdirected\r\nYuccagw-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        SoakRun run = SoakRun.begin(request, id, "seal-" + NEXT_SEAL.incrementAndGet());
        runs.add(run);
        try {
            SoakAnswer answer = SoakAnswer.to(run.request(), request.get(":line"));
            pause(answer.headMillis(), socket, reader);
            write(socket, run.head());
            int after = Integer.parseInt(request.getOrDefault("last-event-id", "0"));
            for (String piece : answer.pieces().subList(after, answer.pieces().size())) {
                pause(answer.gapMillis(), socket, reader);
                write(socket, Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n");
            }
            write(socket, "0\r\n\r\n");
            run.end(SoakRun.End.ANSWERED);
        } catch (IOException e) {
            run.end(SoakRun.End.LEFT);
            throw e;
        }
    }

    /** Waits for the given time, and while the endpoint is silent; fails at once if the peer closes the connection. */
    private void pause(long millis, Socket socket, BufferedReader reader) throws IOException {
        long due = System.nanoTime() + Duration.ofMillis(millis).toNanos();
        while (Math.max(due, silentUntilNanos) - System.nanoTime() > 0) {
            Duration left = Duration.ofNanos(Math.max(due, silentUntilNanos) - System.nanoTime());
            socket.setSoTimeout((int) Math.max(1, left.toMillis()));
            try {
                throw new IOException(reader.read() < 0 ? "the peer closed the connection" : "bytes within a run");
            } catch (SocketTimeoutException paused) {
                // The peer is still there.
            }
        }
        socket.setSoTimeout(0);
    }

    private static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
