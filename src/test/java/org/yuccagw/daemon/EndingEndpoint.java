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
 * An endpoint that ends each answer as the headers of the request say: {@code body} with newlines as {@code |},
 * {@code framing}, {@code cut}, the number of bytes of the body after which it ends, and {@code way}.
 */
final class EndingEndpoint implements AutoCloseable {
    /** How the end of an answer is shown. */
    enum Framing {
        LENGTH,
        CHUNKS,
        /** One chunk too, with the last chunk after it even if the body is cut. */
        FALSE_LAST_CHUNK,
        CLOSE_HEADER,
        NO_HEADER
    }

    /** How the connection ends. */
    enum Way {
        CLOSE,
        RESET
    }

    private final RawServer server = RawServer.start(this::serve);
    private final List<String> receivedIds = new CopyOnWriteArrayList<>();

    EndingEndpoint() throws IOException {}

    NetworkAddress address() {
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
            if (answer(request, socket)) {
                return;
            }
        }
    }

    /** Answers a request and returns whether the connection is to be closed. */
    private static boolean answer(Map<String, String> request, Socket socket) throws IOException {
        String body = request.get("body").replace('|', '\n');
        int cut = Integer.parseInt(request.getOrDefault("cut", Integer.toString(body.length())));
        Framing framing = Framing.valueOf(request.get("framing"));
        OutputStream out = socket.getOutputStream();
        write(out, head(request.get("yuccagw-request-id")) + framingHeader(framing, body) + "\r\n");
        write(out, framed(framing, body, cut));
        if (Way.valueOf(request.getOrDefault("way", "CLOSE")) == Way.RESET) {
            socket.setSoLinger(true, 0);
        }
        boolean isWhole = cut == body.length();
        return !isWhole || framing == Framing.CLOSE_HEADER || framing == Framing.NO_HEADER;
    }

    private static String head(String id) {
        return "HTTP/1.1 200 OK\r\nYuccagw-Request-Id: " + id + "\r\nYuccagw-Response-Seal: seal-1\r\n";
    }

    private static String framingHeader(Framing framing, String body) {
        return switch (framing) {
            case LENGTH -> "Content-Length: " + body.length() + "\r\n";
            case CHUNKS, FALSE_LAST_CHUNK -> "Transfer-Encoding: chunked\r\n";
            case CLOSE_HEADER -> "Connection: close\r\n";
            case NO_HEADER -> "";
        };
    }

    private static String framed(Framing framing, String body, int cut) {
        String sent = body.substring(0, cut);
        if (framing != Framing.CHUNKS && framing != Framing.FALSE_LAST_CHUNK) {
            return sent;
        }
        String chunk = sent.isEmpty() ? "" : Integer.toHexString(cut) + "\r\n" + sent + "\r\n";
        boolean hasLastChunk = framing == Framing.FALSE_LAST_CHUNK || cut == body.length();
        return chunk + (hasLastChunk ? "0\r\n\r\n" : "");
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
