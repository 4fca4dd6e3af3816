package org.yuccagw.adapters.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.faults.RawServer;

/** A server that sends the same bytes on every connection, once the head of a request was read, and closes it. */
public final class FixedAnswerServer implements AutoCloseable {
    private final RawServer server;

    private FixedAnswerServer(RawServer server) {
        this.server = server;
    }

    /** Starts a server that sends the text, in which newlines stand for the ends of header lines. */
    public static FixedAnswerServer start(String answer) throws IOException {
        byte[] bytes = answer.replace("\n", "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        return new FixedAnswerServer(RawServer.start(socket -> {
            readHead(socket);
            socket.getOutputStream().write(bytes);
        }));
    }

    public NetworkAddress address() {
        return server.address();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private static void readHead(Socket socket) throws IOException {
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        String line = reader.readLine();
        while (line != null && !line.isEmpty()) {
            line = reader.readLine();
        }
    }
}
