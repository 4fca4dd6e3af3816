package org.yuccagw.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.adapters.http.HttpStreamListener;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.standins.http.StandInCall;
import org.yuccagw.standins.http.StandInJson;

/**
 * Takes orders to load a version or an adapter or to change role, one at a time. An engine that checks fencing numbers
 * refuses an order whose number is below the highest that it has seen; one that doesn't carries out any.
 */
final class OrderHandler {
    private static final int CONFLICT = 409;
    private static final Duration SILENCE = Duration.ofSeconds(10);

    private final EngineSettings settings;
    private final EngineRuntime runtime;
    private final HttpClient caller;
    private final ScheduledExecutorService timer;
    private final List<OrderRecord> orders = new ArrayList<>();
    private String adapter;
    private String role = "serve";
    private boolean loading;
    private long highestFencing;

    /** An order as it came, and whether it was accepted. */
    record OrderRecord(String order, String value, long fencing, boolean accepted, long millis) {}

    OrderHandler(EngineSettings settings, EngineRuntime runtime, HttpClient caller, ScheduledExecutorService timer) {
        this.settings = settings;
        this.runtime = runtime;
        this.caller = caller;
        this.timer = timer;
        this.adapter = settings.adapter();
    }

    synchronized boolean loading() {
        return loading;
    }

    synchronized String adapter() {
        return adapter;
    }

    synchronized String role() {
        return role;
    }

    synchronized long highestFencing() {
        return highestFencing;
    }

    synchronized List<OrderRecord> orders() {
        return List.copyOf(orders);
    }

    synchronized void take(StandInCall call) {
        JsonNode asked = call.json();
        String order = asked.path("order").asText();
        String value = asked.path("value").asText();
        long fencing = asked.path("fencing").asLong();
        boolean stale = settings.checksFencing() && fencing < highestFencing;
        if (stale || loading) {
            orders.add(new OrderRecord(order, value, fencing, false, System.currentTimeMillis()));
            String code = stale ? "stale_fencing" : "busy";
            call.replyError(CONFLICT, code, "the highest fencing number so far is " + highestFencing);
            return;
        }
        begin(order, value, asked.path("weight_store").asText(""));
        highestFencing = Math.max(highestFencing, fencing);
        orders.add(new OrderRecord(order, value, fencing, true, System.currentTimeMillis()));
        call.reply(StandInJson.object());
    }

    private void begin(String order, String value, String weightStore) {
        switch (order) {
            case "load_version" -> loadVersion(WeightVersion.of(value), weightStore);
            case "load_adapter" -> after(() -> adapter = value);
            case "change_role" -> role = value;
            default ->
                throw new IllegalArgumentException(
                        "field 'order' has to be load_version, load_adapter or change_role, found '" + order + "'");
        }
    }

    private void loadVersion(WeightVersion version, String weightStore) {
        if (weightStore.isEmpty()) {
            after(() -> runtime.switchVersion(version));
            return;
        }
        loading = true;
        String path = "/v1/weights/" + settings.model() + "/" + version;
        HttpQuery query = HttpQuery.get(NetworkAddress.parse(weightStore), path).withTimeouts(SILENCE, SILENCE);
        caller.stream(query, caller.worker().getIoThread(), new WeightsReader(version));
    }

    /** Reads the weights and throws them away; only a whole and successful answer counts. */
    private final class WeightsReader implements HttpStreamListener {
        private static final int OK = 200;

        private final WeightVersion version;
        private boolean found;

        private WeightsReader(WeightVersion version) {
            this.version = version;
        }

        @Override
        public void onHead(int status, HeaderMap headers) {
            found = status == OK;
        }

        @Override
        public void onBytes(ByteBuffer bytes) {
            bytes.position(bytes.limit());
        }

        @Override
        public void onEnd() {
            if (found) {
                after(() -> runtime.switchVersion(version));
            } else {
                endLoading();
            }
        }

        @Override
        public void onFailure(Phase phase, boolean silent, IOException cause) {
            endLoading();
        }
    }

    private synchronized void after(Runnable change) {
        loading = true;
        timer.schedule(() -> finish(change), settings.loadTime().toMillis(), TimeUnit.MILLISECONDS);
    }

    private synchronized void finish(Runnable change) {
        change.run();
        loading = false;
    }

    private synchronized void endLoading() {
        loading = false;
    }
}
