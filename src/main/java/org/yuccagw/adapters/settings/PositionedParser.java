package org.yuccagw.adapters.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.yuccagw.adapters.http.BoundedJson;
import org.yuccagw.adapters.settings.PositionedValue.Field;
import org.yuccagw.adapters.settings.PositionedValue.Position;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;

/** Parses JSON with comments into values with their positions. Rejects an object that contains a field twice. */
final class PositionedParser {
    private static final JsonFactory FACTORY = BoundedJson.factoryBuilder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .build();

    private final JsonParser parser;
    private final ErrorKind kind;

    private PositionedParser(JsonParser parser, ErrorKind kind) {
        this.parser = parser;
        this.kind = kind;
    }

    /**
     * Parses a complete document.
     *
     * @param kind the kind of the errors, whose template has one parameter
     * @throws YuccagwException of that kind, which names the position, when the document is malformed
     */
    static PositionedValue parse(byte[] document, ErrorKind kind) throws YuccagwException {
        String text = decode(document, kind);
        try (JsonParser parser = FACTORY.createParser(text)) {
            return new PositionedParser(parser, kind).readDocument();
        } catch (JsonProcessingException e) {
            throw kind.raiseFrom(e, describe(e.getLocation()) + ": " + e.getOriginalMessage());
        } catch (IOException e) {
            throw kind.raiseFrom(e, "the document can't be read: " + e.getMessage());
        }
    }

    /** Returns the position of an error; one of a limit of the parser has none. */
    private static String describe(JsonLocation location) {
        return location == null
                ? "the document"
                : "line " + location.getLineNr() + ", column " + location.getColumnNr();
    }

    private static String decode(byte[] document, ErrorKind kind) throws YuccagwException {
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(document))
                    .toString();
        } catch (CharacterCodingException e) {
            throw kind.raiseFrom(e, "the document isn't valid UTF-8: save it as UTF-8");
        }
    }

    private PositionedValue readDocument() throws IOException, YuccagwException {
        if (parser.nextToken() == null) {
            throw kind.raise("line 1, column 1: the document is empty: expected an object");
        }
        PositionedValue value = readValue("");
        if (parser.nextToken() != null) {
            throw kind.raise(tokenPosition("") + ": expected the end of the document, found more");
        }
        return value;
    }

    private PositionedValue readValue(String path) throws IOException, YuccagwException {
        Position position = tokenPosition(path);
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(position);
            case START_ARRAY -> readList(position);
            case VALUE_STRING -> new PositionedValue.TextValue(position, parser.getText());
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> new PositionedValue.NumberValue(position, parser.getText());
            case VALUE_TRUE -> new PositionedValue.FlagValue(position, true);
            case VALUE_FALSE -> new PositionedValue.FlagValue(position, false);
            default -> new PositionedValue.NullValue(position);
        };
    }

    private PositionedValue readObject(Position position) throws IOException, YuccagwException {
        Map<String, Field> fields = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            Position namePosition = tokenPosition(position.childPath(name));
            parser.nextToken();
            Field field = new Field(namePosition, readValue(position.childPath(name)));
            Field earlier = fields.putIfAbsent(name, field);
            if (earlier != null) {
                throw kind.raise(namePosition + ": stands twice; the first is at line "
                        + earlier.position().line() + ", remove one");
            }
        }
        return new PositionedValue.ObjectValue(position, fields);
    }

    private PositionedValue readList(Position position) throws IOException, YuccagwException {
        List<PositionedValue> items = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items.add(readValue(position.path() + "[" + items.size() + "]"));
        }
        return new PositionedValue.ListValue(position, items);
    }

    private Position tokenPosition(String path) {
        JsonLocation location = parser.currentTokenLocation();
        return new Position(location.getLineNr(), location.getColumnNr(), path);
    }
}
