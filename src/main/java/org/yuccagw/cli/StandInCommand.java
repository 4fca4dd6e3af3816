package org.yuccagw.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.yuccagw.standins.StandIns;
import org.yuccagw.standins.http.StandIn;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "stand-in",
        mixinStandardHelpOptions = true,
        description = "Runs one stand-in of the platform until the process is ended: key-value, vm-list, engine,"
                + " store, weight-store or plain. Prints its addresses once it listens.")
final class StandInCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "NAME", description = "Name of the stand-in.")
    private String name;

    @Parameters(
            index = "1..*",
            paramLabel = "OPTION=VALUE",
            description = "Options of the stand-in, such as port=7001. An unknown option is rejected with a list of"
                    + " the known ones.")
    private List<String> options = new ArrayList<>();

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws InterruptedException {
        StandIn standIn = start();
        Runtime.getRuntime().addShutdownHook(new Thread(standIn::stop, "stop"));
        new CountDownLatch(1).await();
        return ExitCode.OK;
    }

    private StandIn start() {
        try {
            return StandIns.run(name, StandIns.options(options), System.out);
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage(), e);
        }
    }
}
