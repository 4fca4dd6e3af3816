import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 6. Half of the model replicas send bytes without end in the bodies of the streams that they serve, for some
 * seconds. Reads of another, sound service at the same entries must be answered.
 */
public final class EndlessStreams {
    private static final int SLOTS = 96;
    private static final int ENTRIES = 1;
    private static final int REPLICAS = 4;
    private static final int FAULTY = 2;
    private static final int STREAM_CALLERS = 380;
    private static final int READ_CALLERS = 8;

    /** After 16 KiB: 190 streams together send less than the 1,000 Mbit/s of an entry's link. */
    private static final int SENDING_PAUSE_MS = 30;

    private static final int READ_TIMEOUT_MS = 800;
    private static final int GIVE_UP_MS = 1500;
    private static final long TROUBLE_FROM_MS = 8_000;
    private static final long TROUBLE_TO_MS = 13_000;
    private static final long END_MS = 40_000;

    /** A requester allows a new channel one second. Its request was never sent and isn't counted. */
    private static final String NO_CHANNEL = "no channel";

    private static volatile boolean endless;
    private static volatile boolean over;
    private static final AtomicInteger endlessBodies = new AtomicInteger();
    private static final AtomicInteger ids = new AtomicInteger();
    private static final Map<String, Integer> streams = new TreeMap<>();
    private static final List<Read> reads = new ArrayList<>();
    private static final Map<String, AtomicInteger> ran = new ConcurrentHashMap<>();

    private record Read(String id, String entry, long sentMs, long millis, String outcome) {}

    private EndlessStreams() {}

    public static void main(String[] arguments) throws Exception {
        System.exit(Rig.perform(Path.of(arguments[0]), EndlessStreams::run));
    }

    private static int run(Rig rig) throws Exception {
        ObjectNode configuration = Rig.configuration(1);
        Rig.route(configuration, "/explain/", "streaming", "lm", 5000, 2)
                .put("resumable", true).put("sessionAffinity", true).put("gapAimMs", 300);
        Rig.route(configuration, "/read/", "idempotent", "app", READ_TIMEOUT_MS, 2);
        Rig.engineService(configuration, "lm", "m", SLOTS);
        Rig.plainService(configuration, "app");
        rig.put("op/config", configuration);
        for (int number = 1; number <= REPLICAS; number++) {
            boolean faulty = number <= FAULTY;
            Replica replica = new Replica(rig, "lm-" + number, (request, socket) -> serveModel(request, socket, faulty));
            rig.put("servers/" + replica.id, Rig.engineRegistration("lm", replica.port, "v1", SLOTS, 1000, "m", 1));
        }
        for (int number = 1; number <= 3; number++) {
            Replica replica = new Replica(rig, "app-" + number, (request, socket) -> {
                ran.computeIfAbsent(request.header("Yuccagw-Request-Id"), id -> new AtomicInteger()).incrementAndGet();
                Thread.sleep(30);
                Replica.answer(socket, 200, Replica.echo(request) + "Yuccagw-Response-Seal: s\r\n", "ok");
            });
            rig.put("servers/" + replica.id, Rig.registration("app", replica.port, "v1", 6, 1000));
        }
        for (int number = 1; number <= ENTRIES; number++) {
            rig.entry("edge-" + number);
        }
        for (Rig.Entry entry : rig.entries) {
            entry.awaitReady(20_000);
        }
        Thread.sleep(2_000);
        long begin = rig.millis();
        List<Thread> threads = new ArrayList<>();
        for (int caller = 0; caller < STREAM_CALLERS; caller++) {
            Rig.Entry entry = rig.entries.get(caller % ENTRIES);
            threads.add(start(() -> streamLoop(entry)));
        }
        for (int caller = 0; caller < READ_CALLERS; caller++) {
            Rig.Entry entry = rig.entries.get(caller % ENTRIES);
            threads.add(start(() -> readLoop(rig, entry, begin)));
        }
        Thread.sleep(Math.max(1, begin + TROUBLE_FROM_MS - rig.millis()));
        if (Rig.trouble()) {
            rig.say("lm-1 and lm-2 send bytes without end from now on");
            endless = true;
        }
        Thread.sleep(Math.max(1, begin + TROUBLE_TO_MS - rig.millis()));
        if (Rig.trouble()) {
            rig.say("both are sound again; they sent " + endlessBodies + " bodies without end");
            endless = false;
        }
        Thread.sleep(Math.max(1, begin + END_MS - rig.millis()));
        over = true;
        for (Thread thread : threads) {
            thread.join(10_000);
        }
        return judge(rig);
    }

    private static int judge(Rig rig) {
        synchronized (streams) {
            streams.forEach((outcome, count) -> rig.say("streams " + outcome + ": " + count));
        }
        List<Read> all;
        synchronized (reads) {
            rig.say("reads without a channel: "
                    + reads.stream().filter(read -> read.outcome().equals(NO_CHANNEL)).count());
            all = reads.stream().filter(read -> !read.outcome().equals(NO_CHANNEL)).toList();
        }
        long unanswered = all.stream().filter(read -> read.millis() >= READ_TIMEOUT_MS).count();
        long late = all.stream().filter(read -> read.millis() > READ_TIMEOUT_MS + 500).count();
        long afterTrouble = all.stream().filter(read -> read.sentMs() > TROUBLE_TO_MS + 12_000).count();
        long servedAfter = all.stream().filter(read -> read.sentMs() > TROUBLE_TO_MS + 12_000).filter(read -> read.outcome().equals("status 200")).count();
        Map<String, Integer> outcomes = new TreeMap<>();
        all.forEach(read -> outcomes.merge(read.outcome(), 1, Integer::sum));
        outcomes.forEach((outcome, count) -> rig.say("reads " + outcome + ": " + count));
        rig.say("reads unanswered at the route's timeoutMs: " + unanswered + ", of these half a second later: " + late);
        rig.say("reads sent more than 12 s after the trouble: " + afterTrouble + ", served: " + servedAfter);
        for (Rig.Entry entry : rig.entries) {
            rig.say(entry.name + " process alive " + entry.process.isAlive() + ", ready " + entry.isReady());
        }
        if (all.size() < 100) {
            rig.say("too few reads");
            return 2;
        }
        boolean broken = late >= 8 && late * 2 > unanswered;
        rig.say(broken ? "CONFIG is broken" : "CONFIG holds");
        return broken ? 1 : 0;
    }

    private static Thread start(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void serveModel(Http.Request request, Socket socket, boolean faulty) throws Exception {
        if (!request.path().startsWith("/explain/")) {
            Replica.answer(socket, 404, "", "");
            return;
        }
        OutputStream out = socket.getOutputStream();
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nYuccagw-Weight-Versions: 1\r\n"
                + Replica.echo(request) + "Yuccagw-Response-Seal: s\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        String after = request.header("Last-Event-Id");
        for (int event = after.isEmpty() ? 1 : Integer.parseInt(after) + 1; event <= 30; event++) {
            if (faulty && endless) {
                endlessBodies.incrementAndGet();
                sendWithoutEnd(out);
                socket.close();
                return;
            }
            Thread.sleep(50);
            String text = "id: " + event + "\ndata: " + "x".repeat(50) + "\n\n";
            out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Sends until the caller closes its channel, or until the replica is sound again. */
    private static void sendWithoutEnd(OutputStream out) throws IOException, InterruptedException {
        byte[] bytes = new byte[16 * 1024];
        Arrays.fill(bytes, (byte) '#');
        while (endless) {
            out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(bytes);
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            Thread.sleep(SENDING_PAUSE_MS);
        }
    }

    private static void streamLoop(Rig.Entry entry) {
        while (!over) {
            String id = "s" + ids.incrementAndGet();
            String head = "POST /explain/x HTTP/1.1\r\nHost: a.example\r\nYuccagw-Request-Id: " + id
                    + "\r\nYuccagw-Deadline-Ms: 5000\r\nYuccagw-Model: m\r\nYuccagw-Token-Usage: 300,30\r\nYuccagw-Prefix-Hash: aa:150,b"
                    + Integer.toHexString(id.hashCode()) + ":150\r\nContent-Length: 2\r\n\r\n";
            String outcome;
            long pause = 50;
            try (Socket socket = Http.connect(entry.front, 6000)) {
                Http.write(socket, head, "hi".getBytes(StandardCharsets.ISO_8859_1));
                Http.Answer answer = Http.readAnswer(new BufferedInputStream(socket.getInputStream()));
                outcome = "status " + answer.status;
                pause = answer.status == 200 ? 50 : 400;
            } catch (IOException e) {
                outcome = "without a whole answer";
                pause = 400;
            }
            synchronized (streams) {
                streams.merge(outcome, 1, Integer::sum);
            }
            sleep(pause);
        }
    }

    private static void readLoop(Rig rig, Rig.Entry entry, long begin) {
        while (!over) {
            String id = "r" + ids.incrementAndGet();
            long sent = rig.millis();
            String head = "GET /read/x HTTP/1.1\r\nHost: a.example\r\nYuccagw-Request-Id: " + id + "\r\nYuccagw-Deadline-Ms: 1500\r\n\r\n";
            String outcome = NO_CHANNEL;
            try (Socket socket = Http.connect(entry.front, GIVE_UP_MS)) {
                outcome = "";
                Http.write(socket, head, new byte[0]);
                outcome = "status " + Http.readAnswer(new BufferedInputStream(socket.getInputStream())).status;
            } catch (IOException e) {
                outcome = outcome.equals(NO_CHANNEL) ? NO_CHANNEL : "no answer (" + e.getMessage() + ")";
            }
            Read read = new Read(id, entry.name, sent - begin, rig.millis() - sent, outcome);
            rig.note(read + " runs " + ran.getOrDefault(id, new AtomicInteger()));
            synchronized (reads) {
                reads.add(read);
            }
            sleep(100);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
