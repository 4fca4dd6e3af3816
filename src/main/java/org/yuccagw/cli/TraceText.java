package org.yuccagw.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Formats the hops of a request as text: start and duration in milliseconds, indented below the parent hop.
 *
 * <p>Example:
 *
 * <pre>
 *    0.0 ms  +41.2 ms  request  service=assistant
 *    0.1 ms   +0.1 ms    admission
 * </pre>
 */
final class TraceText {
    private static final double MICROS_PER_MILLI = 1000;
    private static final String REQUEST_ATTRIBUTE = "request";
    private static final Pattern FRACTION_PATTERN = Pattern.compile("-?\\d+\\.\\d+(E-?\\d+)?");

    private TraceText() {}

    static String of(JsonNode trace) {
        JsonNode hops = trace.path("hops");
        StringBuilder text =
                new StringBuilder("request " + trace.path("request").asText() + ", trace "
                        + hops.path(0).path("trace").asText() + "\n");
        long startMicros = hops.path(0).path("startMicros").asLong();
        Map<String, Integer> depths = new HashMap<>();
        for (JsonNode hop : hops) {
            int depth = depths.getOrDefault(hop.path("parent").asText(), -1) + 1;
            depths.put(hop.path("span").asText(), depth);
            long offsetMicros = hop.path("startMicros").asLong() - startMicros;
            String duration = "+" + formatMillis(hop.path("durationMicros").asLong());
            text.append(String.format(Locale.ROOT, "%10s %11s  ", formatMillis(offsetMicros), duration))
                    .append("  ".repeat(depth))
                    .append(hop.path("name").asText())
                    .append(hop.path("ok").asBoolean() ? "" : " FAILED")
                    .append(formatAttributes(hop.path("attributes")))
                    .append('\n');
            for (JsonNode event : hop.path("events")) {
                String at =
                        formatMillis(offsetMicros + event.path("afterMicros").asLong());
                text.append(String.format(Locale.ROOT, "%10s %11s  ", at, ""))
                        .append("  ".repeat(depth + 1))
                        .append("- ")
                        .append(event.path("name").asText())
                        .append(formatAttributes(event.path("attributes")))
                        .append('\n');
            }
        }
        return text.toString();
    }

    private static String formatMillis(long micros) {
        return String.format(Locale.ROOT, "%.1f ms", micros / MICROS_PER_MILLI);
    }

    /** Formats the attributes, except for the request id, which the header line contains. */
    private static String formatAttributes(JsonNode attributes) {
        StringBuilder text = new StringBuilder();
        attributes.fields().forEachRemaining(field -> {
            if (!field.getKey().equals(REQUEST_ATTRIBUTE)) {
                text.append("  ").append(field.getKey()).append('=');
                text.append(roundFraction(field.getValue().asText()));
            }
        });
        return text.toString();
    }

    /** Rounds fractions to three decimal places. Other values are returned unchanged. */
    private static String roundFraction(String value) {
        return FRACTION_PATTERN.matcher(value).matches()
                ? String.format(Locale.ROOT, "%.3f", Double.parseDouble(value))
                : value;
    }
}
