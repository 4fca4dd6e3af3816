package org.yuccagw.bench.local;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.yuccagw.adapters.http.HttpAnswer;
import org.yuccagw.adapters.http.HttpCaller;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.adapters.settings.GatewaySettings;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.daemon.GatewayDaemon;
import org.yuccagw.platform.GatewaySettingsReader;
import org.yuccagw.standins.keyvalue.KeyValueSettings;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;
import org.yuccagw.standins.platform.SmallDeployment;

/** Starts an entry against a stand-in of the key-value service and sends it some requests, all on loopback. */
public final class Rehearsal {
    private static final int REQUESTS = 20;
    private static final Duration LONGEST_START = Duration.ofSeconds(20);

    private Rehearsal() {}

    /** Runs it to its end, within seconds. */
    public static void run() throws YuccagwException, IOException, InterruptedException {
        KeyValueStandIn keyValue = KeyValueStandIn.start(KeyValueSettings.usual());
        HttpCaller caller = HttpCaller.start(1);
        GatewaySettings settings = GatewaySettingsReader.parse(
                SmallDeployment.settings("rehearsal", keyValue.address(), SmallDeployment.freePorts(4)));
        GatewayDaemon daemon = GatewayDaemon.start(settings);
        SmallDeployment deployment = SmallDeployment.at(keyValue.address());
        deployment.publish(keyValue);
        long until = System.nanoTime() + LONGEST_START.toNanos();
        while (status(caller, settings.readiness(), SmallDeployment.READINESS) != 200
                && System.nanoTime() - until < 0) {
            LockSupport.parkNanos(Duration.ofMillis(20).toNanos());
        }
        for (int request = 0; request < REQUESTS; request++) {
            status(caller, settings.directory(), SmallDeployment.DIRECTORY);
            status(caller, settings.callers(), SmallDeployment.PLAIN + request);
        }
        daemon.halt();
        caller.stop();
        keyValue.stop();
    }

    private static int status(HttpCaller caller, NetworkAddress address, String path) throws InterruptedException {
        HttpQuery query = SmallDeployment.request(address, path);
        try {
            HttpAnswer answer = caller.send(query).get(2, TimeUnit.SECONDS);
            return answer.status();
        } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException ignored) {
            // Not listening yet, or refused: either way the path was taken.
            return 0;
        }
    }
}
