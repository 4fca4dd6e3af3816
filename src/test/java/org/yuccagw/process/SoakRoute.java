package org.yuccagw.process;

/** The routes that every configuration of a soak has. */
enum SoakRoute {
    REPEATABLE("/again/", "idempotent", "plain", true),
    ONCE("/once/", "non_idempotent", "plain", false),
    RESUMABLE("/flow/", "streaming", "engines", true),
    STREAM_ONCE("/stream/", "streaming", "plain", false);

    private final String prefix;
    private final String kind;
    private final String service;
    private final boolean repeatable;

    SoakRoute(String prefix, String kind, String service, boolean repeatable) {
        this.prefix = prefix;
        this.kind = kind;
        this.service = service;
        this.repeatable = repeatable;
    }

    String prefix() {
        return prefix;
    }

    String kind() {
        return kind;
    }

    String service() {
        return service;
    }

    boolean isRepeatable() {
        return repeatable;
    }
}
