package org.yuccagw.cli;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.NetworkAddress;
import picocli.AutoComplete.GenerateCompletion;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;
import picocli.CommandLine.TypeConversionException;

/** The command-line tool {@code yuccagw}. */
@Command(
        name = "yuccagw",
        mixinStandardHelpOptions = true,
        version = "yuccagw 0.1.0-SNAPSHOT",
        description = "Serving system for prompts that return after long gaps.",
        subcommands = {
            EntryCommand.class,
            GatewayCommand.class,
            SettingsCommand.class,
            CatalogueCommand.class,
            StatusCommand.class,
            EndpointsCommand.class,
            StoresCommand.class,
            ShardsCommand.class,
            DrainCommand.class,
            TraceCommand.class,
            ExplainCommand.class,
            SummarizeCommand.class,
            ExperimentCommand.class,
            DemoCommand.class,
            DevCommand.class,
            StandInCommand.class,
            YuccagwTool.Completion.class,
            HelpCommand.class
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done",
            "1:failed, or a checked file is invalid",
            "2:invalid command line",
            "3:refused by the entry: wrong key, invalid catalogue, or a conflict with another edit",
            "4:the entry did not answer"
        })
public final class YuccagwTool {
    private YuccagwTool() {}

    /** Prints a completion script, which {@code source <(yuccagw completion)} enables in bash and zsh. */
    @Command(name = "completion", description = "Prints a script for shell completion: source <(yuccagw completion)")
    static final class Completion extends GenerateCompletion {}

    /** Runs the command line and ends the process with its exit code. */
    public static void main(String[] arguments) {
        PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
        int exitCode = commandLine().setOut(out).execute(arguments);
        // The writer flushes only at line ends, and text after the last line end would be lost at exit.
        out.flush();
        System.exit(exitCode);
    }

    static CommandLine commandLine() {
        return new CommandLine(new YuccagwTool())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .registerConverter(NetworkAddress.class, YuccagwTool::convertAddress)
                .setExecutionExceptionHandler((failure, command, result) -> printFailure(failure, command.getErr()));
    }

    private static NetworkAddress convertAddress(String text) {
        try {
            return NetworkAddress.parse(text);
        } catch (IllegalArgumentException e) {
            throw new TypeConversionException(e.getMessage());
        }
    }

    private static int printFailure(Exception failure, PrintWriter err) {
        if (failure instanceof CommandException commandFailure) {
            err.println("yuccagw: " + commandFailure.getMessage());
            return commandFailure.exitCode();
        }
        if (failure instanceof YuccagwException error) {
            err.println("yuccagw: " + error.getMessage());
            return ExitCode.FAILED;
        }
        failure.printStackTrace(err);
        return ExitCode.FAILED;
    }
}
