package org.yuccagw.cli;

/**
 * Has the logging library write its plain lines itself, without its core.
 *
 * <p>The core reads its configuration as XML, looks through its plug-ins and makes a layout from a pattern: a seventh
 * of the processor time of a start, right when the callers of a whole fleet come back. The lines are the same, but for
 * JSON, which needs the core.
 */
final class PlainLog {
    private static final String CHOSEN_STYLE = "yuccagw.log";
    private static final String FACTORY = "log4j2.loggerContextFactory";
    private static final String PREFIX = "org.apache.logging.log4j.simplelog.";
    private static final String DECISIONS = "org.yuccagw.decisions";

    private PlainLog() {}

    /**
     * Before the first line is logged. Does nothing if the user chose a style of lines.
     *
     * @param level the least level of decision lines
     */
    static void choose(String level) {
        if (System.getProperty(CHOSEN_STYLE) != null) {
            return;
        }
        System.setProperty(FACTORY, "org.apache.logging.log4j.simple.SimpleLoggerContextFactory");
        System.setProperty(PREFIX + "logFile", "system.out");
        System.setProperty(PREFIX + "showdatetime", "true");
        System.setProperty(PREFIX + "dateTimeFormat", "yyyy-MM-dd'T'HH:mm:ss,SSSZ");
        System.setProperty(PREFIX + "level", "warn");
        System.setProperty(PREFIX + DECISIONS + ".level", level);
    }
}
