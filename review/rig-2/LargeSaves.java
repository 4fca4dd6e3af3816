import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
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
 * Case 7. Requesters save bodies well within the configured limit; many of them come at once for some seconds. Reads
 * of another service at the same entry must be answered.
 */
public final class LargeSaves {
    private static final int BODY_BYTES = 2_000_000;
    private static final int SLOTS = 24;
    private static final int WORK_MS = 2_000;
    private static final int SAVE_TIMEOUT_MS = 5_000;
    private static final double SAVES_PER_S = 5;
    private static final double BURST = 2.5;
    private static final int READ_CALLERS = 8;
    private static final int READ_TIMEOUT_MS = 800;
    private static final int GIVE_UP_MS = 1_500;
    private static final long TROUBLE_FROM_MS = 8_000;
    private static final long TROUBLE_TO_MS = 14_000;
    private static final long END_MS = 40_000;

    /** A requester allows a new channel one second. Its request was never sent and isn't counted. */
    private static final String NO_CHANNEL = "no channel";

    private static volatile boolean over;
    private static final AtomicInteger ids = new AtomicInteger();
    private static final AtomicInteger inFlight = new AtomicInteger();
    private static final Map<String, Integer> saves = new TreeMap<>();
    private static final List<Read> reads = new ArrayList<>();
    private static final Map<String, AtomicInteger> ran = new ConcurrentHashMap<>();

    private record Read(String id, long sentMs, long millis, String outcome) {}

    private LargeSaves() {}

    public static void main(String[] arguments) {
        System.exit(Rig.perform(Path.of(arguments[0]), LargeSaves::run));
    }

    private static int run(Rig rig) throws Exception {
        ObjectNode configuration = Rig.configuration(1);
        Rig.route(configuration, "/save/", "non_idempotent", "store", SAVE_TIMEOUT_MS, 1);
        Rig.route(configuration, "/read/", "idempotent", "app", READ_TIMEOUT_MS, 2);
        Rig.plainService(configuration, "store");
        Rig.plainService(configuration, "app");
        rig.put("op/config", configuration);
        for (int number = 1; number <= 3; number++) {
            Replica store = new Replica(rig, "store-" + number, (request, socket) -> answer(request, socket, WORK_MS));
            rig.put("servers/" + store.id, Rig.registration("store", store.port, "v1", SLOTS, 1000));
            Replica app = new Replica(rig, "app-" + number, (request, socket) -> answer(request, socket, 30));
            rig.put("servers/" + app.id, Rig.registration("app", app.port, "v1", 6, 1000));
        }
        Rig.Entry entry = rig.entry("edge-1");
        entry.awaitReady(20_000);
        Thread.sleep(2_000);
        long begin = rig.millis();
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'a');
        List<Thread> threads = new ArrayList<>();
        threads.add(start(() -> offerSaves(rig, entry, body, begin)));
        for (int caller = 0; caller < READ_CALLERS; caller++) {
            threads.add(start(() -> readLoop(rig, entry, begin)));
        }
        Thread.sleep(END_MS);
        over = true;
        for (Thread thread : threads) {
            thread.join(10_000);
        }
        Thread.sleep(3_000);
        return judge(rig);
    }

    private static int judge(Rig rig) {
        synchronized (saves) {
            saves.forEach((outcome, count) -> rig.say("saves " + outcome + ": " + count));
        }
        List<Read> all;
        synchronized (reads) {
            rig.say("reads without a channel: "
                    + reads.stream().filter(read -> read.outcome().equals(NO_CHANNEL)).count());
            all = reads.stream().filter(read -> !read.outcome().equals(NO_CHANNEL)).toList();
        }
        long unanswered = all.stream().filter(read -> read.millis() >= READ_TIMEOUT_MS).count();
        long late = all.stream().filter(read -> read.millis() > READ_TIMEOUT_MS + 500).count();
        Map<String, Integer> outcomes = new TreeMap<>();
        all.forEach(read -> outcomes.merge(read.outcome(), 1, Integer::sum));
        outcomes.forEach((outcome, count) -> rig.say("reads " + outcome + ": " + count));
        rig.say("reads unanswered at the route's timeoutMs: " + unanswered + ", of these half a second later: " + late);
        Rig.Entry entry = rig.entries.get(0);
        rig.say(entry.name + " process alive " + entry.process.isAlive() + ", ready " + entry.isReady());
        boolean broken = late >= 8 && late * 2 > unanswered;
        rig.say(broken ? "CONFIG is broken" : "CONFIG holds");
        return broken ? 1 : 0;
    }

    private static void answer(Http.Request request, Socket socket, int workMillis) throws Exception {
        ran.computeIfAbsent(request.header("Yuccagw-Request-Id"), id -> new AtomicInteger()).incrementAndGet();
        Thread.sleep(workMillis);
        Replica.answer(socket, 200, Replica.echo(request) + "Yuccagw-Response-Seal: s\r\n", "ok");
    }

    private static Thread start(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Sends saves at an even rate, each on its own channel. */
    private static void offerSaves(Rig rig, Rig.Entry entry, byte[] body, long begin) {
        double due = rig.millis();
        while (!over) {
            long now = rig.millis() - begin;
            boolean burst = Rig.trouble() && now >= TROUBLE_FROM_MS && now < TROUBLE_TO_MS;
            due += 1000 / (SAVES_PER_S * (burst ? BURST : 1));
            sleep(Math.max(0, (long) due - rig.millis()));
            start(() -> save(rig, entry, body));
        }
    }

    private static void save(Rig rig, Rig.Entry entry, byte[] body) {
        String id = "s" + ids.incrementAndGet();
        long sent = rig.millis();
        int beside = inFlight.incrementAndGet();
        String outcome;
        try (Socket socket = Http.connect(entry.front, SAVE_TIMEOUT_MS + 3_000)) {
            Http.write(socket, "POST /save/x HTTP/1.1\r\nHost: a.example\r\nYuccagw-Request-Id: " + id
                    + "\r\nYuccagw-Deadline-Ms: 6000\r\nContent-Length: " + body.length + "\r\n\r\n", body);
            outcome = "status " + Http.readAnswer(new BufferedInputStream(socket.getInputStream())).status;
        } catch (IOException e) {
            outcome = "no answer (" + e.getMessage() + ")";
        }
        inFlight.decrementAndGet();
        rig.note("save " + id + " sent " + sent + " beside " + beside + ": " + outcome + " after "
                + (rig.millis() - sent) + " ms, runs " + ran.getOrDefault(id, new AtomicInteger()));
        synchronized (saves) {
            saves.merge(outcome, 1, Integer::sum);
        }
    }

    private static void readLoop(Rig rig, Rig.Entry entry, long begin) {
        while (!over) {
            String id = "r" + ids.incrementAndGet();
            long sent = rig.millis();
            String outcome = NO_CHANNEL;
            try (Socket socket = Http.connect(entry.front, GIVE_UP_MS)) {
                outcome = "";
                Http.write(socket, "GET /read/x HTTP/1.1\r\nHost: a.example\r\nYuccagw-Request-Id: " + id
                        + "\r\nYuccagw-Deadline-Ms: 1500\r\n\r\n", new byte[0]);
                outcome = "status " + Http.readAnswer(new BufferedInputStream(socket.getInputStream())).status;
            } catch (IOException e) {
                outcome = outcome.equals(NO_CHANNEL) ? NO_CHANNEL : "no answer (" + e.getMessage() + ")";
            }
            Read read = new Read(id, sent - begin, rig.millis() - sent, outcome);
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
