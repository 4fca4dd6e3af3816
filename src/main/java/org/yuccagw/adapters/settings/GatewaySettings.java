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
 * The settings of an entry on the users' platform.
 *
 * @param regions the regions of the failure domains
 * @param callers the address on which the entry listens for requests
 * @param readiness the address on which the platform polls whether this entry accepts requests
 * @param directory the address on which callers query the entries to use
 * @param peer the address on which the entry listens for other entries
 * @param relay the address on which the entry relays requests of other entries, empty if it relays none
 * @param seeds peer addresses of other entries, which may be out of date
 * @param capacity the processor capacity of the VM in hundredths of a core
 * @param logLevel the lowest level of decision lines that are written
 */
public record GatewaySettings(
        EntryId entry,
        FailureDomain domain,
        DomainRegions regions,
        NetworkAddress callers,
        NetworkAddress readiness,
        NetworkAddress directory,
        NetworkAddress peer,
        Optional<NetworkAddress> relay,
        NetworkAddress keyValueService,
        List<NetworkAddress> seeds,
        Bounds bounds,
        int capacity,
        String logLevel) {
    public GatewaySettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * The guarantees and requirements of the platform.
     *
     * @param retries limits of retries
     * @param coldEndpoints how far the requests of all entries may exceed the rate that cold endpoints sustain
     * @param stopGrace time between the request to stop the process and its forced termination
     * @param minOrderSeparation minimum time between orders to one engine from two successive holders of the duty
     * @param oldWeightsAllowed time after newer weights are named during which requests may still start on older ones
     * @param directoryTimeToLive time for which callers may cache the directory
     * @param unconfirmedKeyTimeout maximum time for which keys are accepted without confirmation, absent for no limit
     */
    public record Bounds(
            RetryBounds retries,
            ColdBounds coldEndpoints,
            Duration stopGrace,
            Duration minOrderSeparation,
            Duration oldWeightsAllowed,
            Duration directoryTimeToLive,
            Optional<Duration> unconfirmedKeyTimeout) {}
}
