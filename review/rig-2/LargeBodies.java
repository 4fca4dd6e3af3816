import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 9. Requesters send bodies of three quarters of the configured limit, one after the other. */
public final class LargeBodies {
    private static final int LIMIT_BYTES = 4_194_304;
    private static final int LARGE_BYTES = 3_145_728;
    private static final int USUAL_BYTES = 600;
    private static final int REQUESTS = 200;

    /** Of so many requests, one is large. */
    private static final int ONE_IN = 4;

    private static final AtomicInteger ran = new AtomicInteger();

    private LargeBodies() {}

    public static void main(String[] arguments) {
        System.exit(Rig.perform(Path.of(arguments[0]), LargeBodies::run));
    }

    private static int run(Rig rig) throws Exception {
        ObjectNode configuration = Rig.configuration(1);
        Rig.route(configuration, "/save/", "non_idempotent", "app", 5_000, 1);
        Rig.plainService(configuration, "app");
        rig.put("op/config", configuration);
        for (int number = 1; number <= 3; number++) {
            Replica replica = new Replica(rig, "app-" + number, (request, socket) -> {
                ran.incrementAndGet();
                Thread.sleep(30);
                Replica.answer(socket, 200, Replica.echo(request) + "Yuccagw-Response-Seal: s\r\n", "ok");
            });
            rig.put("servers/" + replica.id, Rig.registration("app", replica.port, "v1", 6, 1000));
        }
        Rig.Entry entry = rig.entry("edge-1");
        entry.awaitReady(20_000);
        Thread.sleep(4_000);
        Map<String, Integer> outcomes = new TreeMap<>();
        int denied = 0;
        for (int number = 1; number <= REQUESTS; number++) {
            boolean large = number % ONE_IN == 0;
            int bytes = large && Rig.trouble() ? LARGE_BYTES : USUAL_BYTES;
            String outcome = save(entry, "s" + number, bytes);
            rig.note("s" + number + " with " + bytes + " bytes of at most " + LIMIT_BYTES + ": " + outcome);
            outcomes.merge(bytes + " bytes: " + outcome, 1, Integer::sum);
            denied += outcome.equals("status 413") ? 1 : 0;
        }
        outcomes.forEach((outcome, count) -> rig.say(outcome + ": " + count));
        rig.say("runs " + ran + ", denied " + denied + " of " + REQUESTS);
        boolean broken = denied > 5 + REQUESTS / 500.0;
        rig.say(broken ? "DENIED is broken" : "DENIED holds");
        return broken ? 1 : 0;
    }

    /** Sends the head and the body in pieces, and reads an answer that comes before the body has been sent. */
    private static String save(Rig.Entry entry, String id, int bytes) {
        byte[] piece = new byte[64 * 1024];
        Arrays.fill(piece, (byte) 'a');
        try (Socket socket = Http.connect(entry.front, 6_000)) {
            Http.write(socket, "POST /save/x HTTP/1.1\r\nHost: a.example\r\nYuccagw-Request-Id: " + id
                    + "\r\nYuccagw-Deadline-Ms: 5000\r\nContent-Length: " + bytes + "\r\n\r\n", new byte[0]);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (int sent = 0; sent < bytes && in.available() == 0; sent += piece.length) {
                socket.getOutputStream().write(piece, 0, Math.min(piece.length, bytes - sent));
                Thread.sleep(1);
            }
            return "status " + Http.readAnswer(in).status;
        } catch (IOException e) {
            return "no answer (" + e.getMessage() + ")";
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "interrupted";
        }
    }
}
