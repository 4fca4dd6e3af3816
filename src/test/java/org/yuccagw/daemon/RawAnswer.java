package org.yuccagw.daemon;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * An answer as a caller reads it from its socket.
 *
 * @param status 0 if the connection ended before the head did
 * @param complete whether the framing shows the answer as complete
 */
record RawAnswer(int status, Map<String, String> headers, String body, boolean complete) {
    /** Reads one answer, and everything up to the end of the connection if nothing else shows the answer's end. */
    static RawAnswer read(InputStream in) {
        Map<String, String> headers = new HashMap<>();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int status = 0;
        boolean complete = false;
        try {
            status = readHead(in, headers);
            complete = status != 0 && (isWithoutBody(status) || readBody(in, headers, body));
        } catch (IOException ignored) {
            // A reset connection: what has arrived is not complete.
        }
        return new RawAnswer(status, headers, body.toString(StandardCharsets.ISO_8859_1), complete);
    }

    private static int readHead(InputStream in, Map<String, String> headers) throws IOException {
        String line = readLine(in);
        if (line.isEmpty()) {
            return 0;
        }
        int status = Integer.parseInt(line.split(" ", 3)[1]);
        for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
            String[] parts = header.split(": ?", 2);
            headers.put(parts[0].toLowerCase(Locale.ROOT), parts.length == 2 ? parts[1] : "");
        }
        return status;
    }

    private static boolean isWithoutBody(int status) {
        return status == 204 || status == 304;
    }

    private static boolean readBody(InputStream in, Map<String, String> headers, ByteArrayOutputStream body)
            throws IOException {
        if (headers.containsKey("content-length")) {
            return readBytes(in, Integer.parseInt(headers.get("content-length")), body);
        }
        if (headers.containsKey("transfer-encoding")) {
            return readChunks(in, body);
        }
        in.transferTo(body);
        return true;
    }

    private static boolean readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        for (String size = readLine(in); !size.isEmpty(); size = readLine(in)) {
            int length = Integer.parseInt(size, 16);
            if (length == 0) {
                return true;
            }
            if (!readBytes(in, length, body)) {
                return false;
            }
            readLine(in);
        }
        return false;
    }

    private static boolean readBytes(InputStream in, int length, ByteArrayOutputStream body) throws IOException {
        byte[] bytes = in.readNBytes(length);
        body.writeBytes(bytes);
        return bytes.length == length;
    }

    /** Returns the next line without its end; empty at the end of the connection. */
    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
