package org.yuccagw.core.deployment;

import java.util.Optional;
import org.yuccagw.core.id.ServiceName;

/**
 * A service that routes lead to.
 *
 * @param engine present where its endpoints are model engines
 * @param mostConnections connections that one endpoint accepts from all callers together, 0 if not told
 * @param healthPath path of the health check, empty if there is none
 * @param cold what its endpoints bear while they are cold
 */
public record BackEndService(
        ServiceName name, Optional<EngineTraits> engine, int mostConnections, String healthPath, ColdTraits cold) {}
