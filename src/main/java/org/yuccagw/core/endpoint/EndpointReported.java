package org.yuccagw.core.endpoint;

import java.util.Optional;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.id.WeightVersion;

/**
 * The state that an endpoint reports, in the answer to a probe or in the headers of another answer. It lags behind the
 * endpoint's actual state.
 *
 * @param incarnation the VM's incarnation according to the endpoint
 * @param version weight version it runs, empty for a plain service
 * @param software version of its software
 * @param adapter name of the loaded adapter, empty for none
 * @param role as ordered, such as {@code serve}, {@code prefill} or {@code decode}
 * @param loading whether it is loading weights
 * @param runningRequests requests in its batch
 * @param waitingRequests requests in its queue
 * @param waitingPrefillTokens prompt tokens that are not yet prefilled
 */
public record EndpointReported(
        EndpointId endpoint,
        long incarnation,
        boolean leaving,
        Optional<WeightVersion> version,
        SoftwareVersion software,
        String adapter,
        String role,
        boolean loading,
        int runningRequests,
        int waitingRequests,
        long waitingPrefillTokens)
        implements ControlEvent {}
