package org.yuccagw.bench.local;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.yuccagw.core.id.NetworkAddress;

/**
 * Finds ports of the loopback address to listen on later.
 *
 * <p>They lie below the range from which systems take the ports of outgoing connections, and below those of the users'
 * platform in tests. A port of that range may be
 * free when it is looked for and taken by a connection before its listener starts, which then fails with "address
 * already in use". For the same reason a port isn't returned again by this process until thousands of others were.
 */
public final class FreePorts {
    private static final String HOST = "127.0.0.1";
    private static final int LOWEST = 10_000;
    private static final int ABOVE_HIGHEST = 15_000;
    private static final int MOST_TRIES = 200;
    private static final int MOST_REMEMBERED = (ABOVE_HIGHEST - LOWEST) / 2;

    private static final Set<Integer> RETURNED = new LinkedHashSet<>();

    private FreePorts() {}

    /** Returns an address whose port is free now and was not returned before. */
    public static synchronized NetworkAddress next() throws IOException {
        for (int i = 0; i < MOST_TRIES; i++) {
            int port = ThreadLocalRandom.current().nextInt(LOWEST, ABOVE_HIGHEST);
            if (!RETURNED.contains(port) && isFree(port)) {
                remember(port);
                return NetworkAddress.of(HOST, port);
            }
        }
        throw new IOException("no free port between " + LOWEST + " and " + ABOVE_HIGHEST);
    }

    private static void remember(int port) {
        RETURNED.add(port);
        if (RETURNED.size() > MOST_REMEMBERED) {
            Iterator<Integer> oldest = RETURNED.iterator();
            oldest.next();
            oldest.remove();
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException taken) {
            return false;
        }
    }
}
