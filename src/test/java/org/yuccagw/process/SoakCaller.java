package org.yuccagw.process;

import java.io.BufferedReader;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.yuccagw.daemon.ScriptedEndpoint;

/** A caller that sends one request after the other to one entry, over a connection that it keeps while it can. */
final class SoakCaller implements Runnable {
    private static final int PATIENCE_MILLIS = 3_000;
    private static final int RECONNECT_MILLIS = 50;

    private final AtomicInteger numbers;
    private final SoakEntry entry;
    private final SoakConfiguration configuration;
    private final SplittableRandom random;
    private final AtomicBoolean stopping;
    private final Consumer<SoakCall> record;

    SoakCaller(
            AtomicInteger numbers,
            SoakEntry entry,
            SoakConfiguration configuration,
            SplittableRandom random,
            AtomicBoolean stopping,
            Consumer<SoakCall> record) {
        this.numbers = numbers;
        this.entry = entry;
        this.configuration = configuration;
        this.random = random;
        this.stopping = stopping;
        this.record = record;
    }

    @Override
    public void run() {
        try {
            while (!stopping.get()) {
                useConnection();
                Thread.sleep(RECONNECT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void useConnection() throws InterruptedException {
        try (Socket socket = new Socket(entry.callers().host(), entry.callers().port())) {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            boolean kept = true;
            while (kept && !stopping.get()) {
                SoakCall call = send(socket, reader, nextPath(), nextKey());
                record.accept(call);
                kept = call.complete()
                        && !"close".equalsIgnoreCase(call.headers().get("connection"));
                Thread.sleep(random.nextInt(10, 120) + call.retryAfterMillis());
            }
        } catch (IOException gone) {
            // The process is gone: the caller goes on until it is back.
        }
    }

    private String nextPath() {
        SoakRoute[] routes = SoakRoute.values();
        int choice = random.nextInt(2 * routes.length + 1);
        SoakConfiguration.Version current = configuration.current();
        boolean added = choice == 2 * routes.length && current.addedRoutes() > 0;
        return added ? current.addedPrefix() : routes[choice % routes.length].prefix();
    }

    private String nextKey() {
        int choice = random.nextInt(10);
        SoakConfiguration.Version current = configuration.current();
        if (choice == 0) {
            return current.lastRevokedKey();
        }
        return choice < 4 ? current.guestKey() : SoakConfiguration.PERMANENT_KEY;
    }

    private SoakCall send(Socket socket, BufferedReader reader, String path, String key) {
        String id = "r-" + numbers.incrementAndGet();
        String line = "POST " + path + "x HTTP/1.1";
        int deadline = random.nextInt(4_000, 9_000);
        long sentNanos = System.nanoTime();
        int status = 0;
        boolean complete = false;
        Map<String, String> headers = Map.of();
        StringBuilder body = new StringBuilder();
        try {
            socket.setSoTimeout(deadline + PATIENCE_MILLIS);
            socket.getOutputStream().write(request(line, id, key, deadline).getBytes(StandardCharsets.ISO_8859_1));
            String first = reader.readLine();
            if (first != null) {
                headers = ScriptedEndpoint.readHeaders(first, reader);
                status = Integer.parseInt(first.split(" ", -1)[1]);
                readBody(headers, reader, body);
                complete = true;
            }
        } catch (IOException cut) {
            // The call is recorded as not complete.
        }
        return new SoakCall(
                id,
                entry,
                line,
                key,
                deadline,
                sentNanos,
                System.nanoTime(),
                status,
                complete,
                headers,
                body.toString());
    }

    private static String request(String line, String id, String key, int deadline) {
        return line + "\r\nHost: a.example\r\nYuccagw-Request-Id: " + id + "\r\nAuthorization: Bearer " + key
                + "\r\nYuccagw-Deadline-Ms: " + deadline + "\r\nContent-Length: 8\r\n\r\nquestion";
    }

    private static void readBody(Map<String, String> headers, BufferedReader reader, StringBuilder body)
            throws IOException {
        if (headers.containsKey("content-length")) {
            readChars(reader, Integer.parseInt(headers.get("content-length")), body);
            return;
        }
        if (!headers.containsKey("transfer-encoding")) {
            // The body ends with its connection; one that is reset isn't complete.
            for (int character = reader.read(); character >= 0; character = reader.read()) {
                body.append((char) character);
            }
            return;
        }
        int size = readSize(reader);
        while (size > 0) {
            readChars(reader, size, body);
            reader.readLine();
            size = readSize(reader);
        }
        reader.readLine();
    }

    private static int readSize(BufferedReader reader) throws IOException {
        String line = reader.readLine();
        if (line == null) {
            throw new EOFException("no further chunk");
        }
        return Integer.parseInt(line.trim(), 16);
    }

    private static void readChars(BufferedReader reader, int count, StringBuilder body) throws IOException {
        for (int read = 0; read < count; read++) {
            int character = reader.read();
            if (character < 0) {
                throw new EOFException("the body ends early");
            }
            body.append((char) character);
        }
    }
}
