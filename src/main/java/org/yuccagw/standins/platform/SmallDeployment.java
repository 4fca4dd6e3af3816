package org.yuccagw.standins.platform;

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
 * The configuration, settings and requests of a small deployment: a route to one plain endpoint and one for prompts to
 * one engine, beside one cache store.
 */
public final class SmallDeployment {
    /** Asks whether an entry takes requests. */
    public static final String READINESS = "/readyz";

    /** Asks which entries to use. */
    public static final String DIRECTORY = "/resolve?name=a.example&zone=a";

    /** Prefix of the route. */
    public static final String PLAIN = "/plain/";

    /** Prefix of the route for prompts. */
    public static final String PROMPTS = "/prompts/";

    private static final String HOST = "a.example";
    private static final String DOMAIN = "a";
    private static final String MODEL = "model";
    private static final int TIMEOUT_MILLIS = 500;
    private static final long STORE_TOKENS = 100_000;
    private static final String LOOPBACK = "127.0.0.1";

    private static final int LOWEST_PORT = 10_000;

    /** Linux gives connections the ports from 32768 on unless told otherwise. */
    private static final int LOWEST_PORT_OF_THE_KERNEL = 32_768;

    /** All tests together start 35 entries with four ports each and ask for 40 ports more: 180, doubled. */
    private static final int PORTS_OF_ONE_PROCESS = 400;

    private static final int PROCESSES = (LOWEST_PORT_OF_THE_KERNEL - LOWEST_PORT) / PORTS_OF_ONE_PROCESS;

    private static final int FIRST_PORT_OF_THIS_PROCESS =
            LOWEST_PORT + (int) (ProcessHandle.current().pid() % PROCESSES) * PORTS_OF_ONE_PROCESS;

    private static int portsTried;

    private final NetworkAddress endpoint;

    private SmallDeployment(NetworkAddress endpoint) {
        this.endpoint = endpoint;
    }

    /** A deployment whose endpoints and store all listen there. */
    public static SmallDeployment at(NetworkAddress endpoint) {
        return new SmallDeployment(endpoint);
    }

    /** Writes the configuration and the endpoints' registrations. */
    public void publish(KeyValueStandIn keyValue) {
        keyValue.put(PlatformDocuments.CONFIGURATION, configuration());
        keyValue.put(
                PlatformDocuments.endpointKey("plain-1"), PlatformDocuments.endpoint("plain", endpoint, DOMAIN, false));
        keyValue.put(
                PlatformDocuments.endpointKey("engine-1"),
                PlatformDocuments.engine("engines", endpoint, DOMAIN, MODEL, 1));
    }

    /** Settings of an entry; the ports are for peers, callers, readiness and directory. */
    public static byte[] settings(String entry, NetworkAddress keyValue, List<Integer> ports) {
        ObjectNode root = StandInJson.object();
        ObjectNode told = root.putObject("platform");
        told.put("nodeName", entry).put("zone", DOMAIN).put("ip", LOOPBACK);
        told.putArray("portRange").add(ports.get(0));
        told.putObject("listenAddrs")
                .put("front", LOOPBACK + ":" + ports.get(1))
                .put("ready", LOOPBACK + ":" + ports.get(2))
                .put("directory", LOOPBACK + ":" + ports.get(3));
        told.putObject("bounds");
        told.putObject("platform").put("address", keyValue.toString());
        return StandInJson.bytes(root);
    }

    /**
     * Ports that are free, each handed out once by this process.
     *
     * <p>They lie below those that the kernel chooses by itself: one of these may go to any connection between this
     * call and the moment when an entry listens, and then the entry can't start. Processes that run side by side begin
     * in different blocks, by their process number.
     *
     * @throws IOException when the block has no free ports left
     */
    public static synchronized List<Integer> freePorts(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        while (ports.size() < count) {
            if (portsTried == PORTS_OF_ONE_PROCESS) {
                throw new IOException("no free port left from " + FIRST_PORT_OF_THIS_PROCESS);
            }
            int port = FIRST_PORT_OF_THIS_PROCESS + portsTried;
            portsTried++;
            if (isFree(port)) {
                ports.add(port);
            }
        }
        return ports;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port)) {
            return socket.isBound();
        } catch (IOException taken) {
            // Not an error: something listens there, so the next one is tried.
            return false;
        }
    }

    /** A request as a caller sends it. */
    public static HttpRequest request(NetworkAddress entry, String path) {
        return HttpRequest.get(entry, path)
                .withHeader("Host", HOST)
                .withHeader("Yuccagw-Request-Id", "request-1")
                .withHeader("Yuccagw-Deadline-Ms", "500");
    }

    /** A prompt of two parts as a caller sends it. */
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
