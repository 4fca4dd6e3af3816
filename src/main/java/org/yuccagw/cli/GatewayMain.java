package org.yuccagw.cli;

import org.yuccagw.bench.local.Rehearsal;
import org.yuccagw.core.error.YuccagwException;
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

    private GatewayMain() {}

    /** Runs the program; ends with the exit code of the command. */
    public static void main(String[] arguments) throws YuccagwException, InterruptedException, java.io.IOException {
        System.setProperty("log4j2.disable.jmx", "true");
        // A random identity would be made from the network interfaces, which takes long to look through.
        System.setProperty("io.netty.machineId", "00:00:00:00:00:01");
        if (arguments.length == 1 && arguments[0].equals(REHEARSE)) {
            new CommandLine(new GatewayCommand()).parseArgs("--settings", "none");
            Rehearsal.run();
            System.exit(ExitCode.OK);
        }
        System.exit(new CommandLine(new GatewayCommand()).execute(arguments));
    }
}
