package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.Reporter;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.core.id.NetworkAddress;

/** Guards against the part of an answer that looks whole because its endpoint closed an upload that it hadn't read. */
public class UnreadUploadTest {
    private static final long SEED = 20261206;
    private static final int ROUNDS = 12;
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final int MAX_DELAY_MILLIS = 60;
    private static final int[] UPLOAD_BYTES = {20_000, 300_000, 1_000_000};
    private static final String PART = "id: 1\ndata: a\n\n";

    private CuttableFleet fleet;
    private int sentRequests;

    @BeforeClass
    public void startAll() throws Exception {
        fleet = CuttableFleet.startWith(UnreadUploadTest::serve);
    }

    @AfterClass(alwaysRun = true)
    public void stopAll() throws Exception {
        fleet.close();
    }

    @DataProvider
    public static Object[][] ways() {
        List<Object[]> ways = new ArrayList<>();
        for (String route : List.of("/once/", "/again/", "/stream/")) {
            for (String protocol : List.of("HTTP/1.1", "HTTP/1.0")) {
                for (String end : List.of("close", "reset")) {
                    ways.add(new Object[] {route, protocol, end});
                }
            }
        }
        return ways.toArray(new Object[0][]);
    }

    @Test(dataProvider = "ways")
    public void anAnswerWithoutALengthIsNotWholeWhileTheUploadIsUnread(String route, String protocol, String end)
            throws Exception {
        Random random = new Random(SEED);
        List<String> wrong = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            int upload = UPLOAD_BYTES[round % UPLOAD_BYTES.length];
            int readBytes = random.nextInt(upload - 1);
            String path = route + end + "-" + readBytes + "-" + random.nextInt(MAX_DELAY_MILLIS);
            RawAnswer answer = send(path, protocol, upload);
            if (answer.status() == 200 && answer.complete()) {
                wrong.add(path + " of " + upload);
            }
        }
        Reporter.log(route + " " + protocol + " " + end + ": " + wrong.size() + " of " + ROUNDS + " whole", true);
        assertEquals(wrong, List.of());
    }

    @Test(dataProvider = "ways")
    public void anAnswerWithoutALengthIsWholeIfTheUploadWasRead(String route, String protocol, String ignored)
            throws Exception {
        Random random = new Random(SEED);
        for (int upload : UPLOAD_BYTES) {
            String path = route + "close-" + upload + "-" + random.nextInt(MAX_DELAY_MILLIS);
            RawAnswer answer = send(path, protocol, upload);
            assertEquals(answer.status(), 200, path);
            assertEquals(answer.body(), PART, path);
            assertEquals(answer.complete(), true, path);
        }
    }

    // Guards against the loss of an answer that states its end, sent before the upload was read.
    @Test
    public void aWholeAnswerArrivesThoughItsEndpointClosedTheUpload() throws Exception {
        for (int upload : UPLOAD_BYTES) {
            RawAnswer answer = send("/once/length-0-0", "HTTP/1.1", upload);
            assertEquals(answer.status(), 422);
            assertEquals(answer.body(), PART);
        }
    }

    private RawAnswer send(String path, String protocol, int upload) throws IOException {
        sentRequests++;
        NetworkAddress callers = fleet.settings(0).callers();
        String head = "POST " + path + "?number=" + sentRequests + " " + protocol
                + "\r\nHost: a.example\r\nYuccagw-Request-Id: r-" + sentRequests
                + "\r\nYuccagw-Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\nContent-Length: " + upload
                + "\r\n\r\n";
        try (Socket socket = new Socket(callers.host(), callers.port())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(new byte[upload]);
            return RawAnswer.read(socket.getInputStream());
        }
    }

    /** Answers as the path says: the end, the bytes of the upload to read, and the delay in milliseconds. */
    private static void serve(Socket socket) throws IOException, InterruptedException {
        InputStream in = socket.getInputStream();
        String line = readLine(in);
        String id = "";
        for (String field = readLine(in); !field.isEmpty(); field = readLine(in)) {
            if (field.startsWith("Yuccagw-Request-Id: ")) {
                id = field.substring(field.indexOf(' ') + 1);
            }
        }
        String[] parts = line.replaceAll("^\\S+ \\S*/([^? ]+).*$", "$1").split("-", 3);
        in.readNBytes(Integer.parseInt(parts[1]));
        TimeUnit.MILLISECONDS.sleep(Integer.parseInt(parts[2]));
        boolean stated = parts[0].equals("length");
        String answer = "HTTP/1.1 " + (stated ? "422 No" : "200 OK") + "\r\nYuccagw-Request-Id: " + id
                + "\r\nYuccagw-Response-Seal: seal-1\r\nContent-Type: text/event-stream\r\n"
                + (stated ? "Content-Length: " + PART.length() + "\r\n" : "") + "\r\n" + PART;
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
        socket.setSoLinger(parts[0].equals("reset"), 0);
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }
}
