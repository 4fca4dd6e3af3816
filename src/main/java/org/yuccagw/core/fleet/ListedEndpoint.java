package org.yuccagw.core.fleet;

import com.google.common.collect.ImmutableMap;
import java.util.OptionalLong;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;

/**
 * The registration of one start of an endpoint, as the endpoint wrote it.
 *
 * @param incarnation the endpoint and which of its starts this is
 * @param software version of the software of this start
 * @param slots number of requests that the endpoint runs concurrently
 * @param leaving whether the endpoint takes no new work and terminates soon
 * @param coldMillis remaining time during which the endpoint is slow after its start, in milliseconds
 * @param weights weight version by model; empty for plain services
 * @param heartbeats number of heartbeats that the endpoint had sent when it wrote the registration
 */
public record ListedEndpoint(
        EndpointIncarnation incarnation,
        ServiceName service,
        NetworkAddress address,
        FailureDomain domain,
        SoftwareVersion software,
        int slots,
        boolean leaving,
        long coldMillis,
        ImmutableMap<String, Long> weights,
        long heartbeats) {

    /** Returns the id of the endpoint, which may stay the same across restarts. */
    public EndpointId id() {
        return incarnation.endpoint();
    }

    /** Returns the version of the model's weights in the registration; empty if the model isn't registered. */
    public OptionalLong versionOf(String model) {
        Long version = weights.get(model);
        return version == null ? OptionalLong.empty() : OptionalLong.of(version);
    }
}
