package org.yuccagw.process;

/** The routes that every configuration of a soak has. */
enum SoakRoute {
    REPEATABLE("/again/", "idempotent", true),
    ONCE("/once/", "non_idempotent", false),
    RESUMABLE("/flow/", "streaming", true),
    STREAM_ONCE("/stream/", "streaming", false);

    private final String prefix;
    private final String kind;
    private final boolean repeatable;

    SoakRoute(String prefix, String kind, boolean repeatable) {
        this.prefix = prefix;
        this.kind = kind;
        this.repeatable = repeatable;
    }

    String prefix() {
        return prefix;
    }

    String kind() {
        return kind;
    }

    boolean isRepeatable() {
        return repeatable;
    }
}
