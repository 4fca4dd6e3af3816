package org.yuccagw.cli;

import java.util.concurrent.Callable;
import org.yuccagw.core.error.YuccagwException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

@Command(
        name = "endpoints",
        mixinStandardHelpOptions = true,
        description = "Lists the endpoints that an entry knows and whether they take new work.")
final class EndpointsCommand implements Callable<Integer> {
    @Mixin
    private AdminOptions admin;

    @Option(names = "--json", description = "Print the whole answer as JSON.")
    private boolean json;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws YuccagwException {
        try (AdminClient client = admin.connect()) {
            ListPrinter.print(spec.commandLine().getOut(), client.get("/admin/endpoints"), "endpoints", json);
        }
        return ExitCode.OK;
    }
}
