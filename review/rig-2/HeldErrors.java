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
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 8. Replicas of a service in trouble: one fails with status 500 and sends bytes without end in the body, the other one
 * hangs. The requests can't be served, but must have ended at their route's timeoutMs.
 */
public final class HeldErrors {
    private static final int CALLERS = 12;
    private static final int TIMEOUT_MS = 800;
    private static final int CALLER_LIMIT_MS = 1_500;
    private static final long TROUBLE_FROM_MS = 5_000;
    private static final long TROUBLE_TO_MS = 11_500;
    private static final long END_MS = 18_000;

    private static final double FAILING_SHARE = 0.25;
    private static final double HANGING_SHARE = 0.4;
    private static volatile boolean trouble;
    private static volatile boolean over;
    private static final AtomicInteger ids = new AtomicInteger();
    private static final List<Read> reads = new ArrayList<>();
    private static final Map<String, String> ran = new ConcurrentHashMap<>();

    private record Read(String id, long sentMs, long millis, String outcome) {}

    private HeldErrors() {}

    public static void main(String[] arguments) {
        System.exit(Rig.perform(Path.of(arguments[0]), HeldErrors::run));
    }

    private static int run(Rig rig) throws Exception {
        ObjectNode configuration = Rig.configuration(1);
        Rig.route(configuration, "/read/", "idempotent", "app", TIMEOUT_MS, 2).put("targetLatencyMs", 150);
        Rig.plainService(configuration, "app");
        rig.put("op/config", configuration);
        for (int number = 1; number <= 2; number++) {
            boolean failing = number == 1;
            Replica replica = new Replica(rig, "app-" + number, (request, socket) -> serve(request, socket, failing));
            rig.put("servers/" + replica.id, Rig.registration("app", replica.port, "v1", 12, 1000).put("zone", failing ? "a" : "b"));
        }
        Rig.Entry entry = rig.entry("edge-1");
        entry.awaitReady(20_000);
        // An entry that has just started has no share of the retry budget yet.
        Thread.sleep(10_000);
        long begin = rig.millis();
        List<Thread> threads = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            Thread thread = new Thread(() -> readLoop(rig, entry, begin));
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
        Thread.sleep(TROUBLE_FROM_MS);
        if (Rig.trouble()) {
            rig.say("from now on app-1 fails without end and app-2 hangs");
            trouble = true;
        }
        Thread.sleep(TROUBLE_TO_MS - TROUBLE_FROM_MS);
        trouble = false;
        rig.say("both are sound from now on");
        Thread.sleep(END_MS - TROUBLE_TO_MS);
        over = true;
        for (Thread thread : threads) {
            thread.join(10_000);
        }
        return judge(rig);
    }

    private static int judge(Rig rig) {
        List<Read> all;
        synchronized (reads) {
            all = new ArrayList<>(reads);
        }
        Map<String, Integer> outcomes = new TreeMap<>();
        all.forEach(read -> outcomes.merge(read.outcome(), 1, Integer::sum));
        outcomes.forEach((outcome, count) -> rig.say("reads " + outcome + ": " + count));
        long unanswered = all.stream().filter(read -> read.millis() >= TIMEOUT_MS).count();
        long late = all.stream().filter(read -> read.millis() > TIMEOUT_MS + 500).count();
        rig.say("reads unanswered at the route's timeoutMs: " + unanswered + ", of these half a second later: " + late);
        boolean broken = late >= 8 && late * 2 > unanswered;
        rig.say(broken ? "CONFIG is broken" : "CONFIG holds");
        return broken ? 1 : 0;
    }

    private static void serve(Http.Request request, Socket socket, boolean failing) throws Exception {
        String id = request.header("Yuccagw-Request-Id");
        if (!trouble || java.util.concurrent.ThreadLocalRandom.current().nextDouble() >= (failing ? FAILING_SHARE : HANGING_SHARE)) {
            Thread.sleep(20);
            Replica.answer(socket, 200, Replica.echo(request) + "Yuccagw-Response-Seal: s\r\n", "ok");
            return;
        }
        ran.merge(id, failing ? "fails" : "hangs", (before, now) -> before + ", " + now);
        if (failing) {
            OutputStream out = socket.getOutputStream();
            out.write(("HTTP/1.1 500 X\r\n" + Replica.echo(request) + "Yuccagw-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            String line = "java.lang.IllegalStateException at x\n";
            while (true) {
                out.write((Integer.toHexString(line.length()) + "\r\n" + line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                Thread.sleep(100);
            }
        }
        socket.setSoTimeout(20_000);
        socket.getInputStream().read();
        socket.close();
    }

    private static void readLoop(Rig rig, Rig.Entry entry, long begin) {
        while (!over) {
            String id = "r" + ids.incrementAndGet();
            long sent = rig.millis();
            String outcome;
            try (Socket socket = Http.connect(entry.front, CALLER_LIMIT_MS)) {
                Http.write(socket, "GET /read/" + id + " HTTP/1.1\r\nHost: a.example\r\nYuccagw-Request-Id: " + id
                        + "\r\nYuccagw-Deadline-Ms: " + CALLER_LIMIT_MS + "\r\n\r\n", new byte[0]);
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                Http.Answer answer = new Http.Answer();
                outcome = "status " + (answer.status = Integer.parseInt(Http.readLine(in).split(" ")[1]));
                Http.readHeaders(in, answer.headers);
                try {
                    readUntil(in, answer, sent + CALLER_LIMIT_MS, rig);
                } catch (IOException e) {
                    outcome += ", without end (" + e.getMessage() + ")";
                }
            } catch (IOException e) {
                outcome = "no answer (" + e.getMessage() + ")";
            }
            Read read = new Read(id, sent - begin, rig.millis() - sent, outcome);
            rig.note(read + " runs " + ran.getOrDefault(id, "sound"));
            synchronized (reads) {
                reads.add(read);
            }
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Reads the body, until the caller's own limit. */
    private static void readUntil(BufferedInputStream in, Http.Answer answer, long limit, Rig rig) throws IOException {
        if (!answer.headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            Http.readBody(in, answer.headers, true);
            return;
        }
        while (true) {
            int size = Integer.parseInt(Http.readLine(in).trim(), 16);
            in.readNBytes(size);
            Http.readLine(in);
            if (size == 0) {
                return;
            }
            if (rig.millis() > limit) {
                throw new IOException("the caller's limit has passed");
            }
        }
    }
}
