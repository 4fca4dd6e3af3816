package org.yuccagw.standins.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Faults to inject into the next reads of blocks, set as the field {@code reads} of {@code POST /knobs}.
 *
 * @param damaged the number of reads that are answered with one byte changed
 * @param cut the number of reads whose connection is closed after half of the bytes
 * @param silent the number of reads that are never answered, while other calls work
 */
public record ReadFaults(int damaged, int cut, int silent) {
    private static final ReadFaults NONE = new ReadFaults(0, 0, 0);

    public static ReadFaults none() {
        return NONE;
    }

    static ReadFaults of(JsonNode node) {
        return new ReadFaults(
                node.path("damaged").asInt(0),
                node.path("cut").asInt(0),
                node.path("silent").asInt(0));
    }
}
