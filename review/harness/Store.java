import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A sound metadata store of the platform: PROTOCOL.md, "The platform's metadata store". One thread a connection. */
final class Store {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1 << 20;

    private record Item(String key, byte[] value, long revision, long created, long lease) {}

    private record Change(String key, long revision, Item item) {}

    private record Lease(long ttlMillis, long untilNanos) {}

    private record Reply(int status, ObjectNode body) {}

    final ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long lastLease = 100;

    Store() throws IOException {
        Bed.spawn(() -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    Bed.spawn(() -> serve(socket));
                } catch (IOException closed) {
                    return;
                }
            }
        });
        Bed.spawn(() -> {
            while (!server.isClosed()) {
                Bed.sleep(10);
                expireLeases();
            }
        });
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Writes a key as the operator, a replica or another writer. */
    synchronized void put(String key, byte[] value) {
        write(key, value, 0, revision + 1);
        revision++;
        notifyAll();
    }

    synchronized void remove(String key) {
        delete(key, revision + 1);
        revision++;
        notifyAll();
    }

    private void write(String key, byte[] value, long lease, long at) {
        Item before = items.get(key);
        Item item = new Item(key, value, at, before == null ? at : before.created(), lease);
        items.put(key, item);
        history.add(new Change(key, at, item));
    }

    private void delete(String key, long at) {
        if (items.remove(key) != null) {
            history.add(new Change(key, at, null));
        }
    }

    private synchronized void expireLeases() {
        long now = System.nanoTime();
        List<Long> ended = leases.entrySet().stream()
                .filter(entry -> now - entry.getValue().untilNanos() >= 0)
                .map(Map.Entry::getKey)
                .toList();
        ended.forEach(this::endLease);
    }

    private void endLease(long lease) {
        leases.remove(lease);
        List<String> keys = items.values().stream()
                .filter(item -> item.lease() == lease)
                .map(Item::key)
                .toList();
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(key -> delete(key, revision));
            notifyAll();
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Bed.Request request = Bed.readRequest(in); request != null; request = Bed.readRequest(in)) {
                Reply reply = answer(request);
                byte[] body = JSON.writeValueAsBytes(reply.body());
                out.write(Bed.bytes("HTTP/1.1 " + reply.status() + " x\r\nContent-Type: application/json\r\n"
                        + "Content-Length: " + body.length + "\r\n\r\n"));
                out.write(body);
                out.flush();
            }
        } catch (IOException | InterruptedException closed) {
            // The other side has closed the connection.
        }
    }

    private Reply answer(Bed.Request request) throws IOException, InterruptedException {
        String path = request.path.split("\\?")[0];
        Map<String, String> query = query(request.path);
        if (path.equals("/kv-key")) {
            return read(query.getOrDefault("key", ""));
        }
        if (path.equals("/kv-range")) {
            return range(query.getOrDefault("pathPrefix", ""), query.getOrDefault("after", ""));
        }
        if (path.equals("/kv-watch")) {
            return watch(
                    query.getOrDefault("pathPrefix", ""),
                    Long.parseLong(query.getOrDefault("after", "0")),
                    Long.parseLong(query.getOrDefault("waitMs", "0")));
        }
        if (path.equals("/kv-txn")) {
            return transact(JSON.readTree(request.body));
        }
        if (path.equals("/kv-lease")) {
            return grant(JSON.readTree(request.body).path("ttlMs").asLong());
        }
        if (path.startsWith("/kv-keep/")) {
            return renew(Long.parseLong(path.substring("/kv-keep/".length())));
        }
        if (path.startsWith("/kv-lease-end/")) {
            return end(Long.parseLong(path.substring("/kv-lease-end/".length())));
        }
        return new Reply(404, JSON.createObjectNode());
    }

    private static Map<String, String> query(String path) {
        Map<String, String> query = new HashMap<>();
        int mark = path.indexOf('?');
        if (mark >= 0) {
            for (String pair : path.substring(mark + 1).split("&")) {
                String[] sides = pair.split("=", 2);
                query.put(sides[0], sides.length > 1 ? URLDecoder.decode(sides[1], StandardCharsets.UTF_8) : "");
            }
        }
        return query;
    }

    private synchronized Reply read(String key) {
        Item item = items.get(key);
        ObjectNode body = item == null ? JSON.createObjectNode() : json(item);
        return new Reply(item == null ? 404 : 200, body.put("storeRevision", revision));
    }

    private synchronized Reply range(String prefix, String after) {
        ObjectNode body = JSON.createObjectNode().put("storeRevision", revision);
        ArrayNode page = body.putArray("items");
        int bytes = 0;
        boolean truncated = false;
        for (Item item : items.tailMap(prefix).values()) {
            if (!item.key().startsWith(prefix) || item.key().compareTo(after) <= 0) {
                continue;
            }
            if (page.size() >= PAGE_ITEMS || bytes > PAGE_BYTES) {
                truncated = true;
                break;
            }
            page.add(json(item));
            bytes += item.value().length;
        }
        return new Reply(200, body.put("truncated", truncated));
    }

    private synchronized Reply watch(String prefix, long after, long waitMs) throws InterruptedException {
        long end = System.nanoTime() + Math.min(30_000, waitMs) * 1_000_000;
        while (true) {
            ArrayNode events = JSON.createArrayNode();
            for (Change change : history) {
                if (change.revision() > after && change.key().startsWith(prefix)) {
                    events.add(change.item() == null
                            ? JSON.createObjectNode()
                                    .put("key", change.key())
                                    .put("revision", change.revision())
                                    .put("removed", true)
                            : json(change.item()));
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                ObjectNode body = JSON.createObjectNode().put("storeRevision", revision);
                body.set("events", events);
                return new Reply(200, body);
            }
            wait(left);
        }
    }

    private synchronized Reply transact(JsonNode call) throws IOException {
        ArrayNode present = JSON.createArrayNode();
        boolean holds = true;
        for (JsonNode row : call.path("expected")) {
            Item item = items.get(row.path("key").asText());
            holds &= row.path("revision").asLong() == (item == null ? 0 : item.revision());
            if (item != null) {
                present.add(json(item));
            }
        }
        if (!holds) {
            ObjectNode body = JSON.createObjectNode().put("storeRevision", revision);
            body.set("items", present);
            return new Reply(412, body);
        }
        for (JsonNode put : call.path("puts")) {
            long lease = put.path("lease").asLong(0);
            if (lease != 0 && !leases.containsKey(lease)) {
                return new Reply(404, JSON.createObjectNode());
            }
            String key = put.path("key").asText();
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return new Reply(403, JSON.createObjectNode());
            }
        }
        revision++;
        for (JsonNode put : call.path("puts")) {
            byte[] value = Base64.getDecoder().decode(put.path("value").asText());
            write(put.path("key").asText(), value, put.path("lease").asLong(0), revision);
        }
        call.path("deletes").forEach(key -> delete(key.asText(), revision));
        notifyAll();
        return new Reply(200, JSON.createObjectNode().put("revision", revision));
    }

    private synchronized Reply grant(long ttlMs) {
        long ttl = Math.max(1000, Math.min(600_000, ttlMs));
        lastLease++;
        leases.put(lastLease, new Lease(ttl, System.nanoTime() + ttl * 1_000_000));
        return new Reply(200, JSON.createObjectNode().put("lease", lastLease).put("ttlMs", ttl));
    }

    private synchronized Reply renew(long id) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return new Reply(404, JSON.createObjectNode());
        }
        leases.put(id, new Lease(lease.ttlMillis(), System.nanoTime() + lease.ttlMillis() * 1_000_000));
        return new Reply(200, JSON.createObjectNode().put("lease", id).put("ttlMs", lease.ttlMillis()));
    }

    private synchronized Reply end(long id) {
        if (!leases.containsKey(id)) {
            return new Reply(404, JSON.createObjectNode());
        }
        endLease(id);
        return new Reply(200, JSON.createObjectNode());
    }

    private static ObjectNode json(Item item) {
        return JSON.createObjectNode()
                .put("key", item.key())
                .put("value", Base64.getEncoder().encodeToString(item.value()))
                .put("revision", item.revision())
                .put("createdRev", item.created())
                .put("lease", item.lease());
    }
}
