package org.yuccagw.daemon;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.faults.RawServer;

/**
 * An endpoint whose events name the version of its software. A stream that starts with its first event stops after
 * {@link #EVENTS_BEFORE_STOP} events, in the way that the header {@code stop} names.
 */
public final class VersionedEndpoint implements AutoCloseable {
    public static final int EVENTS = 6;
    public static final int EVENTS_BEFORE_STOP = 2;

    /** The endpoint breaks the connection. */
    public static final String BREAK = "break";
    /** The endpoint sends nothing more until the connection is closed. */
    public static final String PAUSE = "pause";

    private final String software;
    private final RawServer server = RawServer.start(this::serve);
    private final List<String> receivedIds = new CopyOnWriteArrayList<>();

    public VersionedEndpoint(String software) throws IOException {
        this.software = software;
    }

    public String software() {
        return software;
    }

    public NetworkAddress address() {
        return server.address();
    }

    /** Returns the ids of the requests that arrived. */
    List<String> receivedIds() {
        return receivedIds;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void serve(Socket socket) throws IOException {
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            Map<String, String> request = ScriptedEndpoint.readRequest(line, reader);
            receivedIds.add(request.get("yuccagw-request-id"));
            if (!answer(request, reader, socket.getOutputStream())) {
                return;
            }
        }
    }

    /** Returns whether the connection stays open. */
    private boolean answer(Map<String, String> request, BufferedReader reader, OutputStream out) throws IOException {
        write(out, head(request.get("yuccagw-request-id")));
        int after = Integer.parseInt(request.getOrDefault("last-event-id", "0"));
        String stop = after == 0 ? request.getOrDefault("stop", "") : "";
        int last = stop.isEmpty() ? EVENTS : EVENTS_BEFORE_STOP;
        for (int event = after + 1; event <= last; event++) {
            String text = "id: " + event + "\ndata: " + software + "\n\n";
            write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        if (stop.equals(PAUSE)) {
            while (reader.read() >= 0) {
                Thread.onSpinWait();
            }
        }
        if (stop.isEmpty()) {
            write(out, "0\r\n\r\n");
        }
        return stop.isEmpty();
    }

    private static String head(String id) {
        return "HTTP/1.1 200 OK\r\nYuccagw-Request-Id: " + id + "\r\nYuccagw-Response-Seal: seal-1\r\n"
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
