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
import org.yuccagw.adapters.settings.PositionedValue.Place;
import org.yuccagw.adapters.settings.PositionedValue.TextValue;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;

/**
 * Takes typed fields out of one JSON object and refuses everything that isn't as expected.
 *
 * <p>Every error names line, column and path, what was expected, and what was found. Unknown fields are refused before
 * missing ones are, so that a typing error is told as such: {@code ownr} gives "unknown field, did you mean 'owner'?"
 * and not "owner is missing".
 */
public final class StrictObject {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:@-]{0,99}");
    private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{64}");
    private static final String NAME_FORM = "1 to 100 letters, digits or . _ : @ -, beginning with a letter or a digit";

    private final ObjectValue object;
    private final ErrorKind kind;

    private StrictObject(ObjectValue object, ErrorKind kind) {
        this.object = object;
        this.kind = kind;
    }

    /** A whole document that has at most these fields. */
    public static StrictObject parse(byte[] document, ErrorKind kind, String... known) throws YuccagwException {
        return of(PositionedParser.parse(document, kind), kind, known);
    }

    /** A whole document, whatever its fields. */
    public static StrictObject parseAny(byte[] document, ErrorKind kind) throws YuccagwException {
        return ofAnyNames(PositionedParser.parse(document, kind), kind);
    }

    private static StrictObject of(PositionedValue value, ErrorKind kind, String... known) throws YuccagwException {
        StrictObject strict = ofAnyNames(value, kind);
        strict.refuseUnknown(List.of(known));
        return strict;
    }

    private static StrictObject ofAnyNames(PositionedValue value, ErrorKind kind) throws YuccagwException {
        if (value instanceof ObjectValue object) {
            return new StrictObject(object, kind);
        }
        throw wrong(kind, value.place(), "an object", value);
    }

    /** The error of a field, at its place; at the object's place if the field is absent. */
    public YuccagwException error(String field, String problem) {
        Field found = object.fields().get(field);
        Place place = found == null ? object.place() : found.value().place();
        return kind.raise(place + ": " + problem);
    }

    /** Whether the object has the field. */
    public boolean has(String field) {
        return object.fields().containsKey(field);
    }

    /** The names of its fields, in the file's order. */
    public List<String> fieldNames() {
        return List.copyOf(object.fields().keySet());
    }

    /** A required text. */
    public String text(String field) throws YuccagwException {
        PositionedValue value = required(field, "a text");
        return textOf(value);
    }

    /** A text that may be absent. */
    public Optional<String> optionalText(String field) throws YuccagwException {
        return has(field) ? Optional.of(text(field)) : Optional.empty();
    }

    /** A text that isn't blank. */
    String presentText(String field) throws YuccagwException {
        String text = text(field);
        if (text.isBlank()) {
            throw error(field, "expected a text that isn't blank");
        }
        return text;
    }

    String name(String field) throws YuccagwException {
        String text = text(field);
        if (!NAME.matcher(text).matches()) {
            throw error(field, "expected " + NAME_FORM + ", found \"" + text + "\"");
        }
        return text;
    }

    String keyHash(String field) throws YuccagwException {
        String text = text(field);
        if (!KEY_HASH.matcher(text).matches()) {
            throw error(field, "expected 64 lower-case hexadecimal digits, the SHA-256 of a key");
        }
        return text;
    }

    List<String> keyHashes(String field) throws YuccagwException {
        List<String> hashes = new ArrayList<>();
        for (PositionedValue item : items(field)) {
            String hash = textOf(item);
            if (!KEY_HASH.matcher(hash).matches()) {
                throw kind.raise(item.place() + ": expected 64 lower-case hexadecimal digits, the SHA-256 of a key");
            }
            hashes.add(hash);
        }
        return hashes;
    }

    /** A required list of texts. */
    public List<String> texts(String field) throws YuccagwException {
        List<String> texts = new ArrayList<>();
        for (PositionedValue item : items(field)) {
            texts.add(textOf(item));
        }
        return texts;
    }

    /** A required true or false. */
    public boolean flag(String field) throws YuccagwException {
        PositionedValue value = required(field, "true or false");
        if (value instanceof FlagValue flag) {
            return flag.flag();
        }
        throw wrong(kind, value.place(), "true or false", value);
    }

    long wholeNumber(String field, long least, long most) throws YuccagwException {
        String expected = "a whole number from " + least + " to " + most;
        PositionedValue value = required(field, expected);
        if (value instanceof NumberValue number) {
            try {
                long parsed = Long.parseLong(number.digits());
                if (parsed >= least && parsed <= most) {
                    return parsed;
                }
            } catch (NumberFormatException ignored) {
                // Not a whole number: told below as any other wrong value.
            }
        }
        throw wrong(kind, value.place(), expected, value);
    }

    int integer(String field, int least, int most) throws YuccagwException {
        return (int) wholeNumber(field, least, most);
    }

    /** A finite number of at least 0. */
    public double decimal(String field) throws YuccagwException {
        return decimal(field, "a number of at least 0", parsed -> parsed >= 0);
    }

    /** A finite number above 0. */
    double positiveDecimal(String field) throws YuccagwException {
        return decimal(field, "a number above 0", parsed -> parsed > 0);
    }

    /** A duration in a field whose name ends in {@code _ms}: a whole number of milliseconds of at least 1. */
    Duration duration(String field) throws YuccagwException {
        return Duration.ofMillis(wholeNumber(field, 1, Duration.ofDays(3650).toMillis()));
    }

    /** An object of which unknown fields are passed over: for what others write and may extend. */
    public StrictObject lenient(String field) throws YuccagwException {
        return ofAnyNames(required(field, "an object"), kind);
    }

    /** A list of at least one whole number. */
    public List<Long> wholeNumbers(String field) throws YuccagwException {
        List<Long> numbers = new ArrayList<>();
        for (PositionedValue item : items(field)) {
            if (!(item instanceof NumberValue number)) {
                throw wrong(kind, item.place(), "a whole number", item);
            }
            numbers.add((long) Double.parseDouble(number.digits()));
        }
        if (numbers.isEmpty()) {
            throw error(field, "expected at least one number");
        }
        return numbers;
    }

    StrictObject object(String field, String... known) throws YuccagwException {
        return of(required(field, "an object"), kind, known);
    }

    /** Objects under names that the file chooses, in its order; each has at most the {@code known} fields. */
    Map<String, StrictObject> named(String field, String... known) throws YuccagwException {
        StrictObject outer = ofAnyNames(required(field, "an object"), kind);
        Map<String, StrictObject> byName = new LinkedHashMap<>();
        for (Map.Entry<String, Field> entry : outer.object.fields().entrySet()) {
            if (!NAME.matcher(entry.getKey()).matches()) {
                throw kind.raise(entry.getValue().place() + ": expected a name of " + NAME_FORM);
            }
            byName.put(entry.getKey(), of(entry.getValue().value(), kind, known));
        }
        return byName;
    }

    List<StrictObject> objects(String field, String... known) throws YuccagwException {
        List<StrictObject> objects = new ArrayList<>();
        for (PositionedValue item : items(field)) {
            objects.add(of(item, kind, known));
        }
        return objects;
    }

    private double decimal(String field, String expected, java.util.function.DoublePredicate fits)
            throws YuccagwException {
        PositionedValue value = required(field, expected);
        if (value instanceof NumberValue number) {
            double parsed = Double.parseDouble(number.digits());
            if (Double.isFinite(parsed) && fits.test(parsed)) {
                return parsed;
            }
        }
        throw wrong(kind, value.place(), expected, value);
    }

    private List<PositionedValue> items(String field) throws YuccagwException {
        PositionedValue value = required(field, "a list");
        if (value instanceof ListValue list) {
            return list.items();
        }
        throw wrong(kind, value.place(), "a list", value);
    }

    private String textOf(PositionedValue value) throws YuccagwException {
        if (value instanceof TextValue text) {
            return text.text();
        }
        throw wrong(kind, value.place(), "a text in double quotes", value);
    }

    private PositionedValue required(String field, String expected) throws YuccagwException {
        Field found = object.fields().get(field);
        if (found == null) {
            throw kind.raise(object.place() + ": field '" + field + "' is missing: add it with " + expected);
        }
        return found.value();
    }

    private void refuseUnknown(List<String> known) throws YuccagwException {
        for (Map.Entry<String, Field> entry : object.fields().entrySet()) {
            if (!known.contains(entry.getKey())) {
                String nearest = NearestName.of(entry.getKey(), known);
                throw kind.raise(entry.getValue().place() + ": unknown field, did you mean '" + nearest + "'?");
            }
        }
    }

    private static YuccagwException wrong(ErrorKind kind, Place place, String expected, PositionedValue found) {
        return kind.raise(place + ": expected " + expected + ", found " + found.describe());
    }
}
