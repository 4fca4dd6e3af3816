package org.yuccagw.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/** JSON conversion for the stand-ins. Records become objects with field names in snake case. */
public final class StandInJson {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .build();

    private StandInJson() {}

    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Converts a record, list or map to a tree. */
    public static JsonNode tree(Object value) {
        return MAPPER.valueToTree(value);
    }

    public static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Parses a JSON object.
     *
     * @throws IllegalArgumentException if the bytes aren't a JSON object
     */
    public static JsonNode parse(byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            if (node == null || !node.isObject()) {
                throw new IllegalArgumentException("the body has to be a JSON object");
            }
            return node;
        } catch (IOException e) {
            throw new IllegalArgumentException("the body isn't JSON: " + e.getMessage(), e);
        }
    }

    /** Returns an error in the format {@code {"error":{"code":...,"message":...}}}. */
    public static JsonNode error(String code, String message) {
        ObjectNode error = object();
        error.putObject("error").put("code", code).put("message", message);
        return error;
    }
}
