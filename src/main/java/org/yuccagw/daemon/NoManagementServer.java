package org.yuccagw.daemon;

import java.util.logging.Level;
import java.util.logging.Logger;
import javax.management.MBeanServer;
import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Keeps the virtual machine's management server, which nobody asks, out of the start of an entry.
 *
 * <p>The network library registers itself there, and does without when there is none. Making one costs a quarter of all
 * that the main thread does until callers can connect; after a loss of all entries every caller waits for that.
 */
public final class NoManagementServer extends MBeanServerBuilder {
    private static final String BUILDER = "javax.management.builder.initial";

    /** For the virtual machine, which makes one by its name. */
    public NoManagementServer() {}

    /**
     * Before any library is used. What libraries log below warnings goes as well: formatting the one line in which the
     * network library names its version loads the calendars of all countries.
     */
    public static void keepOut() {
        System.setProperty(BUILDER, NoManagementServer.class.getName());
        Logger.getLogger("").setLevel(Level.WARNING);
    }

    @Override
    public MBeanServerDelegate newMBeanServerDelegate() {
        throw new UnsupportedOperationException("this process has no management server");
    }

    @Override
    public MBeanServer newMBeanServer(String domain, MBeanServer outer, MBeanServerDelegate delegate) {
        throw new UnsupportedOperationException("this process has no management server");
    }
}
