package org.yuccagw.adapters.settings;

import java.util.List;
import java.util.Map;

/**
 * A JSON value with its position in the file, for error messages.
 *
 * <p>Example: in {@code {"classes": {"fast": {"weight": 0}}}} the number has the path {@code classes.fast.weight}.
 */
sealed interface PositionedValue {
    Position position();

    /** Returns the description of the value in error messages. */
    String describe();

    /**
     * The start of a value in the file.
     *
     * @param line line number, from 1
     * @param column column in characters, from 1
     * @param path names of fields and indices of lists, starting at the root; empty for the root
     */
    record Position(int line, int column, String path) {
        /** Returns the path of a field of the value at this position. */
        String childPath(String name) {
            return path.isEmpty() ? name : path + "." + name;
        }

        @Override
        public String toString() {
            String lineAndColumn = "line " + line + ", column " + column;
            return path.isEmpty() ? lineAndColumn : lineAndColumn + ", " + path;
        }
    }

    record ObjectValue(Position position, Map<String, Field> fields) implements PositionedValue {
        @Override
        public String describe() {
            return "an object";
        }
    }

    /** A field of an object with the position of its name. */
    record Field(Position position, PositionedValue value) {}

    record ListValue(Position position, List<PositionedValue> items) implements PositionedValue {
        @Override
        public String describe() {
            return "a list";
        }
    }

    record TextValue(Position position, String text) implements PositionedValue {
        /** Omits the text itself, which may be a secret key in the wrong field. */
        @Override
        public String describe() {
            return "a text";
        }
    }

    record NumberValue(Position position, String digits) implements PositionedValue {
        @Override
        public String describe() {
            return "the number " + digits;
        }
    }

    record FlagValue(Position position, boolean flag) implements PositionedValue {
        @Override
        public String describe() {
            return Boolean.toString(flag);
        }
    }

    record NullValue(Position position) implements PositionedValue {
        @Override
        public String describe() {
            return "null";
        }
    }
}
