package org.yuccagw.process;

import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.bench.local.FreePorts;
import org.yuccagw.cli.YuccagwTool;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.faults.FaultProxy;
import org.yuccagw.standins.http.StandInJson;

/** An entry daemon in a process of its own. Its way to the key-value service and to its callers leads over proxies. */
final class EntryProcess {
    static final String OPERATOR_KEY_HASH = "c9736463f555cdb7d2a78cfd7aa8b8c4f09d906d78f8dab9228eda30a28c2818";
    private static final Duration START = Duration.ofSeconds(90);
    private static final String TOKEN_KEY = "0f1e2d3c4b5a69788796a5b4c3d2e1f00f1e2d3c4b5a69788796a5b4c3d2e1f0";

    private final String name;
    private final String domain;
    private final HttpClient http;
    private final FaultProxy keyValue;
    private final NetworkAddress vmList;
    private final FaultProxy callers;
    private NetworkAddress caller;
    private NetworkAddress admin;
    private NetworkAddress peer;
    private JvmProcess process;

    private EntryProcess(String name, String domain, HttpClient http, FaultProxy keyValue, NetworkAddress vmList)
            throws IOException {
        this.name = name;
        this.domain = domain;
        this.http = http;
        this.keyValue = keyValue;
        this.vmList = vmList;
        takeNewAddresses();
        this.callers = FaultProxy.start(caller);
    }

    /** An entry with free addresses that doesn't run yet. */
    static EntryProcess create(String name, String domain, HttpClient http, FaultProxy keyValue, NetworkAddress vmList)
            throws IOException {
        return new EntryProcess(name, domain, http, keyValue, vmList);
    }

    String name() {
        return name;
    }

    String domain() {
        return domain;
    }

    /** Where callers of tests connect: the proxy. */
    NetworkAddress callerAddress() {
        return callers.address();
    }

    /** The address that the entry itself names in the directory. */
    NetworkAddress directAddress() {
        return caller;
    }

    NetworkAddress adminAddress() {
        return admin;
    }

    NetworkAddress peerAddress() {
        return peer;
    }

    FaultProxy callerProxy() {
        return callers;
    }

    FaultProxy keyValueProxy() {
        return keyValue;
    }

    JvmProcess process() {
        return process;
    }

    /** Starts it where it was before. */
    void start() throws IOException {
        Path settings = Files.createTempFile(JvmProcess.directory(), name + "-", ".json");
        Files.write(settings, StandInJson.bytes(settings()));
        process = JvmProcess.start(
                name,
                YuccagwTool.class,
                "entry",
                "--settings",
                settings.toAbsolutePath().toString());
    }

    /** From the next start on it listens elsewhere. */
    void moveElsewhere() throws IOException {
        takeNewAddresses();
        callers.retarget(caller);
    }

    void awaitUp() {
        await().atMost(START).until(() -> answersOk("/healthz"));
    }

    void awaitReady() {
        await().atMost(START).until(() -> answersOk("/readyz"));
    }

    boolean isReady() throws Exception {
        return answersOk("/readyz");
    }

    void stop() throws InterruptedException {
        callers.stop();
        keyValue.stop();
        if (process != null) {
            process.kill();
        }
    }

    private boolean answersOk(String path) throws Exception {
        if (!process.isAlive()) {
            throw new IllegalStateException(name + " has ended");
        }
        try {
            return http.send(HttpQuery.get(admin, path))
                    .get(10, TimeUnit.SECONDS)
                    .isSuccess();
        } catch (ExecutionException expected) {
            return false;
        }
    }

    private void takeNewAddresses() throws IOException {
        caller = FreePorts.next();
        admin = FreePorts.next();
        peer = FreePorts.next();
    }

    private ObjectNode settings() {
        ObjectNode settings = StandInJson.object()
                .put("entry", name)
                .put("domain", domain)
                .put("caller", caller.toString())
                .put("admin", admin.toString())
                .put("peer", peer.toString())
                .put("key_value_service", keyValue.address().toString())
                .put("vm_list", vmList.toString())
                .put("traces", "off")
                .put("bootstrap_operator_key_hash", OPERATOR_KEY_HASH);
        settings.putArray("token_keys").add(TOKEN_KEY);
        return settings;
    }
}
