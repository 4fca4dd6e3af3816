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
 * A plain service on one address. It carries out every call that reaches it, also one that it has had before, and keeps
 * a record; the answer repeats what the call was, so that a caller can tell its own.
 */
public final class PlainServiceStandIn implements StandIn {
    private final String name;
    private final StandInServer server;
    private final List<PlainRequest> calls = new ArrayList<>();
    private PlainFaults faults = PlainFaults.none();

    private PlainServiceStandIn(String name, int port) {
        this.name = name;
        this.server = StandInServer.create(name);
        server.onAnythingElse(this::carryOut)
                .withRecord(this::record)
                .withKnobs(this::turn)
                .listen(port);
    }

    /**
     * Starts it.
     *
     * @param port 0 takes a free one
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
    public void order(ServiceFaults ordered) {
        server.order(ordered);
    }

    @Override
    public void stop() {
        server.stop();
    }

    /** Dies: its listener and all connections close. */
    public void kill() {
        server.kill();
    }

    public synchronized void order(PlainFaults ordered) {
        faults = ordered;
    }

    /** Every call that took effect, in order. */
    public synchronized List<PlainRequest> calls() {
        return List.copyOf(calls);
    }

    private synchronized void carryOut(StandInCall call) {
        PlainFaults now = faults;
        if (now.refused() > 0) {
            faults = now.withRefused(now.refused() - 1, now.refusalStatus());
            call.replyError(now.refusalStatus(), "refused", "this call had no effect");
            return;
        }
        if (now.cutBefore() > 0) {
            faults = now.withCutBefore(now.cutBefore() - 1);
            call.cut();
            return;
        }
        PlainRequest done = note(call);
        if (now.cutAfter() > 0) {
            faults = now.withCutAfter(now.cutAfter() - 1);
            call.cut();
            return;
        }
        JsonNode answer = StandInJson.tree(done);
        server.timer().schedule(() -> call.reply(answer), now.answerMillis(), TimeUnit.MILLISECONDS);
    }

    private PlainRequest note(StandInCall call) {
        String body = new String(call.body(), StandardCharsets.UTF_8);
        PlainRequest done = new PlainRequest(
                name,
                calls.size() + 1L,
                call.method(),
                call.pathAndQuery(),
                call.header("X-Request-Id"),
                call.header("Idempotency-Key"),
                Hashing.sha256().hashBytes(call.body()).toString(),
                Markers.in(body),
                !call.header("traceparent").isEmpty(),
                System.currentTimeMillis());
        calls.add(done);
        return done;
    }

    private synchronized ObjectNode record() {
        ObjectNode record = StandInJson.object();
        record.set("carried_out", StandInJson.tree(calls));
        return record;
    }

    private synchronized void turn(JsonNode knobs) {
        if (knobs.has("next")) {
            faults = PlainFaults.of(knobs.path("next"));
        }
    }
}
