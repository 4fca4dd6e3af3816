package org.yuccagw.bench.local;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.settings.GatewaySettings;
import org.yuccagw.adapters.telemetry.DecisionLog;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.follow.KeyValueRecord;
import org.yuccagw.core.follow.KeyValueRecordCodec;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.daemon.GatewayDaemon;
import org.yuccagw.platform.GatewaySettingsReader;
import org.yuccagw.platform.PlatformRecords;
import org.yuccagw.standins.keyvalue.KeyValueSettings;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;
import org.yuccagw.standins.platform.SmallDeployment;
import org.yuccagw.standins.platform.SuccessEndpoint;

/**
 * Starts two entries against a stand-in of the key-value service and sends them some requests, all on loopback.
 *
 * <p>Registrations of entries that aren't there make them take the fleet for a large one, in which one of the two leads
 * and the other has its requests placed by it. A small fleet needs fewer classes, which are among these.
 *
 * <p>What a restarted entry needs first should run here, since the build archives the classes that it loads.
 */
public final class Rehearsal {
    private static final int REQUESTS = 20;

    /** With the two that are there more than fit a mesh. */
    private static final int ABSENT_ENTRIES = 20;

    /**
     * A lead whose classes are being loaded may answer its first question too late, and isn't asked again for 0.6 s:
     * so the requests go on for five times as long.
     */
    private static final int ROUNDS_WITH_LEAD = 12;

    private static final Duration BETWEEN_ROUNDS = Duration.ofMillis(250);

    private static final Duration LONGEST_START = Duration.ofSeconds(20);

    /** Three times what it takes without an archive on an idle machine. */
    private static final Duration LOADING_THE_LOG = Duration.ofSeconds(2);

    private Rehearsal() {}

    /** Runs it to its end, within seconds. */
    public static void run() throws YuccagwException, IOException, InterruptedException {
        KeyValueStandIn keyValue = KeyValueStandIn.start(KeyValueSettings.defaults());
        HttpClient caller = HttpClient.start(1);
        GatewaySettings settings = settings("rehearsal-1", keyValue);
        GatewaySettings otherSettings = settings("rehearsal-2", keyValue);
        listAbsentEntries(keyValue, settings);
        long startedNanos = System.nanoTime();
        GatewayDaemon daemon = GatewayDaemon.start(settings);
        GatewayDaemon other = GatewayDaemon.start(otherSettings);
        SuccessEndpoint endpoint = SuccessEndpoint.start();
        SmallDeployment deployment = SmallDeployment.at(endpoint.address());
        deployment.publish(keyValue);
        long until = System.nanoTime() + LONGEST_START.toNanos();
        while (status(caller, settings.readiness(), SmallDeployment.READINESS) != 200
                && System.nanoTime() - until < 0) {
            LockSupport.parkNanos(Duration.ofMillis(20).toNanos());
        }
        sendSome(caller, settings);
        awaitLog(startedNanos);
        for (int round = 0; round < ROUNDS_WITH_LEAD; round++) {
            sendSome(caller, settings);
            sendSome(caller, otherSettings);
            LockSupport.parkNanos(BETWEEN_ROUNDS.toNanos());
        }
        daemon.halt();
        other.halt();
        caller.stop();
        endpoint.stop();
        keyValue.stop();
    }

    private static void listAbsentEntries(KeyValueStandIn keyValue, GatewaySettings settings) {
        for (int index = 0; index < ABSENT_ENTRIES; index++) {
            EntryContact contact = new EntryContact(
                    EntryId.of("absent-" + index),
                    1,
                    settings.domain(),
                    NetworkAddress.of("127.0.0.1", 1),
                    NetworkAddress.of("127.0.0.1", 1),
                    Optional.empty(),
                    1);
            KeyValueRecordCodec.Entry entry = PlatformRecords.create().encode(new KeyValueRecord.EntryListed(contact));
            keyValue.put(entry.key(), entry.value());
        }
    }

    private static void sendSome(HttpClient caller, GatewaySettings to) throws InterruptedException {
        for (int request = 0; request < REQUESTS; request++) {
            status(caller, to.directory(), SmallDeployment.DIRECTORY);
            status(caller, to.callers(), SmallDeployment.PLAIN + request);
            send(caller, SmallDeployment.prompt(to.callers(), SmallDeployment.PROMPTS + request));
        }
    }

    /** The logging library, which is loaded late, belongs to what has to be archived. */
    private static void awaitLog(long startedNanos) {
        long until = startedNanos
                + DecisionLog.INITIAL_WRITE_DELAY.plus(LOADING_THE_LOG).toNanos();
        while (System.nanoTime() - until < 0) {
            LockSupport.parkNanos(until - System.nanoTime());
        }
    }

    private static GatewaySettings settings(String entry, KeyValueStandIn keyValue)
            throws YuccagwException, IOException {
        return GatewaySettingsReader.parse(
                SmallDeployment.settings(entry, keyValue.address(), SmallDeployment.freePorts(4)));
    }

    private static int status(HttpClient caller, NetworkAddress address, String path) throws InterruptedException {
        return send(caller, SmallDeployment.request(address, path));
    }

    private static int send(HttpClient caller, HttpRequest query) throws InterruptedException {
        try {
            HttpResponse answer = caller.send(query).get(2, TimeUnit.SECONDS);
            return answer.status();
        } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException ignored) {
            // Not listening yet, or refused: either way the path was taken.
            return 0;
        }
    }
}
