package org.yuccagw.adapters.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.yuccagw.core.id.NetworkAddress;

/** A server that sends the same bytes on every connection, once the head of a request was read, and closes it. */
public final class FixedAnswerServer implements AutoCloseable {
    private final ServerSocket server;
    private final byte[] answer;

    private FixedAnswerServer(byte[] answer) throws IOException {
        this.answer = answer;
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    /** Starts a server that sends the text, in which newlines stand for the ends of header lines. */
    public static FixedAnswerServer start(String answer) throws IOException {
        String text = answer.replace("\n", "\r\n");
        FixedAnswerServer started = new FixedAnswerServer(text.getBytes(StandardCharsets.ISO_8859_1));
        Thread serving = new Thread(started::serve, "fixed-answer-server");
        serving.setDaemon(true);
        serving.start();
        return started;
    }

    public NetworkAddress address() {
        return NetworkAddress.of("127.0.0.1", server.getLocalPort());
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void serve() {
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                readHead(socket);
                socket.getOutputStream().write(answer);
            } catch (IOException ignored) {
                // The server or the client has closed its socket.
            }
        }
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
