import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 reader and writer for clients and servers of cases. */
final class Http {
    private Http() {}

    /** An answer as the client saw it. */
    static final class Answer {
        int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /** A request as a server saw it. */
    static final class Request {
        String line;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String path() {
            return line.split(" ")[1];
        }

        String method() {
            return line.split(" ")[0];
        }
    }

    static Socket connect(int port, int timeoutMillis) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(Rig.HOST, port), Math.min(timeoutMillis, 1000));
        socket.setSoTimeout(timeoutMillis);
        return socket;
    }

    static Answer send(int port, String head, byte[] body, int timeoutMillis) throws IOException {
        try (Socket socket = connect(port, timeoutMillis)) {
            write(socket, head, body);
            return readAnswer(new BufferedInputStream(socket.getInputStream()));
        }
    }

    static void write(Socket socket, String head, byte[] body) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the channel ended");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
    }

    static byte[] readBody(InputStream in, Map<String, String> headers, boolean untilEnd) throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
                byte[] chunk = in.readNBytes(size);
                if (chunk.length < size) {
                    throw new EOFException("the channel ended within a chunk");
                }
                body.write(chunk);
                readLine(in);
                if (size == 0) {
                    return body.toByteArray();
                }
            }
        }
        if (headers.containsKey("content-length")) {
            int size = Integer.parseInt(headers.get("content-length"));
            byte[] body = in.readNBytes(size);
            if (body.length < size) {
                throw new EOFException("the channel ended within a body");
            }
            return body;
        }
        return untilEnd ? in.readAllBytes() : new byte[0];
    }

    static Answer readAnswer(InputStream in) throws IOException {
        Answer answer = new Answer();
        String line = readLine(in);
        answer.status = Integer.parseInt(line.split(" ")[1]);
        readHeaders(in, answer.headers);
        answer.body = answer.status == 204 ? new byte[0] : readBody(in, answer.headers, true);
        return answer;
    }

    /** Reads a request; returns null at the end of the channel. */
    static Request readRequest(InputStream in) throws IOException {
        in.mark(1);
        if (in.read() < 0) {
            return null;
        }
        in.reset();
        Request request = new Request();
        request.line = readLine(in);
        readHeaders(in, request.headers);
        request.body = readBody(in, request.headers, false);
        return request;
    }
}
