package org.yuccagw.daemon;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.yuccagw.core.id.NetworkAddress;

/** One try of a caller to read a stream, over a connection of its own. */
public final class StreamCall implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 8_000;
    private static final String DATA = "data: ";

    private final String id;
    private final Socket socket;
    private final BufferedReader reader;
    private final List<String> versions = new ArrayList<>();
    private final int status;
    private boolean complete;

    private StreamCall(String id, String path, Socket socket, String headers) throws IOException {
        this.id = id;
        this.socket = socket;
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        String request = "POST /stream/" + path + " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-1\r\n"
                + "Yuccagw-Request-Id: " + id
                + "\r\nYuccagw-Deadline-Ms: 6000\r\nContent-Length: 1\r\nConnection: close\r\n" + headers
                + "\r\nx";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        reader = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        status = Integer.parseInt(
                Optional.ofNullable(reader.readLine()).orElse("none 0").split(" ", 3)[1]);
    }

    /** Sends the request for a whole stream, which stops as the endpoint is told; empty for one that doesn't. */
    public static StreamCall begin(NetworkAddress entry, String id, String stop) throws IOException {
        String headers = stop.isEmpty() ? "" : "stop: " + stop + "\r\n";
        return new StreamCall(id, id, new Socket(entry.host(), entry.port()), headers);
    }

    /** Takes up a stream after the events that an earlier try has received. */
    public static StreamCall resume(NetworkAddress entry, String id, String began, int afterEvent) throws IOException {
        String headers = "Resumes: " + began + "\r\nLast-Event-Id: " + afterEvent + "\r\n";
        return new StreamCall(id, began, new Socket(entry.host(), entry.port()), headers);
    }

    public String id() {
        return id;
    }

    public int status() {
        return status;
    }

    /** Returns the software versions that the events named, in their order. */
    public List<String> versions() {
        return versions;
    }

    /** Returns whether the answer was ended as complete. */
    public boolean isComplete() {
        return complete;
    }

    /** Reads until the given number of events has arrived or the answer has ended. */
    public StreamCall read(int events) {
        try {
            for (String line = ""; versions.size() < events && line != null && !complete; line = reader.readLine()) {
                if (line.startsWith(DATA)) {
                    versions.add(line.substring(DATA.length()));
                }
                complete |= line.equals("0");
            }
        } catch (IOException ignored) {
            // The connection was broken: what has arrived is not complete.
        }
        return this;
    }

    public StreamCall readAll() {
        return read(Integer.MAX_VALUE);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
