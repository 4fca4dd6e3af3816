import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 7. All processes are killed at the same moment and start again while resumable streams run. The requesters take their
 * streams up again.
 */
public final class StreamsTakenUp {
    private static final int STREAMS = 24;
    private static final int ENTRIES = 2;
    private static final int REPLICAS = 4;
    private static final int TIME_LIMIT_MS = 15_000;
    private static final int EVENT_GAP_MS = 200;
    private static final int EVENTS = 60;
    private static final long KILL_MS = 2_500;
    private static final long DOWN_MS = 1_000;
    private static final long CONTACT_MS = 3_000;

    /** When a requester takes its stream up again, after the channel broke; it stops once the stream goes on. */
    private static final long[] TRIES_MS = {1_000, 3_000, 6_000};

    private static final AtomicInteger ids = new AtomicInteger();
    private static final Map<String, String> runs = new ConcurrentHashMap<>();
    private static volatile long startedMs = Long.MAX_VALUE;

    /** A stream as its requester sees it. */
    private static final class Stream {
        private final String begun = "s" + ids.incrementAndGet();
        private long lastEvent;
        private boolean complete;
        private boolean takenUpInTouch;
        private boolean wentOn;
    }

    private StreamsTakenUp() {}

    public static void main(String[] arguments) {
        System.exit(Rig.perform(Path.of(arguments[0]), StreamsTakenUp::run));
    }

    private static int run(Rig rig) throws Exception {
        ObjectNode configuration = Rig.configuration(1);
        Rig.route(configuration, "/label/", "streaming", "lm", TIME_LIMIT_MS, 2)
                .put("resumable", true).put("sessionAffinity", true).put("gapAimMs", 300);
        Rig.engineService(configuration, "lm", "m", 48);
        rig.put("op/config", configuration);
        for (int number = 1; number <= REPLICAS; number++) {
            Replica replica = new Replica(rig, "lm-" + number, StreamsTakenUp::serve);
            rig.put("servers/" + replica.id, Rig.engineRegistration("lm", replica.port, "v1", 48, 1000, "m", 1));
        }
        for (int number = 1; number <= ENTRIES; number++) {
            rig.entry("edge-" + number);
        }
        for (Rig.Entry entry : rig.entries) {
            entry.awaitReady(20_000);
        }
        Thread.sleep(5_000);
        List<Stream> streams = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            Stream stream = new Stream();
            streams.add(stream);
            int first = number;
            threads.add(start(() -> follow(rig, stream, first)));
        }
        Thread.sleep(KILL_MS);
        if (Rig.trouble()) {
            for (Rig.Entry entry : rig.entries) {
                entry.signal("KILL");
            }
            Thread.sleep(DOWN_MS);
            startedMs = rig.millis();
            for (Rig.Entry entry : rig.entries) {
                entry.start();
            }
        }
        for (Thread thread : threads) {
            thread.join(40_000);
        }
        return judge(rig, streams);
    }

    private static int judge(Rig rig, List<Stream> streams) throws Exception {
        int begun = 0;
        for (int number = 0; number < STREAMS; number++) {
            Stream stream = new Stream();
            begun += ask(rig, stream, stream.begun, number, System.nanoTime() + 3_000_000_000L, true) ? 1 : 0;
        }
        long taken = streams.stream().filter(stream -> stream.takenUpInTouch).count();
        long wentOn = streams.stream().filter(stream -> stream.takenUpInTouch && stream.wentOn).count();
        long complete = streams.stream().filter(stream -> stream.complete).count();
        rig.say("streams complete: " + complete + " of " + STREAMS);
        rig.say("streams taken up at machines in touch: " + taken + ", went on: " + wentOn);
        rig.say("new streams that begin: " + begun + " of " + STREAMS);
        if (begun == 0) {
            return 2;
        }
        boolean broken = taken >= 12 && (double) wentOn / taken < 0.5 * begun / STREAMS;
        rig.say(broken ? "LOST is broken" : "LOST holds");
        return broken ? 1 : 0;
    }

    private static Thread start(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void serve(Http.Request request, Socket socket) throws Exception {
        if (!request.path().startsWith("/label/")) {
            Replica.answer(socket, 404, "", "");
            return;
        }
        runs.merge(request.header("Yuccagw-Request-Id"), "run", (before, now) -> before + ", " + now);
        OutputStream out = socket.getOutputStream();
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nYuccagw-Weight-Versions: 1\r\n"
                + Replica.echo(request) + "Yuccagw-Response-Seal: s\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        String after = request.header("Last-Event-Id");
        for (int event = after.isEmpty() ? 1 : Integer.parseInt(after) + 1; event <= EVENTS; event++) {
            String text = "id: " + event + "\ndata: x\n\n";
            out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            Thread.sleep(EVENT_GAP_MS);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads a stream, and takes it up again after it broke, within its time limit. */
    private static void follow(Rig rig, Stream stream, int first) {
        long endNanos = System.nanoTime() + TIME_LIMIT_MS * 1_000_000L;
        ask(rig, stream, stream.begun, first, endNanos, false);
        long brokeMs = rig.millis();
        for (int number = 0; number < TRIES_MS.length && !stream.complete && !stream.wentOn; number++) {
            sleep(Math.max(0, brokeMs + TRIES_MS[number] - rig.millis()));
            if (System.nanoTime() - endNanos > 0) {
                return;
            }
            boolean inTouch = rig.millis() - startedMs > CONTACT_MS;
            boolean wentOn = ask(rig, stream, "t" + ids.incrementAndGet(), first + number, endNanos, false);
            stream.takenUpInTouch |= inTouch;
            stream.wentOn |= wentOn;
        }
    }

    /** Sends one request of a stream; returns whether an event arrived. */
    private static boolean ask(Rig rig, Stream stream, String id, int first, long endNanos, boolean leave) {
        Rig.Entry entry = rig.entries.get(first % ENTRIES);
        long leftMs = Math.max(1, (endNanos - System.nanoTime()) / 1_000_000);
        String resumed = id.equals(stream.begun) ? "" : "Resumes: " + stream.begun + "\r\nLast-Event-Id: " + stream.lastEvent + "\r\n";
        String head = "POST /label/x HTTP/1.1\r\nHost: a.example\r\nYuccagw-Request-Id: " + id + "\r\nYuccagw-Deadline-Ms: " + leftMs
                + "\r\nYuccagw-Model: m\r\nYuccagw-Token-Usage: 300,60\r\nYuccagw-Prefix-Hash: aa:150,b" + Integer.toHexString(first)
                + ":150\r\n" + resumed + "Content-Length: 2\r\n\r\n";
        long before = stream.lastEvent;
        String outcome;
        try (Socket socket = Http.connect(entry.front, (int) leftMs)) {
            Http.write(socket, head, "hi".getBytes(StandardCharsets.ISO_8859_1));
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            outcome = "status " + Http.readLine(in).split(" ")[1];
            Map<String, String> headers = new java.util.LinkedHashMap<>();
            Http.readHeaders(in, headers);
            if (outcome.equals("status 200")) {
                for (int size = readSize(in); size > 0 && !(leave && stream.lastEvent > 0); size = readSize(in)) {
                    String text = new String(in.readNBytes(size), StandardCharsets.ISO_8859_1);
                    Http.readLine(in);
                    for (String line : text.split("\n")) {
                        if (line.startsWith("id: ")) {
                            stream.lastEvent = Long.parseLong(line.substring(4));
                        }
                    }
                }
                stream.complete = stream.lastEvent == EVENTS;
            } else {
                outcome += " " + new String(Http.readBody(in, headers, true), StandardCharsets.ISO_8859_1)
                        .replaceAll(".*\"code\":\"([^\"]*)\".*", "$1");
            }
        } catch (IOException e) {
            outcome = "broken (" + e.getMessage() + ")";
        }
        rig.note(id + (resumed.isEmpty() ? "" : " takes up " + stream.begun + " after event " + before) + " at " + entry.name + ": "
                + outcome + ", last event " + stream.lastEvent + ", at replicas: " + runs.getOrDefault(id, "none"));
        return stream.lastEvent > before;
    }

    private static int readSize(BufferedInputStream in) throws IOException {
        return Integer.parseInt(Http.readLine(in).trim(), 16);
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
