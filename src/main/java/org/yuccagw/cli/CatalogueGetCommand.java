package org.yuccagw.cli;

import java.util.concurrent.Callable;
import org.yuccagw.core.error.YuccagwException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

@Command(
        name = "get",
        mixinStandardHelpOptions = true,
        description = "Prints the catalogue in force, in the form that the command apply reads.")
final class CatalogueGetCommand implements Callable<Integer> {
    @Mixin
    private AdminOptions admin;

    @Option(names = "--revision", paramLabel = "N", description = "Print an earlier revision instead.")
    private Long revision;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws YuccagwException {
        try (AdminClient client = admin.connect()) {
            String query = revision == null ? "" : "?revision=" + revision;
            spec.commandLine().getOut().print(client.getText("/admin/catalogue" + query));
        }
        return ExitCode.OK;
    }
}
