import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 9. A request crashes each replica that runs it, and comes again and again. Meanwhile the entries are stopped and
 * started in turn.
 */
public final class CrashingRequest {
    private static final int ENTRIES = 3;
    private static final int REPLICAS = 6;
    private static final int WORK_MS = 400;
    private static final long CONTACT_MS = 3_000;
    private static final long GRACE_S = 8;
    private static final String CRASHING = "/save/crashing";

    private static final AtomicInteger ids = new AtomicInteger();
    private static final AtomicInteger replicas = new AtomicInteger();
    private static final AtomicInteger lost = new AtomicInteger();
    private static final Map<String, Sent> sent = new ConcurrentHashMap<>();
    private static final List<Crash> crashes = new CopyOnWriteArrayList<>();
    private static final Map<String, Long> startedMs = new ConcurrentHashMap<>();
    private static volatile boolean over;

    private record Sent(String entry, long atMs, boolean inTouch) {}

    private record Crash(String replica, String request, long atMs) {}

    private CrashingRequest() {}

    public static void main(String[] arguments) {
        System.exit(Rig.perform(Path.of(arguments[0]), CrashingRequest::run));
    }

    private static int run(Rig rig) throws Exception {
        ObjectNode configuration = Rig.configuration(1);
        Rig.route(configuration, "/save/", "non_idempotent", "app", 1_500, 1);
        Rig.plainService(configuration, "app");
        rig.put("op/config", configuration);
        for (int number = 0; number < REPLICAS; number++) {
            startReplica(rig);
        }
        for (int number = 1; number <= ENTRIES; number++) {
            Rig.Entry entry = rig.entry("edge-" + number);
            startedMs.put(entry.name, rig.millis());
        }
        for (Rig.Entry entry : rig.entries) {
            entry.awaitReady(20_000);
        }
        Thread.sleep(5_000);
        for (Rig.Entry entry : rig.entries) {
            for (int caller = 0; caller < 2; caller++) {
                Thread thread = new Thread(() -> saveLoop(rig, entry));
                thread.setDaemon(true);
                thread.start();
            }
        }
        for (Rig.Entry entry : rig.entries) {
            sendCrashing(rig, entry);
            Thread.sleep(3_000);
        }
        for (Rig.Entry entry : rig.entries) {
            if (Rig.trouble()) {
                entry.signal("TERM");
                if (!entry.process.waitFor(GRACE_S, TimeUnit.SECONDS)) {
                    entry.signal("KILL");
                    entry.process.waitFor();
                }
                Thread.sleep(500);
                entry.start();
                startedMs.put(entry.name, rig.millis());
                entry.awaitReady(20_000);
            }
            Thread.sleep(CONTACT_MS + 500);
            for (int number = 0; number < 3; number++) {
                sendCrashing(rig, entry);
                Thread.sleep(3_500);
            }
        }
        over = true;
        Thread.sleep(2_000);
        return judge(rig);
    }

    private static int judge(Rig rig) {
        rig.say("replicas crashed: " + crashes.size() + ", saves of others without an answer: " + lost);
        if (crashes.size() < 3) {
            rig.say("BUDGET holds");
            return 0;
        }
        long third = crashes.get(2).atMs();
        long retries = crashes.stream()
                .map(crash -> sent.get(crash.request()))
                .filter(each -> each.inTouch() && each.atMs() > third + CONTACT_MS)
                .count();
        rig.say("requests that reached replicas later than contactMs after the third crash, by machines in touch: " + retries);
        boolean broken = retries > 3;
        rig.say(broken ? "BUDGET is broken" : "BUDGET holds");
        return broken ? 1 : 0;
    }

    private static void startReplica(Rig rig) throws IOException {
        String id = "app-" + replicas.incrementAndGet();
        Replica[] own = new Replica[1];
        own[0] = new Replica(rig, id, (request, socket) -> {
            if (request.path().equals(CRASHING)) {
                crashes.add(new Crash(id, request.header("Yuccagw-Request-Id"), rig.millis()));
                rig.note(id + " crashes under " + request.header("Yuccagw-Request-Id"));
                own[0].crash();
                comeBack(rig, id);
                return;
            }
            Thread.sleep(WORK_MS);
            Replica.answer(socket, 200, Replica.echo(request) + "Yuccagw-Response-Seal: s\r\n", "ok");
        });
        rig.put("servers/" + id, Rig.registration("app", own[0].port, "v1", 6, System.currentTimeMillis()));
    }

    /** The registration ends some time after the crash; the next replica has a new id. */
    private static void comeBack(Rig rig, String id) {
        Replica.daemon("back", () -> {
            try {
                Thread.sleep(1_200);
                rig.keyValue.remove("servers/" + id);
                Thread.sleep(1_000);
                startReplica(rig);
            } catch (IOException | InterruptedException e) {
                rig.note("a replica didn't come back: " + e);
            }
        });
    }

    private static void sendCrashing(Rig rig, Rig.Entry entry) {
        String id = "c" + ids.incrementAndGet();
        long now = rig.millis();
        sent.put(id, new Sent(entry.name, now, now - startedMs.get(entry.name) > CONTACT_MS));
        rig.note(id + " at " + entry.name + ": " + save(entry, id, CRASHING));
    }

    private static void saveLoop(Rig rig, Rig.Entry entry) {
        while (!over) {
            String id = "s" + ids.incrementAndGet();
            String outcome = save(entry, id, "/save/" + id);
            if (outcome.equals("status 502") || outcome.startsWith("no answer (the channel")) {
                lost.incrementAndGet();
                rig.note(id + " of another requester at " + entry.name + ": " + outcome);
            }
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static String save(Rig.Entry entry, String id, String path) {
        String head = "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nYuccagw-Request-Id: " + id
                + "\r\nYuccagw-Deadline-Ms: 1500\r\nContent-Length: 4\r\n\r\n";
        try (Socket socket = Http.connect(entry.front, 2_000)) {
            Http.write(socket, head, "boom".getBytes(StandardCharsets.ISO_8859_1));
            return "status " + Http.readAnswer(new BufferedInputStream(socket.getInputStream())).status;
        } catch (IOException e) {
            return "no answer (" + e.getMessage() + ")";
        }
    }
}
