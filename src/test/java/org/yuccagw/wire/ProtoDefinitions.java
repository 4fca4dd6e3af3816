package org.yuccagw.wire;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads a definition file of protobuf, as far as the definitions of this project go: package, options, and messages with
 * fields, oneof groups and reserved numbers. Whatever else stands in a file is an error that names its line.
 */
final class ProtoDefinitions {
    private static final Pattern TOKEN = Pattern.compile("//[^\n]*|\"[^\"\n]*\"|[A-Za-z_][A-Za-z0-9_.]*|[0-9]+|\\S|\n");
    private static final Pattern NAME = Pattern.compile("[A-Za-z_][A-Za-z0-9_.]*");
    private static final Pattern NUMBER = Pattern.compile("[0-9]+");
    private static final String NO_GROUP = "";

    private final String file;
    private final List<Token> tokens = new ArrayList<>();
    private final Map<String, Set<Field>> messages = new LinkedHashMap<>();
    private String packageName = "";
    private int next;

    private ProtoDefinitions(String file) {
        this.file = file;
    }

    /**
     * Returns the fields of each message by its name.
     *
     * @throws IllegalArgumentException if the text can't be read; its message names file and line
     */
    static Map<String, Set<Field>> read(String file, String text) {
        ProtoDefinitions definitions = new ProtoDefinitions(file);
        definitions.split(text);
        definitions.readFile();
        return definitions.messages;
    }

    private void split(String text) {
        int line = 1;
        Matcher matcher = TOKEN.matcher(text);
        while (matcher.find()) {
            String found = matcher.group();
            if (found.equals("\n")) {
                line++;
            } else if (!found.startsWith("//")) {
                tokens.add(new Token(found, line));
            }
        }
    }

    private void readFile() {
        while (next < tokens.size()) {
            String keyword = take();
            switch (keyword) {
                case "syntax", "option" -> skipStatement();
                case "package" -> {
                    packageName = take(NAME);
                    expect(";");
                }
                case "message" -> readMessage();
                default -> throw unexpected(keyword);
            }
        }
    }

    private void readMessage() {
        String name = take(NAME);
        Set<Field> fields = new TreeSet<>();
        if (messages.put(name, fields) != null) {
            throw new IllegalArgumentException(file + ": message " + name + " is defined twice");
        }
        expect("{");
        for (String token = take(); !token.equals("}"); token = take()) {
            switch (token) {
                case "oneof" -> readGroup(fields);
                case "reserved" -> skipStatement();
                default -> fields.add(readField(token, NO_GROUP));
            }
        }
    }

    private void readGroup(Set<Field> fields) {
        String group = take(NAME);
        expect("{");
        for (String token = take(); !token.equals("}"); token = take()) {
            fields.add(readField(token, group));
        }
    }

    private Field readField(String first, String group) {
        boolean repeated = first.equals("repeated");
        String type = repeated ? take(NAME) : first;
        if (!NAME.matcher(type).matches()) {
            throw unexpected(type);
        }
        String name = take(NAME);
        expect("=");
        int number = Integer.parseInt(take(NUMBER));
        expect(";");
        return new Field(number, name, Field.SCALARS.contains(type) ? type : qualified(type), repeated, group);
    }

    private String qualified(String type) {
        return packageName.isEmpty() ? type : packageName + "." + type;
    }

    private void skipStatement() {
        String token = take();
        while (!token.equals(";")) {
            token = take();
        }
    }

    private void expect(String expected) {
        String found = take();
        if (!found.equals(expected)) {
            throw unexpected(found);
        }
    }

    private String take(Pattern pattern) {
        String found = take();
        if (!pattern.matcher(found).matches()) {
            throw unexpected(found);
        }
        return found;
    }

    private String take() {
        if (next == tokens.size()) {
            throw new IllegalArgumentException(file + ": ends inside a definition");
        }
        return tokens.get(next++).text();
    }

    private IllegalArgumentException unexpected(String found) {
        return new IllegalArgumentException(
                file + ": line " + tokens.get(next - 1).line() + ": unexpected '" + found + "'");
    }

    private record Token(String text, int line) {}

    /**
     * A field of a message.
     *
     * @param type the scalar's name, or the message's with its package
     * @param group the oneof group that holds the field, or empty
     */
    record Field(int number, String name, String type, boolean repeated, String group) implements Comparable<Field> {
        static final Set<String> SCALARS = Set.of(
                "double",
                "float",
                "int32",
                "int64",
                "uint32",
                "uint64",
                "sint32",
                "sint64",
                "fixed32",
                "fixed64",
                "sfixed32",
                "sfixed64",
                "bool",
                "string",
                "bytes");

        @Override
        public int compareTo(Field other) {
            return Integer.compare(number, other.number);
        }
    }
}
