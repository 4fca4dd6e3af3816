package org.yuccagw.core.deployment;

import java.util.Optional;
import org.yuccagw.core.id.ServiceName;

/**
 * A service to which routes send requests.
 *
 * @param engine present if its endpoints are model engines
 * @param maxConnections connections that one endpoint accepts from all callers together, 0 if not configured
 * @param healthPath path of the health check, empty if there is none
 * @param cold limits of its endpoints while they are cold
 */
public record BackEndService(
        ServiceName name, Optional<EngineTraits> engine, int maxConnections, String healthPath, ColdTraits cold) {}
