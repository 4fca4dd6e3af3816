package org.yuccagw.cli;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.nio.file.Path;
import org.yuccagw.bench.local.Rehearsal;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.daemon.NoManagementServer;
import picocli.CommandLine;

/**
 * The program of an entry on the users' platform: the command {@code gateway} alone.
 *
 * <p>A restart after the loss of all VMs is paid by every caller, so what isn't needed to serve isn't loaded. With the
 * single argument {@code rehearse} it serves a few requests of its own on loopback and ends, for the build that
 * archives the classes of a start.
 */
public final class GatewayMain {
    private static final String REHEARSE = "rehearse";
    private static final String SETTINGS = "--settings";

    private GatewayMain() {}

    /** Runs the program; ends with the exit code of the command. */
    public static void main(String[] arguments) throws YuccagwException, InterruptedException, IOException {
        NoManagementServer.keepOut();
        System.setProperty("log4j2.disable.jmx", "true");
        // The libraries below log through the JDK, which costs a start nothing; see DecisionLog on what Log4j costs it.
        System.setProperty("org.jboss.logging.provider", "jdk");
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        // A random identity would be made from the network interfaces, which takes long to look through.
        System.setProperty("io.netty.machineId", "00:00:00:00:00:01");
        if (arguments.length == 1 && arguments[0].equals(REHEARSE)) {
            new CommandLine(new GatewayCommand()).parseArgs("--settings", "none");
            PlainLog.choose("info");
            Rehearsal.run();
            System.exit(ExitCode.OK);
        }
        if (arguments.length == 2 && arguments[0].equals(SETTINGS)) {
            System.exit(runWith(Path.of(arguments[1])));
        }
        System.exit(new CommandLine(new GatewayCommand()).execute(arguments));
    }

    /**
     * Runs an entry without the command line's parser, whose classes are of an age that the archive can't hold: loading
     * them took 0.19 of the 1.1 s of processor time until callers could connect.
     */
    private static int runWith(Path settings) throws InterruptedException {
        try {
            return GatewayCommand.of(settings).call();
        } catch (YuccagwException e) {
            System.err.println(e.getMessage());
            return ExitCode.FAILED;
        }
    }
}
