package org.yuccagw.adapters.http;

import com.google.common.base.CharMatcher;
import io.undertow.util.HttpString;

/**
 * A line of a head or of trailers: a name, a colon and a value, as RFC 9112 defines it. There may be blanks around the
 * value but none around the name, and a value doesn't continue on the next line.
 */
record FieldLine(HttpString name, String value) {
    private static final CharMatcher NAME_CHARACTERS = CharMatcher.inRange('a', 'z')
            .or(CharMatcher.inRange('A', 'Z'))
            .or(CharMatcher.inRange('0', '9'))
            .or(CharMatcher.anyOf("!#$%&'*+-.^_`|~"))
            .precomputed();
    private static final CharMatcher BLANKS = CharMatcher.anyOf(" \t");

    /**
     * Parses a line without control characters.
     *
     * @throws InvalidResponseException if it is no field
     */
    static FieldLine parse(String line) throws InvalidResponseException {
        int colon = line.indexOf(':');
        if (colon <= 0 || !NAME_CHARACTERS.matchesAllOf(line.substring(0, colon))) {
            throw new InvalidResponseException(ResponseDefect.FIELD);
        }
        return new FieldLine(
                HttpString.tryFromString(line.substring(0, colon)), BLANKS.trimFrom(line.substring(colon + 1)));
    }
}
