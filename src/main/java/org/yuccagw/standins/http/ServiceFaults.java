package org.yuccagw.standins.http;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Faults that can be injected into every stand-in, set by the fields of {@code POST /knobs}.
 *
 * @param down whether the connection of each call is closed without an answer or an effect
 * @param silent whether calls have no effect and no answer while their connections stay open
 * @param delayMillis the delay before a call is handled
 */
public record ServiceFaults(boolean down, boolean silent, long delayMillis) {
    private static final ServiceFaults NONE = new ServiceFaults(false, false, 0);

    public static ServiceFaults none() {
        return NONE;
    }

    /** Returns these faults with the fields that are present in the knobs replaced. */
    ServiceFaults with(JsonNode knobs) {
        return new ServiceFaults(
                knobs.path("down").asBoolean(down),
                knobs.path("silent").asBoolean(silent),
                knobs.path("delay_ms").asLong(delayMillis));
    }
}
