package org.yuccagw.standins;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.standins.engine.EngineCosts;
import org.yuccagw.standins.engine.EngineSettings;
import org.yuccagw.standins.engine.EngineStandIn;
import org.yuccagw.standins.http.StandIn;
import org.yuccagw.standins.keyvalue.KeyValueSettings;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;
import org.yuccagw.standins.plain.PlainServiceStandIn;
import org.yuccagw.standins.store.CacheStoreSettings;
import org.yuccagw.standins.store.CacheStoreStandIn;
import org.yuccagw.standins.vmlist.VmListStandIn;
import org.yuccagw.standins.weights.WeightStoreSettings;
import org.yuccagw.standins.weights.WeightStoreStandIn;

/** Starts stand-ins by name with textual options, for the command line and for tests that run them as processes. */
public final class StandIns {
    private static final Map<String, Function<StandInOptions, StandIn>> FACTORIES = new TreeMap<>(Map.of(
            "key-value", StandIns::keyValue,
            "vm-list", StandIns::vmList,
            "engine", StandIns::engine,
            "store", StandIns::store,
            "weight-store", StandIns::weightStore,
            "plain", StandIns::plain));

    private StandIns() {}

    /** Returns the names that {@link #start} accepts, in alphabetical order. */
    public static Set<String> names() {
        return FACTORIES.keySet();
    }

    /**
     * Starts a stand-in on a local port.
     *
     * @throws IllegalArgumentException if the name or an option is unknown, or the value of an option is invalid; the
     *     message contains it
     */
    public static StandIn start(String name, Map<String, String> options) {
        Function<StandInOptions, StandIn> factory = FACTORIES.get(name);
        if (factory == null) {
            throw new IllegalArgumentException("there is no stand-in '" + name + "'; there are " + names());
        }
        StandInOptions parsed = new StandInOptions(name, options);
        return factory.apply(parsed);
    }

    /** Starts a stand-in and prints the line {@code ready ADDRESS control ADDRESS} once it listens. */
    public static StandIn run(String name, Map<String, String> options, PrintStream output) {
        StandIn started = start(name, options);
        output.println("ready " + started.address() + " control " + started.controlAddress());
        output.flush();
        return started;
    }

    /**
     * Parses {@code NAME=VALUE} arguments.
     *
     * @throws IllegalArgumentException if an argument has no name or no equals sign
     */
    public static Map<String, String> options(List<String> arguments) {
        Map<String, String> options = new TreeMap<>();
        for (String argument : arguments) {
            int equals = argument.indexOf('=');
            if (equals < 1) {
                throw new IllegalArgumentException("expected NAME=VALUE, found '" + argument + "'");
            }
            options.put(argument.substring(0, equals), argument.substring(equals + 1));
        }
        return options;
    }

    private static StandIn keyValue(StandInOptions options) {
        KeyValueSettings settings = KeyValueSettings.defaults()
                .withPort(options.integer("port", 0))
                .withRates(options.decimal("writes_per_second", 0), options.decimal("reads_per_second", 0));
        options.requireAllKnown();
        return KeyValueStandIn.start(settings);
    }

    private static StandIn vmList(StandInOptions options) {
        int port = options.integer("port", 0);
        long lagMillis = options.number("lag_ms", 0);
        options.requireAllKnown();
        return VmListStandIn.start(port, lagMillis);
    }

    private static StandIn engine(StandInOptions options) {
        EngineCosts costs = EngineCosts.defaults();
        EngineSettings settings = EngineSettings.defaults(
                        options.text("name", "engine-1"),
                        options.text("model", "assistant"),
                        WeightVersion.of(options.text("version", "v1")))
                .withSoftware(SoftwareVersion.of(options.text("software", SoftwareVersion.UNSTATED.value())))
                .withPort(options.integer("port", 0))
                .withIncarnation(options.number("incarnation", 1))
                .withCosts(costs.withSpeedFactor(options.decimal("faster", 1))
                        .withCacheBlocks(options.integer("cache_blocks", costs.cacheBlocks()))
                        .withBlockTokens(options.integer("block_tokens", costs.blockTokens()))
                        .withBatch(
                                options.integer("most_sequences", costs.maxSequences()),
                                options.integer("queue_limit", costs.queueLimit())))
                .withFencingCheck(Boolean.parseBoolean(options.text("fencing", "false")))
                .withStreamRetention(Duration.ofMillis(options.number("stream_keep_ms", 30_000)))
                .withLoadTime(Duration.ofMillis(options.number("load_ms", 100)))
                .withLags(new EngineSettings.Lags(
                        Duration.ofMillis(options.number("load_lag_ms", 200)),
                        Duration.ofMillis(options.number("event_lag_ms", 200)),
                        options.integer("event_lost_every", 0)));
        String crashMarker = options.text("crash_marker", "");
        options.requireAllKnown();
        return EngineStandIn.start(crashMarker.isEmpty() ? settings : settings.withCrashMarker(crashMarker));
    }

    private static StandIn store(StandInOptions options) {
        CacheStoreSettings defaults = CacheStoreSettings.defaults(options.text("name", "store-1"));
        CacheStoreSettings settings = defaults.withPort(options.integer("port", 0))
                .withCapacity(
                        options.number("memory_bytes", defaults.memoryBytes()),
                        options.number("disk_bytes", defaults.diskBytes()))
                .withLink(options.decimal("link_bytes_per_second", defaults.linkBytesPerSecond()));
        options.requireAllKnown();
        return CacheStoreStandIn.start(settings);
    }

    private static StandIn weightStore(StandInOptions options) {
        WeightStoreSettings defaults = WeightStoreSettings.defaults();
        WeightStoreSettings settings = defaults.withPort(options.integer("port", 0))
                .withSize(
                        options.number("version_bytes", defaults.versionBytes()),
                        options.decimal("bytes_per_second", defaults.bytesPerSecond()));
        options.requireAllKnown();
        return WeightStoreStandIn.start(settings);
    }

    private static StandIn plain(StandInOptions options) {
        String name = options.text("name", "plain-1");
        int port = options.integer("port", 0);
        options.requireAllKnown();
        return PlainServiceStandIn.start(name, port);
    }
}
