package org.yuccagw.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.InetAddresses;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.yuccagw.core.duty.EngineState;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;

/**
 * Reads the data that endpoints publish about themselves: their registrations and the state reports of engines.
 *
 * <p>Other processes than endpoints may write under the keys of registrations. Such a value shows in a missing field, a
 * field of another type or an unknown state. A default in its stead would send requests to an address that no endpoint
 * registered, so every field that is used must be present and have the agreed type.
 */
final class EndpointReader {
    private static final String LEAVING = "draining";
    private static final String READY = "ready";
    private static final String STARTED_MILLIS = "born";
    private static final String WEIGHTS = "models";
    private static final String SOFTWARE = "version";
    private static final String SEQUENCE = "sequence";

    /** Far more than an endpoint stays cold. */
    private static final Duration MAX_COLD = Duration.ofDays(1);

    private EndpointReader() {}

    /**
     * Reads a registration. Its field {@code version} is the version of the endpoint's software; the versions of the
     * weights are in the field {@code models}.
     *
     * @throws IllegalArgumentException if a field is missing or malformed
     */
    static ListedEndpoint readRegistration(String id, JsonNode registration) {
        return new ListedEndpoint(
                EndpointIncarnation.of(EndpointId.of(id), readStartMillis(registration)),
                ServiceName.of(requiredText(registration, "service")),
                readAddress(requiredText(registration, "address")),
                FailureDomain.of(requiredText(registration, "zone")),
                SoftwareVersion.of(requiredText(registration, SOFTWARE)),
                (int) Math.min(Integer.MAX_VALUE, requiredNumber(registration, "slots")),
                readLeaving(requiredText(registration, "state")),
                readColdMillis(registration),
                readWeights(registration),
                registration.path(SEQUENCE).asLong(0));
    }

    /**
     * Reads the state report of an engine. Here the field {@code sequence} counts accepted orders, whereas in a
     * registration it counts heartbeats.
     *
     * @throws IllegalArgumentException if a field is malformed
     */
    static EngineState readState(JsonNode report) {
        return new EngineState(
                readStartMillis(report),
                report.path("busy").asBoolean(false),
                report.path(SEQUENCE).asLong(0),
                readWeights(report));
    }

    private static long readStartMillis(JsonNode object) {
        return object.has(STARTED_MILLIS) ? requiredNumber(object, STARTED_MILLIS) : EndpointIncarnation.UNKNOWN_START;
    }

    private static long readColdMillis(JsonNode registration) {
        long millis = requiredNumber(registration, "coldLeftMs");
        if (millis > MAX_COLD.toMillis()) {
            throw new IllegalArgumentException("coldLeftMs is more than a day: " + millis);
        }
        return millis;
    }

    private static boolean readLeaving(String state) {
        if (!state.equals(LEAVING) && !state.equals(READY)) {
            throw new IllegalArgumentException("unknown state '" + state + "'");
        }
        return state.equals(LEAVING);
    }

    private static NetworkAddress readAddress(String text) {
        NetworkAddress address = NetworkAddress.parse(text);
        if (!InetAddresses.isInetAddress(address.host())) {
            throw new IllegalArgumentException("not an IP address: '" + text + "'");
        }
        return address;
    }

    private static ImmutableMap<String, Long> readWeights(JsonNode object) {
        if (!object.has(WEIGHTS)) {
            return ImmutableMap.of();
        }
        if (!object.get(WEIGHTS).isArray()) {
            throw new IllegalArgumentException(WEIGHTS + " is not an array");
        }
        Map<String, Long> weights = new HashMap<>();
        for (JsonNode model : object.get(WEIGHTS)) {
            weights.put(requiredText(model, "name"), requiredNumber(model, "version"));
        }
        return ImmutableMap.copyOf(weights);
    }

    private static String requiredText(JsonNode object, String field) {
        JsonNode value = object.required(field);
        if (!value.isTextual()) {
            throw new IllegalArgumentException(field + " is not a string");
        }
        return value.asText();
    }

    private static long requiredNumber(JsonNode object, String field) {
        JsonNode value = object.required(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < 0) {
            throw new IllegalArgumentException(field + " is not a non-negative integer");
        }
        return value.asLong();
    }
}
