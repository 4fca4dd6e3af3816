package org.yuccagw.adapters.settings;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.yuccagw.core.deployment.DomainRegions;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.placing.ColdBounds;
import org.yuccagw.core.placing.RetryBounds;

/**
 * Settings of an entry on the users' platform.
 *
 * @param regions where failure domains lie
 * @param callers where requests arrive
 * @param readiness where the platform asks whether this entry takes requests
 * @param directory where callers ask which entries to use
 * @param peer where other entries connect
 * @param seeds where other entries may listen; may be stale
 * @param capacity what the VM can carry, in hundredths of a processor core
 * @param logLevel least level of decision lines
 */
public record GatewaySettings(
        EntryId entry,
        FailureDomain domain,
        DomainRegions regions,
        NetworkAddress callers,
        NetworkAddress readiness,
        NetworkAddress directory,
        NetworkAddress peer,
        NetworkAddress keyValueService,
        List<NetworkAddress> seeds,
        Bounds bounds,
        int capacity,
        String logLevel) {
    public GatewaySettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * What the platform promises and demands.
     *
     * @param cold by how much requests may pass what cold endpoints bear
     * @param stopGrace time between the request to stop and the end by force
     * @param orderSeparation least time between the orders of two holders to one engine
     * @param oldWeightsAllowed how long after newer weights were named requests may begin on older ones
     * @param directoryTimeToLive how long callers may keep the directory
     * @param keysUnconfirmed longest time that keys are honoured without confirmation, absent for any time
     */
    public record Bounds(
            RetryBounds retries,
            ColdBounds cold,
            Duration stopGrace,
            Duration orderSeparation,
            Duration oldWeightsAllowed,
            Duration directoryTimeToLive,
            Optional<Duration> keysUnconfirmed) {}
}
