package org.yuccagw.standins.engine;

import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.id.WeightVersion;

/**
 * Settings of a stand-in engine.
 *
 * @param name the name of the endpoint
 * @param incarnation the incarnation of its VM
 * @param port the port to listen on; 0 selects a free one
 * @param model the name of the model in requests
 * @param version the initial weight version
 * @param adapter the initial adapter; empty for none
 * @param costs the costs of its work
 * @param checksFencing whether it rejects orders with an old fencing number
 * @param lags the lags and losses of its reports
 * @param streamRetention how long it retains a stream without readers
 * @param bytesPerToken the cache bytes of one token when a block is transferred
 * @param loadTime the duration of loading weights or an adapter, in addition to the transfer from the weight store
 * @param crashMarker a text in the prompt that crashes the engine when the request is admitted to the batch
 * @param software the version of its software
 */
public record EngineSettings(
        String name,
        long incarnation,
        int port,
        String model,
        WeightVersion version,
        String adapter,
        EngineCosts costs,
        boolean checksFencing,
        Lags lags,
        Duration streamRetention,
        int bytesPerToken,
        Duration loadTime,
        Optional<String> crashMarker,
        SoftwareVersion software) {
    private static final int DEFAULT_BYTES_PER_TOKEN = 64;

    /**
     * Lags and losses of the reports of an engine.
     *
     * @param load the age of the reported load
     * @param events the delay until a cache event becomes visible
     * @param lostEvery one of this many cache events is lost; 0 for none
     */
    public record Lags(Duration load, Duration events, int lostEvery) {
        private static final Lags DEFAULTS = new Lags(Duration.ofMillis(200), Duration.ofMillis(200), 0);

        public static Lags defaults() {
            return DEFAULTS;
        }
    }

    /** Returns the defaults: default costs, lags of 0.2 s, no fencing check and 64 bytes per token. */
    public static EngineSettings defaults(String name, String model, WeightVersion version) {
        return new EngineSettings(
                name,
                1,
                0,
                model,
                version,
                "",
                EngineCosts.defaults(),
                false,
                Lags.defaults(),
                Duration.ofSeconds(30),
                DEFAULT_BYTES_PER_TOKEN,
                Duration.ofMillis(100),
                Optional.empty(),
                SoftwareVersion.UNSTATED);
    }

    public EngineSettings withPort(int newPort) {
        Copy copy = new Copy(this);
        copy.port = newPort;
        return copy.settings();
    }

    public EngineSettings withIncarnation(long newIncarnation) {
        Copy copy = new Copy(this);
        copy.incarnation = newIncarnation;
        return copy.settings();
    }

    public EngineSettings withCosts(EngineCosts newCosts) {
        Copy copy = new Copy(this);
        copy.costs = newCosts;
        return copy.settings();
    }

    public EngineSettings withFencingCheck(boolean newChecksFencing) {
        Copy copy = new Copy(this);
        copy.checksFencing = newChecksFencing;
        return copy.settings();
    }

    public EngineSettings withLags(Lags newLags) {
        Copy copy = new Copy(this);
        copy.lags = newLags;
        return copy.settings();
    }

    public EngineSettings withStreamRetention(Duration newStreamRetention) {
        Copy copy = new Copy(this);
        copy.streamRetention = newStreamRetention;
        return copy.settings();
    }

    public EngineSettings withBytesPerToken(int newBytesPerToken) {
        Copy copy = new Copy(this);
        copy.bytesPerToken = newBytesPerToken;
        return copy.settings();
    }

    public EngineSettings withLoadTime(Duration newLoadTime) {
        Copy copy = new Copy(this);
        copy.loadTime = newLoadTime;
        return copy.settings();
    }

    public EngineSettings withCrashMarker(String marker) {
        Copy copy = new Copy(this);
        copy.crashMarker = Optional.of(marker);
        return copy.settings();
    }

    public EngineSettings withSoftware(SoftwareVersion newSoftware) {
        Copy copy = new Copy(this);
        copy.software = newSoftware;
        return copy.settings();
    }

    /** A copy whose fields can be changed. */
    private static final class Copy {
        private String name;
        private long incarnation;
        private int port;
        private String model;
        private WeightVersion version;
        private String adapter;
        private EngineCosts costs;
        private boolean checksFencing;
        private Lags lags;
        private Duration streamRetention;
        private int bytesPerToken;
        private Duration loadTime;
        private Optional<String> crashMarker;
        private SoftwareVersion software;

        private Copy(EngineSettings original) {
            name = original.name;
            incarnation = original.incarnation;
            port = original.port;
            model = original.model;
            version = original.version;
            adapter = original.adapter;
            costs = original.costs;
            checksFencing = original.checksFencing;
            lags = original.lags;
            streamRetention = original.streamRetention;
            bytesPerToken = original.bytesPerToken;
            loadTime = original.loadTime;
            crashMarker = original.crashMarker;
            software = original.software;
        }

        private EngineSettings settings() {
            return new EngineSettings(
                    name,
                    incarnation,
                    port,
                    model,
                    version,
                    adapter,
                    costs,
                    checksFencing,
                    lags,
                    streamRetention,
                    bytesPerToken,
                    loadTime,
                    crashMarker,
                    software);
        }
    }
}
