package org.yuccagw.cli;

/**
 * Configures the logging API to write plain lines with its built-in simple logger, without Log4j Core.
 *
 * <p>Log4j Core parses an XML configuration, scans its plug-ins and compiles the pattern of its layout. That takes a
 * seventh of the processor time of a start, at which the callers of the whole fleet may be reconnecting. The lines are
 * the same, except for JSON lines, which need Log4j Core.
 */
final class SimpleLogging {
    private static final String STYLE_PROPERTY = "yuccagw.log";
    private static final String FACTORY_PROPERTY = "log4j2.loggerContextFactory";
    private static final String SIMPLE_LOG_PREFIX = "org.apache.logging.log4j.simplelog.";
    private static final String DECISION_LOGGER = "org.yuccagw.decisions";

    private SimpleLogging() {}

    /**
     * Sets the system properties of the simple logger. Must be called before the first line is logged. Does nothing if
     * the user has set a log style.
     *
     * @param level minimum level of the lines that are logged for decisions
     */
    static void configure(String level) {
        if (System.getProperty(STYLE_PROPERTY) != null) {
            return;
        }
        System.setProperty(FACTORY_PROPERTY, "org.apache.logging.log4j.simple.SimpleLoggerContextFactory");
        System.setProperty(SIMPLE_LOG_PREFIX + "logFile", "system.out");
        System.setProperty(SIMPLE_LOG_PREFIX + "showdatetime", "true");
        System.setProperty(SIMPLE_LOG_PREFIX + "dateTimeFormat", "yyyy-MM-dd'T'HH:mm:ss,SSSZ");
        System.setProperty(SIMPLE_LOG_PREFIX + "level", "warn");
        System.setProperty(SIMPLE_LOG_PREFIX + DECISION_LOGGER + ".level", level);
    }
}
