package org.yuccagw.platform;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.yuccagw.adapters.settings.GatewaySettings;
import org.yuccagw.adapters.settings.StrictObject;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.deployment.DomainRegions;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.Region;
import org.yuccagw.core.placing.ColdBounds;
import org.yuccagw.core.placing.RetryBounds;

/**
 * Reads the settings of an entry on the users' platform.
 *
 * <p>The fields of yuccagw itself are read strictly: an unknown field is an error. The field {@code platform} holds
 * what the platform states about the VM; unknown fields in it are ignored, since the platform may add fields at any
 * time.
 */
public final class GatewaySettingsReader {
    /** The field that distinguishes such a settings file from others. */
    public static final String PLATFORM_FIELD = "platform";

    private static final String[] FIELDS = {PLATFORM_FIELD, "log_level"};
    private static final double DEFAULT_RETRY_BUDGET_RATIO = 0.1;
    private static final long DEFAULT_RETRY_SLACK = 20;
    private static final long DEFAULT_RETRY_WINDOW_SECONDS = 10;
    private static final double DEFAULT_COLD_OVERAGE = 1;
    private static final long DEFAULT_STOP_GRACE_SECONDS = 8;
    private static final long DEFAULT_LEASE_MILLIS = 3_000;
    private static final long DEFAULT_VERSION_MILLIS = 8_000;
    private static final long MAX_DIRECTORY_TTL_SECONDS = 2;
    private static final long MAX_DEFAULT = 3_600_000;
    private static final int HUNDREDTHS_PER_CORE = 100;
    private static final int HUNDREDTHS_PER_MEGABIT = 2;

    private GatewaySettingsReader() {}

    /**
     * Reads a settings file.
     *
     * @throws YuccagwException of kind SETTINGS_INVALID; the message names the file, the position and the remedy
     */
    public static GatewaySettings read(Path file) throws YuccagwException {
        try {
            return parse(Files.readAllBytes(file));
        } catch (IOException e) {
            throw ErrorKind.SETTINGS_INVALID.raiseFrom(e, file + ": the file can't be read; check its name and rights");
        } catch (YuccagwException e) {
            throw ErrorKind.SETTINGS_INVALID.raiseFrom(e, file + ": " + e.getMessage());
        }
    }

    /**
     * Returns whether a settings file is meant for an entry on the users' platform.
     *
     * @throws YuccagwException of kind SETTINGS_INVALID if the file isn't JSON
     */
    public static boolean isPlatformSettings(byte[] document) throws YuccagwException {
        return StrictObject.parseWithAnyFields(document, ErrorKind.SETTINGS_INVALID)
                .has(PLATFORM_FIELD);
    }

    /**
     * Reads settings from the contents of a file.
     *
     * @throws YuccagwException of kind SETTINGS_INVALID; the message doesn't name the file
     */
    public static GatewaySettings parse(byte[] document) throws YuccagwException {
        StrictObject root = StrictObject.parse(document, ErrorKind.SETTINGS_INVALID, FIELDS);
        StrictObject platform = root.objectWithAnyFields(PLATFORM_FIELD);
        StrictObject listenAddresses = platform.objectWithAnyFields("listenAddrs");
        StrictObject bounds = platform.objectWithAnyFields("bounds");
        String ip = platform.text("ip");
        List<Long> portRange = platform.wholeNumbers("portRange");
        int peerPort = portRange.get(0).intValue();
        return new GatewaySettings(
                EntryId.of(platform.text("nodeName")),
                FailureDomain.of(platform.text("zone")),
                readRegions(platform),
                readAddress(listenAddresses, "front"),
                readAddress(listenAddresses, "ready"),
                readAddress(listenAddresses, "directory"),
                NetworkAddress.of(ip, peerPort),
                readRelay(ip, portRange),
                readAddress(platform.objectWithAnyFields(PLATFORM_FIELD), "address"),
                readSeeds(platform, peerPort),
                readBounds(bounds),
                readCapacity(platform),
                root.optionalText("log_level").orElse("info"));
    }

    /** Returns the last address of the port range, which must not be the address for peers. */
    private static Optional<NetworkAddress> readRelay(String ip, List<Long> portRange) {
        int lastPort = portRange.get(portRange.size() - 1).intValue();
        return portRange.size() > 1 && lastPort != portRange.get(0)
                ? Optional.of(NetworkAddress.of(ip, lastPort))
                : Optional.empty();
    }

    private static DomainRegions readRegions(StrictObject platform) throws YuccagwException {
        if (!platform.has("zones")) {
            return DomainRegions.UNKNOWN;
        }
        StrictObject zones = platform.objectWithAnyFields("zones");
        ImmutableMap.Builder<FailureDomain, Region> regions = ImmutableMap.builder();
        for (String name : zones.fieldNames()) {
            regions.put(FailureDomain.of(name), Region.of(zones.text(name)));
        }
        return new DomainRegions(regions.buildOrThrow());
    }

    /**
     * Returns the capacity of the VM in hundredths of a processor core: the minimum of the capacity of its processor
     * and that of its network link. A lead of 60 entries needs about 5 hundredths of a core and 2.5 Mbit/s, so 1 Mbit/s
     * counts as two hundredths.
     */
    private static int readCapacity(StrictObject platform) throws YuccagwException {
        if (!platform.has("limits")) {
            return EntryIdentity.DEFAULT_CAPACITY;
        }
        StrictObject limits = platform.objectWithAnyFields("limits");
        double cpuShare = limits.has("cpuShare") ? limits.decimal("cpuShare") : 1;
        double cores = limits.has("cores") ? limits.decimal("cores") : 1;
        double hundredths = cpuShare * cores * HUNDREDTHS_PER_CORE;
        double megabits = limits.has("linkMbps") ? limits.decimal("linkMbps") : hundredths;
        return (int) Math.round(Math.min(hundredths, megabits * HUNDREDTHS_PER_MEGABIT));
    }

    private static GatewaySettings.Bounds readBounds(StrictObject bounds) throws YuccagwException {
        boolean strictRevocation = bounds.has("strictRevoke") && bounds.flag("strictRevoke");
        return new GatewaySettings.Bounds(
                new RetryBounds(
                        bounds.has("retryBudgetRatio")
                                ? bounds.decimal("retryBudgetRatio")
                                : DEFAULT_RETRY_BUDGET_RATIO,
                        numberOrDefault(bounds, "retrySlack", DEFAULT_RETRY_SLACK),
                        Duration.ofSeconds(numberOrDefault(bounds, "budgetWindowS", DEFAULT_RETRY_WINDOW_SECONDS))),
                new ColdBounds(
                        bounds.has("coldOverage") ? bounds.decimal("coldOverage") : DEFAULT_COLD_OVERAGE,
                        bounds.has("coldSlack") ? bounds.decimal("coldSlack") : 0),
                Duration.ofSeconds(numberOrDefault(bounds, "graceS", DEFAULT_STOP_GRACE_SECONDS)),
                Duration.ofMillis(numberOrDefault(bounds, "leaseMs", DEFAULT_LEASE_MILLIS)),
                Duration.ofMillis(numberOrDefault(bounds, "versionMs", DEFAULT_VERSION_MILLIS)),
                Duration.ofSeconds(Math.min(
                        MAX_DIRECTORY_TTL_SECONDS, numberOrDefault(bounds, "ttl_max_s", MAX_DIRECTORY_TTL_SECONDS))),
                strictRevocation
                        ? Optional.of(Duration.ofMillis(numberOrDefault(bounds, "revokeMs", DEFAULT_LEASE_MILLIS)))
                        : Optional.empty());
    }

    private static long numberOrDefault(StrictObject object, String field, long defaultValue) throws YuccagwException {
        return object.has(field) ? (long) object.decimal(field) : Math.min(defaultValue, MAX_DEFAULT);
    }

    private static List<NetworkAddress> readSeeds(StrictObject platform, int peerPort) throws YuccagwException {
        List<NetworkAddress> seeds = new ArrayList<>();
        if (platform.has("seedNodes")) {
            for (String seed : platform.texts("seedNodes")) {
                seeds.add(NetworkAddress.of(
                        parseAddress(platform, "seedNodes", seed).host(), peerPort));
            }
        }
        return seeds;
    }

    private static NetworkAddress readAddress(StrictObject object, String field) throws YuccagwException {
        return parseAddress(object, field, object.text(field));
    }

    private static NetworkAddress parseAddress(StrictObject object, String field, String text) throws YuccagwException {
        try {
            return NetworkAddress.parse(text);
        } catch (IllegalArgumentException e) {
            throw object.error(field, "expected IP number and port such as \"10.0.0.7:8080\": " + e.getMessage());
        }
    }
}
