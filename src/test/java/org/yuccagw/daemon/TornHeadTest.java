package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;

import com.google.common.base.Splitter;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.Reporter;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.daemon.CutOffEntry.Block;

/** Guards against an answer that looks whole although its endpoint ended it inside the head. */
public class TornHeadTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nYuccagw-Request-Id: %s\r\nYuccagw-Response-Seal: seal-1\r\n";
    private static final String LENGTH = "Content-Length: 0\r\n";
    private static final String CHUNKS = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    private static final String WHOLE = "whole";
    private static final Duration NOTICE_TIME = Duration.ofSeconds(1);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);
    private static final int RELAYED_STEP = 4;

    private CuttableFleet fleet;
    private int sentRequests;

    @BeforeClass
    public void startAll() throws Exception {
        fleet = CuttableFleet.startWith(TornHeadTest::serve);
    }

    @AfterClass(alwaysRun = true)
    public void stopAll() throws Exception {
        fleet.close();
    }

    @DataProvider
    public static Object[][] ways() {
        List<Object[]> ways = new ArrayList<>();
        for (String route : List.of("/again/", "/once/", "/stream/")) {
            for (String framing : List.of("length", "chunks")) {
                for (String end : List.of("close", "reset")) {
                    ways.add(new Object[] {route, framing, end, false});
                    ways.add(new Object[] {route, framing, end, true});
                }
            }
        }
        return ways.toArray(new Object[0][]);
    }

    @Test(dataProvider = "ways")
    public void aHeadThatBreaksOffIsNoAnswer(String route, String framing, String end, boolean relayed)
            throws Exception {
        fleet.restore(0);
        if (relayed) {
            fleet.cut(0, Block.REFUSED);
        }
        fleet.sendFor(NOTICE_TIME, 0, "/once/" + WHOLE);
        List<String> wrong = new ArrayList<>();
        int length = (HEAD.formatted(nextId()) + framingOf(framing)).length();
        int tried = 0;
        for (int cut = 0; cut < length; cut += relayed ? RELAYED_STEP : 1) {
            send(route + WHOLE);
            RawAnswer answer = send(route + framing + "-" + end + "-" + cut);
            tried++;
            if (answer.status() == 200) {
                wrong.add(cut + ": " + answer);
            }
        }
        Reporter.log(
                route + framing + "-" + end + (relayed ? " relayed: " : ": ") + wrong.size() + " of " + tried, true);
        assertEquals(wrong, List.of());
    }

    /** Returns an id of the same length as all others, so that heads have one length. */
    private String nextId() {
        sentRequests++;
        return "r-%06d".formatted(sentRequests);
    }

    private RawAnswer send(String path) throws IOException {
        NetworkAddress callers = fleet.settings(0).callers();
        String head = "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nYuccagw-Request-Id: " + nextId()
                + "\r\nYuccagw-Deadline-Ms: 2000\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n";
        try (Socket socket = new Socket(callers.host(), callers.port())) {
            socket.setSoTimeout((int) READ_TIMEOUT.toMillis());
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            return RawAnswer.read(socket.getInputStream());
        }
    }

    private static String framingOf(String framing) {
        return (framing.equals("chunks") ? CHUNKS : LENGTH) + "\r\n";
    }

    private static void serve(Socket socket) throws IOException {
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            Map<String, String> request = ScriptedEndpoint.readRequest(line, reader);
            String head = HEAD.formatted(request.get("yuccagw-request-id"));
            String word = line.replaceAll("^\\S+ \\S*/(\\S+) .*$", "$1");
            List<String> parts = Splitter.on('-').splitToList(word);
            boolean whole = parts.size() < 3;
            String answer = whole
                    ? head + "Content-Length: 4\r\n\r\nbody"
                    : (head + framingOf(parts.get(0))).substring(0, Integer.parseInt(parts.get(2)));
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            if (!whole) {
                socket.setSoLinger(parts.get(1).equals("reset"), 0);
                return;
            }
        }
    }
}
