package org.yuccagw.core.swap;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableSortedMap;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.yuccagw.core.id.EndpointId;

/**
 * The endpoints of a pool that may load weights at present, with their incarnations, as stored in the key-value
 * service.
 *
 * <p>Every owner changes the permits by compare-and-swap only, and orders no endpoint that has no permit. So the
 * permits of a failed owner still count for the next one, and the number of permits never exceeds the limit.
 */
record SwapPermits(ImmutableSortedMap<EndpointId, Long> incarnations) {
    private static final String PREFIX = "yuccagw/swaps/";
    private static final SwapPermits NONE = new SwapPermits(ImmutableSortedMap.of());

    static SwapPermits none() {
        return NONE;
    }

    static SwapPermits of(Map<EndpointId, Long> incarnations) {
        return new SwapPermits(ImmutableSortedMap.copyOf(incarnations));
    }

    static String key(String pool) {
        return PREFIX + pool;
    }

    byte[] encode() {
        StringBuilder lines = new StringBuilder();
        incarnations.forEach((endpoint, incarnation) ->
                lines.append(incarnation).append(' ').append(endpoint).append('\n'));
        return lines.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes the stored value; a malformed line counts as no permit, since no owner writes such lines. */
    static SwapPermits decode(byte[] value) {
        Map<EndpointId, Long> read = new TreeMap<>();
        String text = new String(value, StandardCharsets.UTF_8);
        for (String line : Splitter.on('\n').omitEmptyStrings().split(text)) {
            List<String> fields = Splitter.on(' ').limit(2).splitToList(line);
            if (fields.size() == 2 && fields.get(0).chars().allMatch(Character::isDigit)) {
                read.put(EndpointId.of(fields.get(1)), Long.parseLong(fields.get(0)));
            }
        }
        return of(read);
    }
}
