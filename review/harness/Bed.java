import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * A small deployment on loopback: the platform's store, replicas and requesters are threads of this process; each entry
 * is a process of its own, started with the run line of deploy/system.toml. Everything runs on the real clock.
 */
final class Bed implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private final long beginNanos = System.nanoTime();
    private final PrintWriter record;
    final Store store = new Store();
    final Path directory;
    final List<Entry> entries = new ArrayList<>();
    final List<Endpoint> endpoints = new CopyOnWriteArrayList<>();

    Bed(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        directory = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        log("trouble " + (TROUBLE ? "on" : "off"));
    }

    /** A case: returns HELD, BROKEN or NOT_RUN. */
    interface Case {
        int play(Bed bed) throws Exception;
    }

    static void main(String recordFile, Case played) throws Exception {
        int result = NOT_RUN;
        spawn(() -> {
            sleep(110_000);
            System.out.println("the case took too long");
            System.exit(NOT_RUN);
        });
        try (Bed bed = new Bed(recordFile)) {
            try {
                result = played.play(bed);
            } catch (Exception | Error e) {
                bed.log("the case could not run: " + e);
                e.printStackTrace();
            }
            bed.log("exit " + result);
        }
        Runtime.getRuntime().halt(result);
    }

    long millis() {
        return (System.nanoTime() - beginNanos) / 1_000_000;
    }

    synchronized void log(String line) {
        String text = millis() + " " + line;
        record.println(text);
        System.out.println(text);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static boolean await(long millis, BooleanSupplier condition) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() - end < 0) {
            if (condition.getAsBoolean()) {
                return true;
            }
            sleep(50);
        }
        return condition.getAsBoolean();
    }

    static Thread spawn(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static final java.util.Set<Integer> USED_PORTS = new java.util.HashSet<>();

    static synchronized int freePort() throws IOException {
        // Below the ports that Linux hands to outgoing connections, so that no connection takes it before the entry.
        for (int tries = 0; tries < 2000; tries++) {
            int port = 10_000 + (int) (Math.random() * 20_000);
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress("127.0.0.1", port));
                if (!USED_PORTS.add(port)) {
                    continue;
                }
                return port;
            } catch (IOException used) {
                // The next one.
            }
        }
        throw new IOException("no free port");
    }

    // ---- Entries

    final class Entry {
        final String name;
        final int front = freePort();
        final int ready = freePort();
        final int control = freePort();
        final int directoryPort = freePort();
        final int range = freePort();
        final Path settings;
        Process process;

        Entry(String name) throws IOException {
            this.name = name;
            this.settings = directory.resolve(name + ".json");
        }

        void writeSettings(String zone, String seeds) throws IOException {
            // The fields of DEPLOY.md, "Settings of a process", as the template deploy/settings.json takes them.
            String fields = "{\"nodeName\":\"" + name + "\",\"role\":\"gateway\",\"machineClass\":\"edge\","
                    + "\"serves\":[\"edge\",\"control\",\"directory\"],\"ip\":\"127.0.0.1\",\"zone\":\"" + zone + "\","
                    + "\"region\":\"tallinn\",\"portRange\":[" + range + "," + range + "],\"seedNodes\":[" + seeds + "],"
                    + "\"bootstrap\":true,\"faultCounted\":false,\"discovery\":\"platform\",\"entry\":\"directory\","
                    + "\"heartbeatMs\":1200,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\","
                    + "\"recover\",\"kvcache\",\"stream\",\"engine\",\"tenants\",\"platform\"],"
                    + "\"zones\":{\"ulemiste\":\"tallinn\",\"mustamae\":\"tallinn\",\"kadaka\":\"tallinn\"},"
                    + "\"listenAddrs\":{\"front\":\"127.0.0.1:" + front + "\",\"ready\":\"127.0.0.1:" + ready
                    + "\",\"control\":\"127.0.0.1:" + control + "\",\"directory\":\"127.0.0.1:" + directoryPort + "\"},"
                    + "\"limits\":{\"cpuShare\":0.75,\"cores\":1,\"memoryMb\":430,\"maxFds\":4100,\"linkMbps\":1000.0,"
                    + "\"diskMb\":0},\"faultTolerance\":{\"machines\":2,\"zones\":0,\"regions\":0},"
                    + "\"bounds\":{\"seedLagS\":3,\"reuseAfterS\":2,\"contactMs\":3000,\"ackMs\":4000,\"catchUpS\":4,"
                    + "\"drainMs\":2000,\"graceS\":8,\"lossSlackMs\":200,\"configMs\":2000,\"downgradeMs\":250,"
                    + "\"skewMs\":5000,\"strictRevoke\":false,\"revokeMs\":5000,\"retryBudgetRatio\":0.2,"
                    + "\"budgetWindowS\":10,\"retrySlack\":56,\"recoverS\":12,\"transitMs\":120,\"reuseWindowS\":20,"
                    + "\"enforceFencing\":false,\"leaseMs\":3000,\"thawMs\":300,\"versionMs\":8000,"
                    + "\"versionAllMs\":11000,\"ttl_max_s\":5},"
                    + "\"platform\":{\"address\":\"" + store.address() + "\",\"form\":\"kv\",\"writesPerS\":400,"
                    + "\"readsPerS\":2000,\"historyS\":20,\"valueBytes\":1048576,\"ttlMinMs\":1000}}";
            String template = Files.readString(Path.of("deploy", "settings.json"));
            Files.writeString(settings, template.replace("{{.|json}}", fields));
        }

        void start() throws IOException {
            List<String> command = new ArrayList<>(List.of(runLine().split(" ")));
            command.set(command.indexOf("/etc/yuccagw/settings.toml"), settings.toString());
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("YUCCAGW_CONFIG", settings.toString());
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
            process = builder.start();
            log(name + " started, process " + process.pid() + ", front " + front);
        }

        Path logFile() {
            return directory.resolve(name + ".log");
        }

        void kill() throws Exception {
            process.destroyForcibly();
            process.waitFor(10, TimeUnit.SECONDS);
            log(name + " killed");
        }

        void signal(String signal) throws Exception {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            log(name + " got SIG" + signal);
        }

        /** Returns the status of readyz, 0 if there is no answer within a second. */
        int readyStatus() {
            try (Client client = new Client(ready, 1000)) {
                client.send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
                return client.answer().status;
            } catch (IOException e) {
                return 0;
            }
        }
    }

    private static String runLine() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy", "system.toml"))) {
            if (line.startsWith("run = ")) {
                return line.substring("run = \"".length(), line.length() - 1);
            }
        }
        throw new IOException("no run line");
    }

    void startEntries(int count) throws Exception {
        String[] zones = {"ulemiste", "mustamae", "kadaka"};
        StringBuilder seeds = new StringBuilder();
        for (int i = 0; i < count; i++) {
            Entry entry = new Entry("edge-" + zones[i % 3] + "-" + (i / 3 + 1));
            entries.add(entry);
            if (i < 3) {
                seeds.append(i == 0 ? "" : ",").append("\"127.0.0.1:" + entry.control + "\"");
            }
        }
        for (int i = 0; i < count; i++) {
            entries.get(i).writeSettings(zones[i % 3], seeds.toString());
            entries.get(i).start();
        }
        for (Entry entry : entries) {
            if (!await(30_000, () -> entry.readyStatus() == 200)) {
                List<String> lines = Files.readAllLines(entry.logFile());
                lines.subList(Math.max(0, lines.size() - 15), lines.size()).forEach(line -> log("  " + line));
                throw new IllegalStateException(entry.name + " is not ready");
            }
        }
        log("all entries are ready");
    }

    @Override
    public void close() {
        for (Entry entry : entries) {
            if (entry.process != null) {
                entry.process.destroyForcibly();
                try {
                    entry.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        if (System.getenv("KEEP") == null) {
            try (var files = Files.walk(directory)) {
                files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } catch (IOException ignored) {
                // Nothing is left there.
            }
        }
    }

    // ---- What operators and endpoints write

    void put(String key, String value) {
        store.put(key, bytes(value));
        log("store " + key + " = " + (value.length() > 200 ? value.length() + " bytes, " + value.substring(0, 30)
                + "..." : value));
    }

    static String route(String name, String prefix, String kind, String service, int timeoutMs, int attempts,
            String more) {
        return "{\"name\":\"" + name + "\",\"host\":\"a.example\",\"pathPrefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"service\":\"" + service + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":150,"
                + "\"maxAttempts\":" + attempts + ",\"priority\":1" + more + "}";
    }

    static String config(long version, List<String> routes, List<String> services, String more) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                + String.join(",", services) + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}" + more + "}";
    }

    static String plainService(String name) {
        return "{\"name\":\"" + name + "\",\"slots\":6,\"maxConnections\":110,\"healthPath\":\"/healthz\"}";
    }

    void register(Endpoint endpoint, String state) {
        put("servers/" + endpoint.id, endpoint.registration(state));
    }

    // ---- An endpoint

    static class Request {
        String line;
        String method;
        String path;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String id() {
            return header("Yuccagw-Request-Id");
        }
    }

    interface Behaviour {
        /** Answers a request; returns whether the connection is kept. */
        boolean answer(Endpoint endpoint, Request request, Socket socket, InputStream in, OutputStream out)
                throws Exception;
    }

    /** A sound plain endpoint, except for what its behaviour does. */
    final class Endpoint {
        final String id;
        final String service;
        final String zone;
        final ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        final long born = System.currentTimeMillis();
        final List<Request> runs = new CopyOnWriteArrayList<>();
        volatile Behaviour behaviour = Bed::sound;
        volatile String models = "";

        Endpoint(String id, String service, String zone) throws IOException {
            this.id = id;
            this.service = service;
            this.zone = zone;
            endpoints.add(this);
            spawn(() -> {
                while (!server.isClosed()) {
                    try {
                        Socket socket = server.accept();
                        spawn(() -> serve(socket));
                    } catch (IOException closed) {
                        return;
                    }
                }
            });
        }

        String registration(String state) {
            return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + server.getLocalPort()
                    + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"" + state
                    + "\",\"coldLeftMs\":0,\"sequence\":1,\"born\":" + born + models + "}";
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (Request request = readRequest(in); request != null; request = readRequest(in)) {
                    if (!request.header("Yuccagw-Expect-Instance").isEmpty()
                            && !request.header("Yuccagw-Expect-Instance").equals(id)) {
                        out.write(bytes("HTTP/1.1 421 Misdirected Request\r\nYuccagw-Instance-Id: " + id
                                + "\r\nContent-Length: 0\r\n\r\n"));
                        continue;
                    }
                    if (request.path.equals("/healthz")) {
                        out.write(bytes("HTTP/1.1 200 OK\r\nYuccagw-Instance-Id: " + id
                                + "\r\nContent-Length: 0\r\n\r\n"));
                        continue;
                    }
                    if (!behaviour.answer(this, request, socket, in, out)) {
                        return;
                    }
                }
            } catch (Exception ended) {
                // The other side has closed the connection.
            }
        }

        void run(Request request) {
            runs.add(request);
            log(id + " runs " + request.id() + " " + request.line);
        }
    }

    static boolean sound(Endpoint endpoint, Request request, Socket socket, InputStream in, OutputStream out)
            throws Exception {
        endpoint.run(request);
        sleep(20);
        out.write(bytes(head(request) + "Content-Length: 4\r\n\r\nbody"));
        out.flush();
        return true;
    }

    static String head(Request request) {
        return "HTTP/1.1 200 OK\r\nYuccagw-Request-Id: " + request.id() + "\r\nYuccagw-Response-Seal: seal." + request.id()
                + "\r\n";
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            line.write(next);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    static Request readHead(InputStream in) throws IOException {
        Request request = new Request();
        request.line = readLine(in);
        if (request.line == null) {
            return null;
        }
        String[] words = request.line.split(" ");
        request.method = words[0];
        request.path = words.length > 1 ? words[1] : "";
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            request.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return request;
    }

    static Request readRequest(InputStream in) throws IOException {
        Request request = readHead(in);
        if (request != null) {
            request.body = readBody(in, request.headers, false);
        }
        return request;
    }

    static byte[] readBody(InputStream in, Map<String, String> headers, boolean untilEnd) throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new IOException("cut in a chunk");
                }
                int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                if (length == 0) {
                    while (true) {
                        String trailer = readLine(in);
                        if (trailer == null) {
                            throw new IOException("cut after the last chunk");
                        }
                        if (trailer.isEmpty()) {
                            return body.toByteArray();
                        }
                    }
                }
                byte[] chunk = in.readNBytes(length);
                if (chunk.length < length) {
                    throw new IOException("cut in a chunk");
                }
                body.writeBytes(chunk);
                readLine(in);
            }
        }
        if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            byte[] body = in.readNBytes(length);
            if (body.length < length) {
                throw new IOException("cut in the body");
            }
            return body;
        }
        return untilEnd ? in.readAllBytes() : new byte[0];
    }

    // ---- A caller

    static final class Answer {
        int status;
        Map<String, String> headers;
        byte[] body;

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;

        Client(int port, int timeoutMillis) throws IOException {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            in = new java.io.BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void send(String text) throws IOException {
            out.write(bytes(text));
            out.flush();
        }

        Answer answer() throws IOException {
            return answer(false);
        }

        Answer answer(boolean withoutBody) throws IOException {
            Request head = readHead(in);
            if (head == null) {
                throw new IOException("closed without an answer");
            }
            Answer answer = new Answer();
            answer.status = Integer.parseInt(head.line.split(" ")[1]);
            answer.headers = head.headers;
            answer.body = withoutBody ? new byte[0] : readBody(in, head.headers, true);
            return answer;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static String request(String method, String path, String id, int deadlineMs, String more, int length) {
        return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nYuccagw-Request-Id: " + id
                + "\r\nYuccagw-Deadline-Ms: " + deadlineMs + "\r\n" + more
                + (length >= 0 ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    }

    /** Sends one request on a new connection; returns its status, 0 after a close, -1 without an answer in time. */
    int call(Entry entry, String method, String path, String id, int deadlineMs, String more, byte[] body) {
        long sent = millis();
        int status;
        try (Client client = new Client(entry.front, deadlineMs)) {
            client.send(request(method, path, id, deadlineMs, more, body == null ? -1 : body.length));
            if (body != null) {
                client.out.write(body);
                client.out.flush();
            }
            status = client.answer().status;
        } catch (SocketTimeoutException e) {
            status = -1;
        } catch (IOException e) {
            status = 0;
        }
        log("request " + id + " at " + entry.name + " sent at " + sent + ": "
                + (status > 0 ? "status " + status : status == 0 ? "closed" : "no answer"));
        return status;
    }
}
