package org.yuccagw.standins.weights;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.TimeUnit;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.standins.http.ByteStream;
import org.yuccagw.standins.http.RateLimitedLink;
import org.yuccagw.standins.http.ServiceFaults;
import org.yuccagw.standins.http.StandIn;
import org.yuccagw.standins.http.StandInCall;
import org.yuccagw.standins.http.StandInJson;
import org.yuccagw.standins.http.StandInServer;

/**
 * Stand-in for the weight store, on one address. Concurrent readers share its rate: each reserves the link for one
 * chunk at a time, so that all get equal shares. The bytes of all weights are zeros.
 */
public final class WeightStoreStandIn implements StandIn {
    private static final int NOT_FOUND = 404;
    private static final int CHUNK_BYTES = 64 * 1024;

    private final WeightStoreSettings settings;
    private final StandInServer server = StandInServer.create("weight-store");
    private final RateLimitedLink link;
    private int readers;
    private int peakReaders;

    private WeightStoreStandIn(WeightStoreSettings settings) {
        this.settings = settings;
        this.link = RateLimitedLink.of(settings.bytesPerSecond());
        server.on("GET", "/v1/weights/{model}/{version}", this::readWeights)
                .withRecord(this::record)
                .listen(settings.port());
    }

    public static WeightStoreStandIn start(WeightStoreSettings settings) {
        return new WeightStoreStandIn(settings);
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
    public void injectFaults(ServiceFaults faults) {
        server.injectFaults(faults);
    }

    @Override
    public void stop() {
        server.stop();
    }

    /** Returns the peak number of concurrent readers since the start. */
    public synchronized int mostReaders() {
        return peakReaders;
    }

    private void readWeights(StandInCall call) {
        String version = call.required("version");
        if (!settings.versions().isEmpty() && !settings.versions().contains(version)) {
            call.replyError(NOT_FOUND, "unknown_version", "there are no weights of '" + version + "'");
            return;
        }
        call.withHeader("Content-Length", Long.toString(settings.versionBytes()));
        ByteStream stream = call.stream("application/octet-stream");
        readerStarted();
        stream.onClose(this::readerEnded);
        sendChunk(stream, settings.versionBytes());
    }

    private void sendChunk(ByteStream stream, long remainingBytes) {
        if (remainingBytes == 0) {
            stream.end();
            return;
        }
        int chunkSize = (int) Math.min(CHUNK_BYTES, remainingBytes);
        long waitNanos = link.reserve(System.nanoTime(), chunkSize);
        server.timer()
                .schedule(
                        () -> {
                            stream.write(new byte[chunkSize]);
                            sendChunk(stream, remainingBytes - chunkSize);
                        },
                        waitNanos,
                        TimeUnit.NANOSECONDS);
    }

    private synchronized void readerStarted() {
        readers++;
        peakReaders = Math.max(peakReaders, readers);
    }

    private synchronized void readerEnded() {
        readers--;
    }

    private synchronized ObjectNode record() {
        return StandInJson.object().put("readers", readers).put("most_readers", peakReaders);
    }
}
