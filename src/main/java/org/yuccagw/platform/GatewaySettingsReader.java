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
 * Reads the settings of an entry on the users' platform: our own fields strictly, and in the field {@code platform}
 * what the platform tells of the VM. There unknown fields are passed over, since the platform may add some at any time.
 */
public final class GatewaySettingsReader {
    /** The field by which such a settings file is told from others. */
    public static final String PLATFORM = "platform";

    private static final String[] FIELDS = {PLATFORM, "log_level"};
    private static final double USUAL_RETRY_RATIO = 0.1;
    private static final long USUAL_RETRY_SLACK = 20;
    private static final long USUAL_RETRY_WINDOW_SECONDS = 10;
    private static final double USUAL_COLD_OVERAGE = 1;
    private static final long USUAL_GRACE_SECONDS = 8;
    private static final long USUAL_LEASE_MILLIS = 3_000;
    private static final long USUAL_VERSION_MILLIS = 8_000;
    private static final long USUAL_DIRECTORY_SECONDS = 2;
    private static final long MOST_MILLIS = 3_600_000;
    private static final int HUNDREDTHS_OF_CORE = 100;
    private static final int HUNDREDTHS_OF_CORE_FOR_MEGABIT = 2;

    private GatewaySettingsReader() {}

    /**
     * Reads a settings file.
     *
     * @throws YuccagwException of kind SETTINGS_INVALID, naming the file, the place and the fix
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
     * Whether a settings file is meant for an entry on the users' platform.
     *
     * @throws YuccagwException of kind SETTINGS_INVALID when it isn't JSON
     */
    public static boolean looksLikeOne(byte[] document) throws YuccagwException {
        return StrictObject.parseWithAnyFields(document, ErrorKind.SETTINGS_INVALID)
                .has(PLATFORM);
    }

    /** Reads settings from the bytes of a file; errors name no file. */
    public static GatewaySettings parse(byte[] document) throws YuccagwException {
        StrictObject root = StrictObject.parse(document, ErrorKind.SETTINGS_INVALID, FIELDS);
        StrictObject told = root.objectWithAnyFields(PLATFORM);
        StrictObject listens = told.objectWithAnyFields("listenAddrs");
        StrictObject bounds = told.objectWithAnyFields("bounds");
        String ip = told.text("ip");
        int peerPort = told.wholeNumbers("portRange").get(0).intValue();
        return new GatewaySettings(
                EntryId.of(told.text("nodeName")),
                FailureDomain.of(told.text("zone")),
                readRegions(told),
                address(listens, "front"),
                address(listens, "ready"),
                address(listens, "directory"),
                NetworkAddress.of(ip, peerPort),
                address(told.objectWithAnyFields(PLATFORM), "address"),
                seeds(told, peerPort),
                readBounds(bounds),
                readCapacity(told),
                root.optionalText("log_level").orElse("info"));
    }

    private static DomainRegions readRegions(StrictObject told) throws YuccagwException {
        if (!told.has("zones")) {
            return DomainRegions.UNKNOWN;
        }
        StrictObject zones = told.objectWithAnyFields("zones");
        ImmutableMap.Builder<FailureDomain, Region> regions = ImmutableMap.builder();
        for (String name : zones.fieldNames()) {
            regions.put(FailureDomain.of(name), Region.of(zones.text(name)));
        }
        return new DomainRegions(regions.buildOrThrow());
    }

    /**
     * The smaller one of what the processor and the network can carry. A lead of 60 entries needs some 5 hundredths of
     * a core and 2.5 megabits a second, so a megabit counts as two hundredths.
     */
    private static int readCapacity(StrictObject told) throws YuccagwException {
        if (!told.has("limits")) {
            return EntryIdentity.USUAL_CAPACITY;
        }
        StrictObject limits = told.objectWithAnyFields("limits");
        double share = limits.has("cpuShare") ? limits.decimal("cpuShare") : 1;
        double speed = limits.has("cores") ? limits.decimal("cores") : 1;
        double hundredths = share * speed * HUNDREDTHS_OF_CORE;
        double megabits = limits.has("linkMbps") ? limits.decimal("linkMbps") : hundredths;
        return (int) Math.round(Math.min(hundredths, megabits * HUNDREDTHS_OF_CORE_FOR_MEGABIT));
    }

    private static GatewaySettings.Bounds readBounds(StrictObject bounds) throws YuccagwException {
        boolean strict = bounds.has("strictRevoke") && bounds.flag("strictRevoke");
        return new GatewaySettings.Bounds(
                new RetryBounds(
                        bounds.has("retryBudgetRatio") ? bounds.decimal("retryBudgetRatio") : USUAL_RETRY_RATIO,
                        optional(bounds, "retrySlack", USUAL_RETRY_SLACK),
                        Duration.ofSeconds(optional(bounds, "budgetWindowS", USUAL_RETRY_WINDOW_SECONDS))),
                new ColdBounds(
                        bounds.has("coldOverage") ? bounds.decimal("coldOverage") : USUAL_COLD_OVERAGE,
                        bounds.has("coldSlack") ? bounds.decimal("coldSlack") : 0),
                Duration.ofSeconds(optional(bounds, "graceS", USUAL_GRACE_SECONDS)),
                Duration.ofMillis(optional(bounds, "leaseMs", USUAL_LEASE_MILLIS)),
                Duration.ofMillis(optional(bounds, "versionMs", USUAL_VERSION_MILLIS)),
                Duration.ofSeconds(
                        Math.min(USUAL_DIRECTORY_SECONDS, optional(bounds, "ttl_max_s", USUAL_DIRECTORY_SECONDS))),
                strict
                        ? Optional.of(Duration.ofMillis(optional(bounds, "revokeMs", USUAL_LEASE_MILLIS)))
                        : Optional.empty());
    }

    private static long optional(StrictObject object, String field, long usual) throws YuccagwException {
        return object.has(field) ? (long) object.decimal(field) : Math.min(usual, MOST_MILLIS);
    }

    private static List<NetworkAddress> seeds(StrictObject told, int peerPort) throws YuccagwException {
        List<NetworkAddress> seeds = new ArrayList<>();
        if (told.has("seedNodes")) {
            for (String seed : told.texts("seedNodes")) {
                seeds.add(NetworkAddress.of(parse(told, "seedNodes", seed).host(), peerPort));
            }
        }
        return seeds;
    }

    private static NetworkAddress address(StrictObject object, String field) throws YuccagwException {
        return parse(object, field, object.text(field));
    }

    private static NetworkAddress parse(StrictObject object, String field, String text) throws YuccagwException {
        try {
            return NetworkAddress.parse(text);
        } catch (IllegalArgumentException e) {
            throw object.error(field, "expected IP number and port such as \"10.0.0.7:8080\": " + e.getMessage());
        }
    }
}
