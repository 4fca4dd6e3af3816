package org.yuccagw.adapters.serving;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.yuccagw.adapters.relay.EndpointClient;
import org.yuccagw.adapters.telemetry.DecisionLog;
import org.yuccagw.adapters.telemetry.Metrics;
import org.yuccagw.core.control.ControlInput;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.id.FailureDomain;

/**
 * The services of the entry that the serving code uses.
 *
 * @param snapshot the latest published control state
 * @param control input of the control core, for placement requests and reports of attempts
 * @param endpointClient client for endpoints
 * @param protocol protocol spoken with callers and endpoints
 * @param domain failure domain of this entry
 * @param directoryTimeToLive how long callers may cache the directory
 * @param maxUnconfirmedKeyAge longest time that keys are accepted without a confirmation of the configuration;
 *     unlimited if empty
 */
public record ServingServices(
        Supplier<ControlSnapshot> snapshot,
        ControlInput control,
        EndpointClient endpointClient,
        WireProtocol protocol,
        DecisionLog decisions,
        Metrics metrics,
        FailureDomain domain,
        Duration directoryTimeToLive,
        Optional<Duration> maxUnconfirmedKeyAge) {}
