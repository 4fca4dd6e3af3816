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
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponseListener;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.port.BodyEnd;
import org.yuccagw.standins.http.StandInCall;
import org.yuccagw.standins.http.StandInJson;

/**
 * Executes orders to load a weight version, to load an adapter or to change the role, one at a time. An engine that
 * checks fencing numbers rejects an order whose number is below the highest accepted number; other engines ignore the
 * number.
 */
final class OrderHandler {
    private static final int CONFLICT = 409;
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);

    private final EngineSettings settings;
    private final EngineRuntime runtime;
    private final HttpClient httpClient;
    private final ScheduledExecutorService timer;
    private final List<OrderRecord> orders = new ArrayList<>();
    private String adapter;
    private String role = "serve";
    private boolean loading;
    private long highestFencing;

    /** A received order, and whether it was accepted. The components are the fields of its JSON. */
    record OrderRecord(String order, String value, long fencing, boolean accepted, long millis) {}

    OrderHandler(
            EngineSettings settings, EngineRuntime runtime, HttpClient httpClient, ScheduledExecutorService timer) {
        this.settings = settings;
        this.runtime = runtime;
        this.httpClient = httpClient;
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

    synchronized void handle(StandInCall call) {
        JsonNode request = call.json();
        String order = request.path("order").asText();
        String value = request.path("value").asText();
        long fencing = request.path("fencing").asLong();
        boolean stale = settings.checksFencing() && fencing < highestFencing;
        if (stale || loading) {
            orders.add(new OrderRecord(order, value, fencing, false, System.currentTimeMillis()));
            String code = stale ? "stale_fencing" : "busy";
            call.replyError(CONFLICT, code, "the highest fencing number so far is " + highestFencing);
            return;
        }
        execute(order, value, request.path("weight_store").asText(""));
        highestFencing = Math.max(highestFencing, fencing);
        orders.add(new OrderRecord(order, value, fencing, true, System.currentTimeMillis()));
        call.reply(StandInJson.object());
    }

    private void execute(String order, String value, String weightStore) {
        switch (order) {
            case "load_version" -> loadVersion(WeightVersion.of(value), weightStore);
            case "load_adapter" -> completeAfterLoadTime(() -> adapter = value);
            case "change_role" -> role = value;
            default ->
                throw new IllegalArgumentException(
                        "field 'order' has to be load_version, load_adapter or change_role, found '" + order + "'");
        }
    }

    private void loadVersion(WeightVersion version, String weightStore) {
        if (weightStore.isEmpty()) {
            completeAfterLoadTime(() -> runtime.switchVersion(version));
            return;
        }
        loading = true;
        String path = "/v1/weights/" + settings.model() + "/" + version;
        HttpRequest weightsRequest =
                HttpRequest.get(NetworkAddress.parse(weightStore), path).withTimeouts(READ_TIMEOUT, READ_TIMEOUT);
        httpClient.stream(weightsRequest, httpClient.worker().getIoThread(), new WeightsListener(version));
    }

    /** Reads and discards the weights, and switches the version after a complete and successful answer. */
    private final class WeightsListener implements HttpResponseListener {
        private static final int OK = 200;

        private final WeightVersion version;
        private boolean successful;

        private WeightsListener(WeightVersion version) {
            this.version = version;
        }

        @Override
        public void onHead(int status, HeaderMap headers) {
            successful = status == OK;
        }

        @Override
        public void onBytes(ByteBuffer bytes) {
            bytes.position(bytes.limit());
        }

        @Override
        public void onEnd(BodyEnd end) {
            if (successful) {
                completeAfterLoadTime(() -> runtime.switchVersion(version));
            } else {
                endLoading();
            }
        }

        @Override
        public void onFailure(Phase phase, boolean silent, IOException cause) {
            endLoading();
        }
    }

    private synchronized void completeAfterLoadTime(Runnable change) {
        loading = true;
        timer.schedule(() -> complete(change), settings.loadTime().toMillis(), TimeUnit.MILLISECONDS);
    }

    private synchronized void complete(Runnable change) {
        change.run();
        loading = false;
    }

    private synchronized void endLoading() {
        loading = false;
    }
}
