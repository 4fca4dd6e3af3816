package org.yuccagw.daemon;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.faults.RawServer;

/**
 * An endpoint on a plain socket that answers each request as the last word of its path says. It writes raw bytes, so
 * that it can send invalid answers.
 */
public final class ScriptedEndpoint implements AutoCloseable {
    /** Three times the longest gap that the routes of the tests allow, and some more. */
    private static final Duration STREAM_PAUSE = Duration.ofMillis(1_200);

    /** Longer than the time after which a repeatable request without an answer is retried. */
    private static final Duration ANSWER_DELAY = Duration.ofMillis(900);

    private static final String NOT_RUN = "HTTP/1.1 503 Unavailable\r\nYuccagw-Not-Executed: 1\r\n";

    private final RawServer server = RawServer.start(this::serve);
    private final List<Map<String, String>> requests = new CopyOnWriteArrayList<>();
    private final CountDownLatch callerDisconnected = new CountDownLatch(1);

    public ScriptedEndpoint() throws IOException {}

    public NetworkAddress address() {
        return server.address();
    }

    /**
     * Returns the headers of the requests that arrived, with names in lower case, {@code :line} for the request line
     * and {@code :body} for the body.
     */
    List<Map<String, String>> requests() {
        return requests;
    }

    /** Returns whether the entry closed the connection of a hanging request within the given time. */
    boolean awaitCallerDisconnect(long millis) throws InterruptedException {
        return callerDisconnected.await(millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            Map<String, String> request = readRequest(line, reader);
            requests.add(request);
            if (!answer(request, reader, socket.getOutputStream())) {
                socket.setSoLinger(request.get(":line").contains("-reset"), 0);
                return;
            }
        }
    }

    /** Reads the rest of a message after its first line: the headers as {@code requests} returns them. */
    public static Map<String, String> readHeaders(String first, BufferedReader reader) throws IOException {
        Map<String, String> head = new ConcurrentHashMap<>();
        head.put(":line", first);
        for (String line = reader.readLine(); line != null && !line.isEmpty(); line = reader.readLine()) {
            int colon = line.indexOf(':');
            head.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return head;
    }

    /** Reads the rest of a request after its first line: the headers, and the body if its length is given. */
    public static Map<String, String> readRequest(String first, BufferedReader reader) throws IOException {
        Map<String, String> head = readHeaders(first, reader);
        char[] body = new char[Integer.parseInt(head.getOrDefault("content-length", "0"))];
        int read = 0;
        while (read < body.length) {
            read += reader.read(body, read, body.length - read);
        }
        head.put(":body", new String(body));
        return head;
    }

    /** Answers as the last word of the path says; returns false if the connection is to be closed. */
    private boolean answer(Map<String, String> request, BufferedReader reader, OutputStream out)
            throws IOException, InterruptedException {
        String path = request.get(":line").replaceAll("^\\S+ (\\S+) .*$", "$1");
        String id = request.getOrDefault("yuccagw-request-id", "");
        switch (path.substring(path.lastIndexOf('/') + 1)) {
            case "hang" -> {
                awaitDisconnect(reader);
                callerDisconnected.countDown();
                return false;
            }
            case "limited" -> write(out, head(id) + "Server-Limit: 1.0\r\nContent-Length: 4\r\n\r\nbody");
            case "leaving" -> write(out, head(id) + "Server-Leaving: 1\r\nContent-Length: 4\r\n\r\nbody");
            case "busy" -> write(out, NOT_RUN + "Retry-After: 30\r\nContent-Length: 0\r\n\r\n");
            case "foreign" -> write(out, head("somebody-else") + "Content-Length: 6\r\n\r\nforged");
            case "reset" -> {
                return false;
            }
            case "unframed" -> {
                write(out, head(id) + "Connection: close\r\n\r\nuntil the end");
                return false;
            }
            case "bare", "bare-reset" -> {
                write(out, head(id) + "\r\nwithout any length");
                return false;
            }
            case "torn" -> {
                write(out, head(id) + "Content-Length: 100\r\n\r\nhalf");
                return false;
            }
            case "torn-stream" -> {
                write(out, head(id) + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
                return false;
            }
            case "twice" -> {
                String whole = head(id) + "Content-Length: 5\r\n\r\nfirst";
                write(out, whole + whole.replace("first", "extra"));
            }
            case "pausing-stream" -> writeStream(out, id, STREAM_PAUSE);
            case "late" -> {
                Thread.sleep(ANSWER_DELAY.toMillis());
                write(out, head(id) + "Content-Length: 4\r\n\r\nlate");
            }
            case "stream" -> writeStream(out, id, Duration.ZERO);
            default -> write(out, head(id) + "Content-Length: 4\r\nX-Own: kept\r\n\r\nbody");
        }
        return true;
    }

    /** Writes a stream of three events with a pause after the first one. */
    private static void writeStream(OutputStream out, String id, Duration pause)
            throws IOException, InterruptedException {
        write(out, head(id) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; event <= 3; event++) {
            String text = "id: " + event + "\ndata: word" + event + "\n\n";
            write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            if (event == 1) {
                Thread.sleep(pause.toMillis());
            }
        }
        write(out, "0\r\n\r\n");
    }

    /** Returns once the peer has closed the connection, by an end of stream or by a reset. */
    private static void awaitDisconnect(BufferedReader reader) {
        try {
            while (reader.read() >= 0) {
                Thread.onSpinWait();
            }
        } catch (IOException ignored) {
            // A reset ends the connection too.
        }
    }

    private static String head(String id) {
        return "HTTP/1.1 200 OK\r\nYuccagw-Request-Id: " + id + "\r\nYuccagw-Response-Seal: seal-1\r\n";
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
