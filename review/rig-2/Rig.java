import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.standins.keyvalue.KeyValueSettings;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;

/** Starts a small deployment: the key-value stand-in of the project, and entries as processes of the deploy file. */
public final class Rig implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();
    static final String HOST = "127.0.0.1";

    final KeyValueStandIn keyValue = KeyValueStandIn.start(KeyValueSettings.defaults());
    final List<Entry> entries = new ArrayList<>();
    final List<AutoCloseable> closeables = new ArrayList<>();
    final long beginNanos = System.nanoTime();
    private final Path directory;
    private final BufferedWriter record;
    private final Random random = new Random();

    public Rig(Path caseFolder) throws IOException {
        directory = Files.createTempDirectory("yuccagw-review");
        record = Files.newBufferedWriter(caseFolder.resolve("record.txt"), StandardCharsets.UTF_8);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    /** Returns whether the disruption takes place. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    long millis() {
        return (System.nanoTime() - beginNanos) / 1_000_000;
    }

    /** Writes a line to the record. */
    synchronized void note(String line) {
        try {
            record.write(String.format(Locale.ROOT, "%7d ms  %s%n", millis(), line));
            record.flush();
        } catch (IOException e) {
            System.err.println(e);
        }
    }

    /** Writes a line to the record and to standard output. */
    void say(String line) {
        note(line);
        System.out.println(line);
    }

    int freePort() throws IOException {
        for (int attempt = 0; attempt < 1000; attempt++) {
            int port = 15_000 + random.nextInt(17_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                return socket.getLocalPort();
            } catch (IOException inUse) {
                // The next one is tried.
            }
        }
        throw new IOException("no free port");
    }

    /** One entry, a process with the command of the deploy file. */
    final class Entry {
        final String name;
        final int peer;
        final int front;
        final int ready;
        final int directoryPort;
        final int relay;
        final Path settings;
        final Path log;
        Process process;

        Entry(String name, String zone, String keyValueAddress, ObjectNode bounds) throws IOException {
            this.name = name;
            peer = freePort();
            front = freePort();
            ready = freePort();
            directoryPort = freePort();
            relay = freePort();
            settings = directory.resolve(name + ".json");
            log = directory.resolve(name + ".log");
            ObjectNode platform = JSON.createObjectNode();
            platform.put("nodeName", name).put("role", "gateway").put("machineClass", "edge");
            platform.put("ip", HOST).put("zone", zone).put("region", "r");
            platform.putArray("portRange").add(peer).add(relay);
            platform.putArray("seedNodes");
            platform.putObject("zones").put(zone, "r");
            platform.putObject("listenAddrs")
                    .put("front", HOST + ":" + front)
                    .put("ready", HOST + ":" + ready)
                    .put("directory", HOST + ":" + directoryPort);
            platform.putObject("limits").put("cpuShare", 0.75).put("cores", 1).put("memoryMb", 430).put("linkMbps", 1000.0);
            platform.set("bounds", bounds);
            platform.putObject("platform").put("address", keyValueAddress).put("form", "kv");
            ObjectNode root = JSON.createObjectNode().put("log_level", "info");
            root.set("platform", platform);
            Files.write(settings, JSON.writeValueAsBytes(root));
        }

        void start() throws IOException {
            List<String> command = new ArrayList<>();
            for (String word : runLine().split(" ")) {
                command.add(word.equals("/etc/yuccagw/settings.toml") ? settings.toString() : word);
            }
            process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
            note("start " + name + " pid " + process.pid() + ", front " + front);
        }

        void signal(String signal) throws IOException, InterruptedException {
            note("SIG" + signal + " " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        boolean isReady() {
            try {
                return Http.send(ready, "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", new byte[0], 1000).status == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady(long millis) throws Exception {
            long end = System.nanoTime() + millis * 1_000_000;
            while (!isReady()) {
                if (System.nanoTime() > end || !process.isAlive()) {
                    throw new CouldNotRun(name + " is not ready");
                }
                Thread.sleep(50);
            }
            note("ready " + name);
        }
    }

    interface Case {
        int run(Rig rig) throws Exception;
    }

    /** Runs a case and ends everything that it started. Returns 1 if the rule was broken, 0 if it held, else 2. */
    static int perform(Path folder, Case work) {
        try (Rig rig = new Rig(folder)) {
            return work.run(rig);
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
            return 2;
        }
    }

    static final class CouldNotRun extends Exception {
        CouldNotRun(String message) {
            super(message);
        }
    }

    /** Returns the command of the deploy file. */
    static String runLine() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(7, line.length() - 1);
            }
        }
        throw new IOException("no run line");
    }

    /** The bounds of a small site. */
    static ObjectNode bounds() {
        return JSON.createObjectNode()
                .put("contactMs", 3000).put("drainMs", 2000).put("graceS", 8).put("lossSlackMs", 200)
                .put("configMs", 2000).put("downgradeMs", 250).put("strictRevoke", false).put("revokeMs", 5000)
                .put("retryBudgetRatio", 0.2).put("budgetWindowS", 10).put("retrySlack", 56).put("recoverS", 12)
                .put("enforceFencing", false).put("leaseMs", 3000).put("thawMs", 300).put("versionMs", 8000)
                .put("versionAllMs", 11000).put("ttl_max_s", 5);
    }

    Entry entry(String name) throws IOException {
        return entry(name, keyValue.address().toString());
    }

    Entry entry(String name, String keyValueAddress) throws IOException {
        Entry entry = new Entry(name, "a", keyValueAddress, bounds());
        entries.add(entry);
        entry.start();
        return entry;
    }

    void put(String key, ObjectNode value) throws IOException {
        keyValue.put(key, JSON.writeValueAsBytes(value));
    }

    /** A configuration without routes, with the limits of a small site. */
    static ObjectNode configuration(long version) {
        ObjectNode root = JSON.createObjectNode().put("version", version);
        root.putArray("routes");
        root.putArray("services");
        root.putObject("limits")
                .put("maxHeaderBytes", 16384).put("maxBodyBytes", 4194304)
                .put("headerTimeoutMs", 5000).put("idleTimeoutMs", 60000);
        return root;
    }

    static ObjectNode route(ObjectNode configuration, String prefix, String kind, String service, int timeoutMs, int attempts) {
        return ((ArrayNode) configuration.path("routes")).addObject()
                .put("name", prefix).put("host", "a.example").put("pathPrefix", prefix).put("kind", kind)
                .put("service", service).put("timeoutMs", timeoutMs).put("targetLatencyMs", 400)
                .put("maxAttempts", attempts).put("priority", 1);
    }

    static void plainService(ObjectNode configuration, String name) {
        ((ArrayNode) configuration.path("services")).addObject().put("name", name).put("maxConnections", 300).put("healthPath", "/healthz");
    }

    static void engineService(ObjectNode configuration, String name, String model, int slots) {
        ObjectNode engine = ((ArrayNode) configuration.path("services")).addObject()
                .put("name", name).put("maxConnections", 300).put("healthPath", "/healthz").putObject("engine");
        engine.put("slots", slots).put("kvCapacity", 50_000).put("tokenKvBytes", 1000).put("linkMbps", 1000).put("maxInflight", 8);
        engine.putArray("models").addObject().put("name", model);
    }

    static ObjectNode registration(String service, int port, String software, int slots, long born) {
        return JSON.createObjectNode()
                .put("service", service).put("address", HOST + ":" + port).put("zone", "a").put("version", software)
                .put("slots", slots).put("state", "ready").put("coldLeftMs", 0).put("sequence", 1).put("born", born);
    }

    static ObjectNode engineRegistration(String service, int port, String software, int slots, long born, String model, long version) {
        ObjectNode registration = registration(service, port, software, slots, born);
        registration.putArray("models").addObject().put("name", model).put("version", version);
        return registration;
    }

    private void endProcesses() {
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
    }

    @Override
    public void close() throws Exception {
        endProcesses();
        for (AutoCloseable closeable : closeables) {
            closeable.close();
        }
        keyValue.stop();
        if (System.getenv("KEEP_LOGS") == null) {
            try (var files = Files.list(directory)) {
                files.map(Path::toFile).forEach(File::delete);
            }
            Files.delete(directory);
        } else {
            System.out.println("logs in " + directory);
        }
    }
}
