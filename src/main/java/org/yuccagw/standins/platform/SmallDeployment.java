package org.yuccagw.standins.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.standins.http.StandInJson;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;

/**
 * The configuration, settings and requests of a small deployment: one route to a plain endpoint, one route for prompts
 * to an engine, and one cache store.
 */
public final class SmallDeployment {
    /** Path that returns whether an entry accepts requests. */
    public static final String READINESS = "/readyz";

    /** Path that returns the entries for callers in domain {@code a}. */
    public static final String DIRECTORY = "/resolve?name=a.example&zone=a";

    /** Path prefix of the route to the plain endpoint. */
    public static final String PLAIN = "/plain/";

    /** Path prefix of the route for prompts. */
    public static final String PROMPTS = "/prompts/";

    private static final String HOST = "a.example";
    private static final String DOMAIN = "a";
    private static final String MODEL = "model";
    private static final int TIMEOUT_MILLIS = 500;
    private static final long STORE_TOKENS = 100_000;
    private static final String LOOPBACK = "127.0.0.1";

    /** Lower ports are found at random for the product's own deployments. */
    private static final int LOWEST_PORT = 15_000;

    /** By default, Linux assigns ports from 32768 on to outgoing connections. */
    private static final int LOWEST_EPHEMERAL_PORT = 32_768;

    /**
     * Twice the need of all tests, rounded up: 60 entries with four ports each, and 40 further ports, are 280 ports.
     */
    private static final int PORTS_PER_PROCESS = 560;

    private static final int PORT_BLOCKS = (LOWEST_EPHEMERAL_PORT - LOWEST_PORT) / PORTS_PER_PROCESS;

    private static final int FIRST_PORT =
            LOWEST_PORT + (int) (ProcessHandle.current().pid() % PORT_BLOCKS) * PORTS_PER_PROCESS;

    private static int triedPorts;

    private final NetworkAddress endpoint;

    private SmallDeployment(NetworkAddress endpoint) {
        this.endpoint = endpoint;
    }

    /** Returns a deployment whose endpoints and store all have this address. */
    public static SmallDeployment at(NetworkAddress endpoint) {
        return new SmallDeployment(endpoint);
    }

    /** Writes the configuration and the registrations of the endpoints. */
    public void publish(KeyValueStandIn keyValue) {
        keyValue.put(PlatformDocuments.CONFIGURATION, configuration());
        keyValue.put(
                PlatformDocuments.endpointKey("plain-1"), PlatformDocuments.endpoint("plain", endpoint, DOMAIN, false));
        keyValue.put(
                PlatformDocuments.endpointKey("engine-1"),
                PlatformDocuments.engine("engines", endpoint, DOMAIN, MODEL, 1));
    }

    /**
     * Returns the settings of an entry; the ports are those of peers, callers, readiness and directory, in this order.
     * A fifth port ends the range that starts with the port of peers.
     */
    public static byte[] settings(String entry, NetworkAddress keyValue, List<Integer> ports) {
        ObjectNode root = StandInJson.object();
        ObjectNode platform = root.putObject("platform");
        platform.put("nodeName", entry).put("zone", DOMAIN).put("ip", LOOPBACK);
        ArrayNode portRange = platform.putArray("portRange").add(ports.get(0));
        ports.stream().skip(4).forEach(portRange::add);
        platform.putObject("listenAddrs")
                .put("front", LOOPBACK + ":" + ports.get(1))
                .put("ready", LOOPBACK + ":" + ports.get(2))
                .put("directory", LOOPBACK + ":" + ports.get(3));
        platform.putObject("bounds");
        platform.putObject("platform").put("address", keyValue.toString());
        return StandInJson.bytes(root);
    }

    /**
     * Returns free ports, each of which is returned only once by this process.
     *
     * <p>The ports lie below the ephemeral ports. The kernel could assign an ephemeral port to a connection between
     * this call and the start of an entry, which would then fail to listen. Concurrent processes use different blocks
     * of ports, selected by their process id.
     *
     * @throws IOException if the block of this process has no free port left
     */
    public static synchronized List<Integer> freePorts(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        while (ports.size() < count) {
            if (triedPorts == PORTS_PER_PROCESS) {
                throw new IOException("no free port left from " + FIRST_PORT);
            }
            int port = FIRST_PORT + triedPorts;
            triedPorts++;
            if (isFree(port)) {
                ports.add(port);
            }
        }
        return ports;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port)) {
            return socket.isBound();
        } catch (IOException portInUse) {
            // The port is in use, which is no error: the caller tries the next port.
            return false;
        }
    }

    /** Returns a request of a caller. */
    public static HttpRequest request(NetworkAddress entry, String path) {
        return HttpRequest.get(entry, path)
                .withHeader("Host", HOST)
                .withHeader("Yuccagw-Request-Id", "request-1")
                .withHeader("Yuccagw-Deadline-Ms", "500");
    }

    /** Returns a request of a caller with a prompt of two parts. */
    public static HttpRequest prompt(NetworkAddress entry, String path) {
        return request(entry, path)
                .withHeader("Yuccagw-Model", MODEL)
                .withHeader("Yuccagw-Token-Usage", "900,50")
                .withHeader("Yuccagw-Prefix-Hash", "aa:800,bb:100");
    }

    private byte[] configuration() {
        return PlatformDocuments.configuration(1)
                .route(PLAIN, "idempotent", "plain", TIMEOUT_MILLIS, 2)
                .route(PROMPTS, "streaming", "engines", TIMEOUT_MILLIS, 2)
                .resumable()
                .plain("plain")
                .engines("engines", MODEL)
                .store("store", endpoint, DOMAIN, STORE_TOKENS, 1)
                .bytes();
    }
}
