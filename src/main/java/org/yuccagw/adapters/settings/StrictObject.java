package org.yuccagw.adapters.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.yuccagw.adapters.settings.PositionedValue.Field;
import org.yuccagw.adapters.settings.PositionedValue.FlagValue;
import org.yuccagw.adapters.settings.PositionedValue.ListValue;
import org.yuccagw.adapters.settings.PositionedValue.NumberValue;
import org.yuccagw.adapters.settings.PositionedValue.ObjectValue;
import org.yuccagw.adapters.settings.PositionedValue.Position;
import org.yuccagw.adapters.settings.PositionedValue.TextValue;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;

/**
 * Reads the typed fields of one JSON object and rejects every unexpected field or value.
 *
 * <p>Every error names the line, the column, the path, the expected and the found value. Unknown fields are reported
 * before missing ones, so that a misspelled name is recognized as such: {@code ownr} gives "unknown field, did you mean
 * 'owner'?" and not "owner is missing".
 *
 * <p>Methods that read a field throw a {@link YuccagwException} of the document's error kind if the field is missing or
 * has another type.
 */
public final class StrictObject {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:@-]{0,99}");
    private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{64}");
    private static final String NAME_SYNTAX =
            "1 to 100 letters, digits or . _ : @ -, beginning with a letter or a digit";

    private final ObjectValue object;
    private final ErrorKind kind;

    private StrictObject(ObjectValue object, ErrorKind kind) {
        this.object = object;
        this.kind = kind;
    }

    /** Parses a document whose root object may have only the {@code known} fields. */
    public static StrictObject parse(byte[] document, ErrorKind kind, String... known) throws YuccagwException {
        return of(PositionedParser.parse(document, kind), kind, known);
    }

    /** Parses a document whose root object may have any fields. */
    public static StrictObject parseWithAnyFields(byte[] document, ErrorKind kind) throws YuccagwException {
        return withAnyFields(PositionedParser.parse(document, kind), kind);
    }

    private static StrictObject of(PositionedValue value, ErrorKind kind, String... known) throws YuccagwException {
        StrictObject strict = withAnyFields(value, kind);
        strict.rejectUnknownFields(List.of(known));
        return strict;
    }

    private static StrictObject withAnyFields(PositionedValue value, ErrorKind kind) throws YuccagwException {
        if (value instanceof ObjectValue object) {
            return new StrictObject(object, kind);
        }
        throw unexpectedValue(kind, value.position(), "an object", value);
    }

    /** Returns an error at the position of a field, or at that of the object if the field is absent. */
    public YuccagwException error(String field, String problem) {
        Field found = object.fields().get(field);
        Position position = found == null ? object.position() : found.value().position();
        return kind.raise(position + ": " + problem);
    }

    /** Returns whether the object has the field. */
    public boolean has(String field) {
        return object.fields().containsKey(field);
    }

    /** Returns the names of the fields in the order of the file. */
    public List<String> fieldNames() {
        return List.copyOf(object.fields().keySet());
    }

    /** Returns the text of a required field. */
    public String text(String field) throws YuccagwException {
        PositionedValue value = required(field, "a text");
        return requireText(value);
    }

    /** Returns the text of an optional field, empty if the field is absent. */
    public Optional<String> optionalText(String field) throws YuccagwException {
        return has(field) ? Optional.of(text(field)) : Optional.empty();
    }

    /** Returns the text of a required field, which must not be blank. */
    String nonBlankText(String field) throws YuccagwException {
        String text = text(field);
        if (text.isBlank()) {
            throw error(field, "expected a text that isn't blank");
        }
        return text;
    }

    /** Returns the text of a required field, which must have the form of a name. */
    String name(String field) throws YuccagwException {
        String text = text(field);
        if (!NAME.matcher(text).matches()) {
            throw error(field, "expected " + NAME_SYNTAX + ", found \"" + text + "\"");
        }
        return text;
    }

    /** Returns the SHA-256 hash of a key in a required field. */
    String keyHash(String field) throws YuccagwException {
        String text = text(field);
        if (!KEY_HASH.matcher(text).matches()) {
            throw error(field, "expected 64 lower-case hexadecimal digits, the SHA-256 of a key");
        }
        return text;
    }

    /** Returns the SHA-256 hashes of keys in a required list. */
    List<String> keyHashes(String field) throws YuccagwException {
        List<String> hashes = new ArrayList<>();
        for (PositionedValue item : items(field)) {
            String hash = requireText(item);
            if (!KEY_HASH.matcher(hash).matches()) {
                throw kind.raise(item.position() + ": expected 64 lower-case hexadecimal digits, the SHA-256 of a key");
            }
            hashes.add(hash);
        }
        return hashes;
    }

    /** Returns the texts of a required list. */
    public List<String> texts(String field) throws YuccagwException {
        List<String> texts = new ArrayList<>();
        for (PositionedValue item : items(field)) {
            texts.add(requireText(item));
        }
        return texts;
    }

    /** Returns the boolean of a required field. */
    public boolean flag(String field) throws YuccagwException {
        PositionedValue value = required(field, "true or false");
        if (value instanceof FlagValue flag) {
            return flag.flag();
        }
        throw unexpectedValue(kind, value.position(), "true or false", value);
    }

    /** Returns the whole number of a required field, from {@code min} to {@code max}. */
    long wholeNumber(String field, long min, long max) throws YuccagwException {
        String expected = "a whole number from " + min + " to " + max;
        PositionedValue value = required(field, expected);
        if (value instanceof NumberValue number) {
            try {
                long parsed = Long.parseLong(number.digits());
                if (parsed >= min && parsed <= max) {
                    return parsed;
                }
            } catch (NumberFormatException ignored) {
                // Not a whole number; reported below like any other invalid value.
            }
        }
        throw unexpectedValue(kind, value.position(), expected, value);
    }

    int integer(String field, int min, int max) throws YuccagwException {
        return (int) wholeNumber(field, min, max);
    }

    /** Returns the number of a required field, which must be finite and at least 0. */
    public double decimal(String field) throws YuccagwException {
        return decimal(field, "a number of at least 0", parsed -> parsed >= 0);
    }

    /** Returns the number of a required field, which must be finite and above 0. */
    double positiveDecimal(String field) throws YuccagwException {
        return decimal(field, "a number above 0", parsed -> parsed > 0);
    }

    /**
     * Returns the duration of a required field whose name ends in {@code _ms}: a whole number of milliseconds, from 1
     * to those of 3650 days.
     */
    Duration duration(String field) throws YuccagwException {
        return Duration.ofMillis(wholeNumber(field, 1, Duration.ofDays(3650).toMillis()));
    }

    /**
     * Returns the object of a required field and ignores its unknown fields. Meant for documents that are written by
     * other systems, which may add fields.
     */
    public StrictObject objectWithAnyFields(String field) throws YuccagwException {
        return withAnyFields(required(field, "an object"), kind);
    }

    /** Returns the numbers of a required list with at least one element; fractions are cut off. */
    public List<Long> wholeNumbers(String field) throws YuccagwException {
        List<Long> numbers = new ArrayList<>();
        for (PositionedValue item : items(field)) {
            if (!(item instanceof NumberValue number)) {
                throw unexpectedValue(kind, item.position(), "a whole number", item);
            }
            numbers.add((long) Double.parseDouble(number.digits()));
        }
        if (numbers.isEmpty()) {
            throw error(field, "expected at least one number");
        }
        return numbers;
    }

    /** Returns the object of a required field, which may have only the {@code known} fields. */
    StrictObject object(String field, String... known) throws YuccagwException {
        return of(required(field, "an object"), kind, known);
    }

    /**
     * Returns the objects of a required field by their names, in the order of the file. The names are free; each object
     * may have only the {@code known} fields.
     */
    Map<String, StrictObject> namedObjects(String field, String... known) throws YuccagwException {
        StrictObject outer = withAnyFields(required(field, "an object"), kind);
        Map<String, StrictObject> byName = new LinkedHashMap<>();
        for (Map.Entry<String, Field> entry : outer.object.fields().entrySet()) {
            if (!NAME.matcher(entry.getKey()).matches()) {
                throw kind.raise(entry.getValue().position() + ": expected a name of " + NAME_SYNTAX);
            }
            byName.put(entry.getKey(), of(entry.getValue().value(), kind, known));
        }
        return byName;
    }

    /** Returns the objects of a required list; each may have only the {@code known} fields. */
    List<StrictObject> objects(String field, String... known) throws YuccagwException {
        List<StrictObject> objects = new ArrayList<>();
        for (PositionedValue item : items(field)) {
            objects.add(of(item, kind, known));
        }
        return objects;
    }

    private double decimal(String field, String expected, java.util.function.DoublePredicate accepts)
            throws YuccagwException {
        PositionedValue value = required(field, expected);
        if (value instanceof NumberValue number) {
            double parsed = Double.parseDouble(number.digits());
            if (Double.isFinite(parsed) && accepts.test(parsed)) {
                return parsed;
            }
        }
        throw unexpectedValue(kind, value.position(), expected, value);
    }

    private List<PositionedValue> items(String field) throws YuccagwException {
        PositionedValue value = required(field, "a list");
        if (value instanceof ListValue list) {
            return list.items();
        }
        throw unexpectedValue(kind, value.position(), "a list", value);
    }

    private String requireText(PositionedValue value) throws YuccagwException {
        if (value instanceof TextValue text) {
            return text.text();
        }
        throw unexpectedValue(kind, value.position(), "a text in double quotes", value);
    }

    private PositionedValue required(String field, String expected) throws YuccagwException {
        Field found = object.fields().get(field);
        if (found == null) {
            throw kind.raise(object.position() + ": field '" + field + "' is missing: add it with " + expected);
        }
        return found.value();
    }

    private void rejectUnknownFields(List<String> known) throws YuccagwException {
        for (Map.Entry<String, Field> entry : object.fields().entrySet()) {
            if (!known.contains(entry.getKey())) {
                String nearest = NearestName.of(entry.getKey(), known);
                throw kind.raise(entry.getValue().position() + ": unknown field, did you mean '" + nearest + "'?");
            }
        }
    }

    private static YuccagwException unexpectedValue(
            ErrorKind kind, Position position, String expected, PositionedValue found) {
        return kind.raise(position + ": expected " + expected + ", found " + found.describe());
    }
}
