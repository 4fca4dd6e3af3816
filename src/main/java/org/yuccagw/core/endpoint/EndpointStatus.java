package org.yuccagw.core.endpoint;

import java.util.Optional;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.id.VmId;
import org.yuccagw.core.id.WeightVersion;

/**
 * The state of one endpoint as known locally, merged from the platform's list, the endpoint's own report, the catalogue
 * and observed traffic.
 *
 * @param incarnation the platform's incarnation of the VM; higher after each replacement
 * @param takesNewWork false if any source reported it as leaving, if it was ejected, or while it is loading weights
 * @param version the weight version it last reported, empty for a plain service or before the first report
 * @param software the version of its software that it last reported
 */
public record EndpointStatus(
        EndpointId id,
        VmId vm,
        long incarnation,
        String pool,
        NetworkAddress address,
        FailureDomain domain,
        boolean takesNewWork,
        Optional<WeightVersion> version,
        SoftwareVersion software) {}
