package org.yuccagw.cli;

/** Log level of a system that runs inside a command: warnings only, unless the user has set a level. */
final class EmbeddedLogLevel {
    private static final String LEVEL_PROPERTY = "yuccagw.log.level";

    private EmbeddedLogLevel() {}

    /** Must be called before the first line is logged, since the logging library reads the level only once. */
    static void setDefaultLevel() {
        if (System.getProperty(LEVEL_PROPERTY) == null) {
            System.setProperty(LEVEL_PROPERTY, "warn");
        }
    }
}
