package org.yuccagw.adapters.telemetry;

import java.util.List;
import java.util.Map;

/**
 * One finished span of a request, as the command {@code yuccagw trace} shows it. The admin API writes the components
 * under their names.
 *
 * @param name the name of the hop, such as {@code route}
 * @param trace the trace id, 32 hexadecimal digits
 * @param span the span id, 16 hexadecimal digits
 * @param parent the span id of the parent, all zeros for a root span
 * @param startMicros the start in microseconds since the Unix epoch
 * @param durationMicros the duration in microseconds
 * @param ok false if the hop ended in an error
 * @param attributes the attributes by name
 * @param events the events of the hop, in order
 */
public record TracedHop(
        String name,
        String trace,
        String span,
        String parent,
        long startMicros,
        long durationMicros,
        boolean ok,
        Map<String, String> attributes,
        List<Event> events) {

    /**
     * An event during a hop.
     *
     * @param afterMicros microseconds since the start of the hop
     */
    public record Event(String name, long afterMicros, Map<String, String> attributes) {}
}
