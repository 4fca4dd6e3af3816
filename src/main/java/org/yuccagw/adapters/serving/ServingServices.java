package org.yuccagw.adapters.serving;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.telemetry.DecisionLog;
import org.yuccagw.adapters.telemetry.Metrics;
import org.yuccagw.core.control.ControlInput;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.id.FailureDomain;

/**
 * What serving needs of the rest of an entry.
 *
 * @param snapshot the present control state
 * @param control where requests ask for endpoints and report attempts
 * @param traffic sends to endpoints
 * @param directoryTimeToLive how long callers may keep the directory
 * @param keysUnconfirmed longest time that keys are honoured without confirmation
 */
public record ServingServices(
        Supplier<ControlSnapshot> snapshot,
        ControlInput control,
        HttpClient traffic,
        WireProtocol dialect,
        DecisionLog decisions,
        Metrics metrics,
        FailureDomain domain,
        Duration directoryTimeToLive,
        Optional<Duration> keysUnconfirmed) {}
