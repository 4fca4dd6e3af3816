package org.yuccagw.standins.plain;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.standins.http.Markers;
import org.yuccagw.standins.http.ServiceFaults;
import org.yuccagw.standins.http.StandIn;
import org.yuccagw.standins.http.StandInCall;
import org.yuccagw.standins.http.StandInJson;
import org.yuccagw.standins.http.StandInServer;

/**
 * Stand-in for a plain service, on one address. It executes every call that it receives, duplicates included, and
 * records it. The answer contains the recorded call, so that a caller can check that the answer belongs to its call.
 */
public final class PlainServiceStandIn implements StandIn {
    private final String name;
    private final StandInServer server;
    private final List<PlainRequest> executedCalls = new ArrayList<>();
    private PlainFaults faults = PlainFaults.none();

    private PlainServiceStandIn(String name, int port) {
        this.name = name;
        this.server = StandInServer.create(name);
        server.onOtherPaths(this::execute)
                .withRecord(this::record)
                .withKnobs(this::applyKnobs)
                .listen(port);
    }

    /**
     * Starts the service.
     *
     * @param port the port to listen on; 0 selects a free one
     */
    public static PlainServiceStandIn start(String name, int port) {
        return new PlainServiceStandIn(name, port);
    }

    @Override
    public NetworkAddress address() {
        return server.address();
    }

    @Override
    public NetworkAddress controlAddress() {
        return server.controlAddress();
    }

    @Override
    public void injectFaults(ServiceFaults serviceFaults) {
        server.injectFaults(serviceFaults);
    }

    @Override
    public void stop() {
        server.stop();
    }

    /** Simulates a crash: closes the listener and all connections. */
    public void kill() {
        server.kill();
    }

    /** Replaces the faults to inject into the next calls. */
    public synchronized void injectFaults(PlainFaults newFaults) {
        faults = newFaults;
    }

    /** Returns all calls that took effect, in the order of execution. */
    public synchronized List<PlainRequest> calls() {
        return List.copyOf(executedCalls);
    }

    private synchronized void execute(StandInCall call) {
        PlainFaults current = faults;
        if (current.refused() > 0) {
            faults = current.withRefused(current.refused() - 1, current.refusalStatus());
            call.replyError(current.refusalStatus(), "refused", "this call had no effect");
            return;
        }
        if (current.cutBefore() > 0) {
            faults = current.withCutBefore(current.cutBefore() - 1);
            call.closeConnection();
            return;
        }
        PlainRequest executed = recordCall(call);
        if (current.cutAfter() > 0) {
            faults = current.withCutAfter(current.cutAfter() - 1);
            call.closeConnection();
            return;
        }
        JsonNode answer = StandInJson.tree(executed);
        server.timer().schedule(() -> call.reply(answer), current.answerMillis(), TimeUnit.MILLISECONDS);
    }

    private PlainRequest recordCall(StandInCall call) {
        String body = new String(call.body(), StandardCharsets.UTF_8);
        PlainRequest executed = new PlainRequest(
                name,
                executedCalls.size() + 1L,
                call.method(),
                call.pathAndQuery(),
                call.header("X-Request-Id"),
                call.header("Idempotency-Key"),
                Hashing.sha256().hashBytes(call.body()).toString(),
                Markers.in(body),
                !call.header("traceparent").isEmpty(),
                System.currentTimeMillis());
        executedCalls.add(executed);
        return executed;
    }

    private synchronized ObjectNode record() {
        ObjectNode record = StandInJson.object();
        record.set("carried_out", StandInJson.tree(executedCalls));
        return record;
    }

    private synchronized void applyKnobs(JsonNode knobs) {
        if (knobs.has("next")) {
            faults = PlainFaults.of(knobs.path("next"));
        }
    }
}
