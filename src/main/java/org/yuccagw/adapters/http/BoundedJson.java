package org.yuccagw.adapters.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Creates the parsers of JSON that another process wrote. A document that nests deeper than {@link #MAX_DEPTH} isn't
 * read: code that descends once per level would overflow its stack, which ends a thread in place of one request.
 */
public final class BoundedJson {
    /**
     * Levels of arrays and objects in each other. The smallest stack of an entry's threads, 256 KB, bears 400 levels of
     * a recursive reader.
     */
    public static final int MAX_DEPTH = 100;

    private static final StreamReadConstraints CONSTRAINTS =
            StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build();

    private BoundedJson() {}

    /** Returns a factory of streaming parsers and generators. */
    public static JsonFactory factory() {
        return factoryBuilder().build();
    }

    /** Returns a builder of such factories, for those that read extensions of JSON. */
    public static JsonFactoryBuilder factoryBuilder() {
        return new JsonFactoryBuilder().streamReadConstraints(CONSTRAINTS);
    }

    /** Returns a new object mapper. */
    public static ObjectMapper mapper() {
        return new ObjectMapper(factory());
    }
}
