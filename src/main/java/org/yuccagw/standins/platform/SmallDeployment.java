package org.yuccagw.standins.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.standins.http.StandInJson;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;

/** The configuration, settings and requests of the smallest deployment: one route to one plain endpoint. */
public final class SmallDeployment {
    /** Asks whether an entry takes requests. */
    public static final String READINESS = "/readyz";

    /** Asks which entries to use. */
    public static final String DIRECTORY = "/resolve?name=a.example&zone=a";

    /** Prefix of the route. */
    public static final String PLAIN = "/plain/";

    private static final String HOST = "a.example";
    private static final String LOOPBACK = "127.0.0.1";

    private final NetworkAddress endpoint;

    private SmallDeployment(NetworkAddress endpoint) {
        this.endpoint = endpoint;
    }

    /** A deployment whose endpoint listens there. */
    public static SmallDeployment at(NetworkAddress endpoint) {
        return new SmallDeployment(endpoint);
    }

    /** Writes the configuration and the endpoint's registration. */
    public void publish(KeyValueStandIn keyValue) {
        keyValue.put("op/config", configuration());
        keyValue.put("servers/r-1", registration());
    }

    /** Settings of an entry; the ports are for peers, callers, readiness and directory. */
    public static byte[] settings(String entry, NetworkAddress keyValue, List<Integer> ports) {
        ObjectNode root = StandInJson.object();
        ObjectNode told = root.putObject("platform");
        told.put("nodeName", entry).put("zone", "a").put("ip", LOOPBACK);
        told.putArray("portRange").add(ports.get(0));
        told.putObject("listenAddrs")
                .put("front", LOOPBACK + ":" + ports.get(1))
                .put("ready", LOOPBACK + ":" + ports.get(2))
                .put("directory", LOOPBACK + ":" + ports.get(3));
        told.putObject("bounds");
        told.putObject("platform").put("address", keyValue.toString());
        return StandInJson.bytes(root);
    }

    /** Ports that were free a moment ago. */
    public static List<Integer> freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            ServerSocket socket = new ServerSocket(0);
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    /** A request as a caller sends it. */
    public static HttpQuery request(NetworkAddress entry, String path) {
        return HttpQuery.get(entry, path)
                .withHeader("Host", HOST)
                .withHeader("Yuccagw-Request-Id", "request-1")
                .withHeader("Yuccagw-Deadline-Ms", "500");
    }

    private static byte[] configuration() {
        ObjectNode root = StandInJson.object();
        root.put("version", 1);
        root.putArray("routes")
                .addObject()
                .put("name", "plain")
                .put("host", HOST)
                .put("pathPrefix", PLAIN)
                .put("kind", "idempotent")
                .put("timeoutMs", 500)
                .put("service", "plain")
                .put("maxAttempts", 2)
                .put("noAuth", true);
        root.putArray("services").addObject().put("name", "plain");
        root.putObject("limits");
        root.putArray("tenants");
        return StandInJson.bytes(root);
    }

    private byte[] registration() {
        String registration = "{\"service\":\"plain\",\"address\":\"" + endpoint
                + "\",\"zone\":\"a\",\"slots\":4,\"state\":\"ready\"}";
        return registration.getBytes(StandardCharsets.UTF_8);
    }
}
