package org.yuccagw.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import org.yuccagw.core.duty.EngineState;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.ServiceName;

/** Reads what endpoints say of themselves: their registration and the state of an engine. */
final class EndpointReader {
    private static final String LEAVING = "draining";

    private EndpointReader() {}

    /** The field {@code version} of a registration is the software's and isn't used; the weights stand under models. */
    static ListedEndpoint readRegistration(String id, JsonNode registration) {
        return new ListedEndpoint(
                EndpointId.of(id),
                ServiceName.of(registration.required("service").asText()),
                NetworkAddress.parse(registration.required("address").asText()),
                FailureDomain.of(registration.required("zone").asText()),
                registration.path("slots").asInt(1),
                registration.path("state").asText("").equals(LEAVING),
                registration.path("coldLeftMs").asLong(0),
                readWeights(registration));
    }

    /** In a report {@code sequence} counts accepted orders; in a registration it counts heartbeats. */
    static EngineState readState(JsonNode report) {
        return new EngineState(
                report.path("busy").asBoolean(false), report.path("sequence").asLong(0), readWeights(report));
    }

    private static ImmutableMap<String, Long> readWeights(JsonNode object) {
        Map<String, Long> weights = new HashMap<>();
        for (JsonNode model : object.path("models")) {
            weights.put(model.path("name").asText(""), model.path("version").asLong(0));
        }
        return ImmutableMap.copyOf(weights);
    }
}
