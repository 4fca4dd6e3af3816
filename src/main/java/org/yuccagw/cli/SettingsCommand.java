package org.yuccagw.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.yuccagw.adapters.settings.CatalogueJson;
import org.yuccagw.adapters.settings.EntrySettingsReader;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.platform.GatewaySettingsReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "settings",
        mixinStandardHelpOptions = true,
        description = "Checks settings files.",
        subcommands = SettingsCommand.Check.class)
final class SettingsCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new picocli.CommandLine.ParameterException(spec.commandLine(), "a subcommand is required: check");
    }

    /** Kinds of files that can be checked. */
    enum Kind {
        ENTRY,
        GATEWAY,
        CATALOGUE,
        AUTO
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Checks a settings file of an entry or a gateway, or a catalogue. An error is reported with"
                    + " file, line, column, field and expected value.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "The file to check.")
        private Path file;

        @Option(
                names = "--kind",
                defaultValue = "AUTO",
                description = "Kind of the file: ${COMPLETION-CANDIDATES}. With AUTO, a file with a field"
                        + " \"services\" or \"workspaces\" is a catalogue, and one with \"platform\" is a gateway's"
                        + " settings file.")
        private Kind kind;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws YuccagwException {
            byte[] document = read();
            try {
                check(document);
            } catch (YuccagwException e) {
                throw CommandException.failed(file + ": " + e.getMessage());
            }
            spec.commandLine().getOut().println(file + ": fine");
            return ExitCode.OK;
        }

        private void check(byte[] document) throws YuccagwException {
            switch (kind == Kind.AUTO ? detectKind(document) : kind) {
                case CATALOGUE -> CatalogueJson.create().decode(document);
                case GATEWAY -> GatewaySettingsReader.parse(document);
                default -> EntrySettingsReader.parse(document);
            }
        }

        private static Kind detectKind(byte[] document) throws YuccagwException {
            if (GatewaySettingsReader.isPlatformSettings(document)) {
                return Kind.GATEWAY;
            }
            return CatalogueJson.isCatalogue(document) ? Kind.CATALOGUE : Kind.ENTRY;
        }

        private byte[] read() {
            try {
                return Files.readAllBytes(file);
            } catch (IOException e) {
                throw CommandException.failed(file + ": the file can't be read");
            }
        }
    }
}
