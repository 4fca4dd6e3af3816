package org.yuccagw.cli;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.nio.file.Path;
import org.yuccagw.bench.local.Rehearsal;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.daemon.DisabledMBeanServerBuilder;
import picocli.CommandLine;

/**
 * The main class of an entry on the users' platform. It runs only the command {@code gateway}.
 *
 * <p>After a loss of all VMs, every caller waits until the entries have started, so classes that aren't needed for
 * serving aren't loaded. With the single argument {@code rehearse}, the process serves a few requests of its own on the
 * loopback interface and exits. The build uses this to archive the classes that are loaded at startup.
 */
public final class GatewayMain {
    private static final String REHEARSE_ARGUMENT = "rehearse";
    private static final String SETTINGS_OPTION = "--settings";

    private GatewayMain() {}

    /** Runs the command and ends the process with its exit code. */
    public static void main(String[] arguments) throws YuccagwException, InterruptedException, IOException {
        DisabledMBeanServerBuilder.install();
        System.setProperty("log4j2.disable.jmx", "true");
        // The libraries below log through the JDK, which doesn't slow down the start; see DecisionLog on the cost of
        // Log4j.
        System.setProperty("org.jboss.logging.provider", "jdk");
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        // By default, the machine id is derived from the network interfaces, whose enumeration is slow.
        System.setProperty("io.netty.machineId", "00:00:00:00:00:01");
        if (arguments.length == 1 && arguments[0].equals(REHEARSE_ARGUMENT)) {
            new CommandLine(new GatewayCommand()).parseArgs("--settings", "none");
            SimpleLogging.configure("info");
            Rehearsal.run();
            System.exit(ExitCode.OK);
        }
        if (arguments.length == 2 && arguments[0].equals(SETTINGS_OPTION)) {
            System.exit(runWithSettings(Path.of(arguments[1])));
        }
        System.exit(new CommandLine(new GatewayCommand()).execute(arguments));
    }

    /**
     * Runs an entry without the command-line parser. The class file version of its classes is too old for the class
     * archive; loading them took 0.19 s of the 1.1 s of processor time until callers could connect.
     */
    private static int runWithSettings(Path settings) throws InterruptedException {
        try {
            return GatewayCommand.of(settings).call();
        } catch (YuccagwException e) {
            System.err.println(e.getMessage());
            return ExitCode.FAILED;
        }
    }
}
