package org.yuccagw.standins.vmlist;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.standins.http.ServiceFaults;
import org.yuccagw.standins.http.StandIn;
import org.yuccagw.standins.http.StandInCall;
import org.yuccagw.standins.http.StandInJson;
import org.yuccagw.standins.http.StandInServer;

/**
 * Stand-in for the platform's list of VMs. A list that is set becomes visible only after the configured lag; until then
 * the previous list is returned.
 *
 * <p>{@code POST /knobs} accepts {@code {"vms":[...],"lag_ms":N}}, with the rows in the format of {@code GET /v1/vms}.
 */
public final class VmListStandIn implements StandIn {
    private final StandInServer server = StandInServer.create("vm-list");
    private final ArrayDeque<ListVersion> versions = new ArrayDeque<>();
    private long lagMillis;

    private record ListVersion(long visibleFromNanos, List<VmRow> rows) {}

    private VmListStandIn(int port, long lagMillis) {
        this.lagMillis = lagMillis;
        versions.add(new ListVersion(System.nanoTime(), List.of()));
        server.on("GET", "/v1/vms", this::listVms).withKnobs(this::applyKnobs).listen(port);
    }

    /**
     * Starts the stand-in with an empty list.
     *
     * @param port the port to listen on; 0 selects a free one
     * @param lagMillis the delay until a list that is set becomes visible
     */
    public static VmListStandIn start(int port, long lagMillis) {
        return new VmListStandIn(port, lagMillis);
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
    public void stop() {
        server.stop();
    }

    @Override
    public void injectFaults(ServiceFaults faults) {
        server.injectFaults(faults);
    }

    /** Sets the delay until lists that are set from now on become visible. */
    public synchronized void setLag(long millis) {
        lagMillis = millis;
    }

    /** Replaces the list, visible after the lag. */
    public synchronized void set(List<VmRow> rows) {
        long visibleFrom = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(lagMillis);
        versions.addLast(new ListVersion(visibleFrom, List.copyOf(rows)));
    }

    private synchronized void listVms(StandInCall call) {
        ObjectNode answer = StandInJson.object();
        answer.set("vms", StandInJson.tree(visibleRows()));
        call.reply(answer);
    }

    private List<VmRow> visibleRows() {
        long now = System.nanoTime();
        List<VmRow> current = versions.peekFirst().rows();
        while (!versions.isEmpty() && versions.peekFirst().visibleFromNanos() <= now) {
            current = versions.pollFirst().rows();
        }
        versions.addFirst(new ListVersion(now, current));
        return current;
    }

    private void applyKnobs(JsonNode knobs) {
        if (knobs.has("lag_ms")) {
            setLag(knobs.path("lag_ms").asLong());
        }
        if (knobs.has("vms")) {
            List<VmRow> rows = new ArrayList<>();
            knobs.path("vms").forEach(row -> rows.add(VmRow.of(row)));
            set(rows);
        }
    }
}
