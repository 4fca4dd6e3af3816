package org.yuccagw.daemon;

import java.util.logging.Level;
import java.util.logging.Logger;
import javax.management.MBeanServer;
import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Prevents the creation of the platform MBean server, which is not used by an entry.
 *
 * <p>The network library registers its beans there, and works without them if there is no server. Creating the server
 * takes a quarter of the time of the main thread until callers can connect. After a loss of all entries, every caller
 * waits for that time.
 */
public final class DisabledMBeanServerBuilder extends MBeanServerBuilder {
    private static final String BUILDER_PROPERTY = "javax.management.builder.initial";

    /** Called by the JDK, which creates the builder by its class name. */
    public DisabledMBeanServerBuilder() {}

    /**
     * Installs this builder, and disables log lines of the JDK logger below warnings. Must be called before any library
     * is used. The log level is raised because formatting a single line, in which the network library logs its version,
     * loads the calendars of all locales.
     */
    public static void install() {
        System.setProperty(BUILDER_PROPERTY, DisabledMBeanServerBuilder.class.getName());
        Logger.getLogger("").setLevel(Level.WARNING);
    }

    @Override
    public MBeanServerDelegate newMBeanServerDelegate() {
        throw new UnsupportedOperationException("the platform MBean server is disabled in this process");
    }

    @Override
    public MBeanServer newMBeanServer(String domain, MBeanServer outerServer, MBeanServerDelegate delegate) {
        throw new UnsupportedOperationException("the platform MBean server is disabled in this process");
    }
}
