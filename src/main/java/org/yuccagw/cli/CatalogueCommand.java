package org.yuccagw.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

@Command(
        name = "catalogue",
        mixinStandardHelpOptions = true,
        description = "Reads and edits the catalogue.",
        subcommands = {
            CatalogueGetCommand.class,
            CatalogueDiffCommand.class,
            CatalogueApplyCommand.class,
            CatalogueHistoryCommand.class
        })
final class CatalogueCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a subcommand is required: get, diff, apply or history");
    }
}
