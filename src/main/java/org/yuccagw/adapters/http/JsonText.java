package org.yuccagw.adapters.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;

/**
 * Reads and writes JSON trees with Jackson's streaming parser and generator only.
 *
 * <p>Jackson's object mapper sets up its support for beans, dates and calendars when it is created, which takes a sixth
 * of the start of an entry until callers can connect.
 */
public final class JsonText {
    private static final JsonFactory FACTORY = BoundedJson.factory();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonText() {}

    /** Returns a new empty object. */
    public static ObjectNode object() {
        return NODES.objectNode();
    }

    /**
     * Parses a document; any content after its end is ignored.
     *
     * @throws IOException if the document isn't valid JSON, or if there is none. An empty answer may have broken off
     *     before its first byte, so it mustn't be read as one without fields
     */
    public static JsonNode read(byte[] document) throws IOException {
        try (JsonParser parser = FACTORY.createParser(document)) {
            if (parser.nextToken() == null) {
                throw new IOException("there is no JSON document");
            }
            return readValue(parser);
        }
    }

    private static JsonNode readValue(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser);
            case START_ARRAY -> readArray(parser);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> readInteger(parser);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            default -> NODES.nullNode();
        };
    }

    private static JsonNode readInteger(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }

    private static ObjectNode readObject(JsonParser parser) throws IOException {
        ObjectNode object = NODES.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            object.set(name, readValue(parser));
        }
        return object;
    }

    private static ArrayNode readArray(JsonParser parser) throws IOException {
        ArrayNode array = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(readValue(parser));
        }
        return array;
    }

    /** Returns the document as text in one line. */
    public static String write(JsonNode node) {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = FACTORY.createGenerator(text)) {
            writeValue(node, generator);
        } catch (IOException e) {
            throw new UncheckedIOException("writing JSON to memory failed", e);
        }
        return text.toString();
    }

    private static void writeValue(JsonNode node, JsonGenerator generator) throws IOException {
        switch (node.getNodeType()) {
            case OBJECT -> {
                generator.writeStartObject();
                for (var field : node.properties()) {
                    generator.writeFieldName(field.getKey());
                    writeValue(field.getValue(), generator);
                }
                generator.writeEndObject();
            }
            case ARRAY -> {
                generator.writeStartArray();
                for (JsonNode item : node) {
                    writeValue(item, generator);
                }
                generator.writeEndArray();
            }
            case STRING -> generator.writeString(node.textValue());
            case NUMBER -> generator.writeNumber(node.asText());
            case BOOLEAN -> generator.writeBoolean(node.booleanValue());
            default -> generator.writeNull();
        }
    }
}
