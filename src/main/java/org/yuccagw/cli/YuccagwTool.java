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

/** The command {@code yuccagw}. */
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
            YuccagwTool.CompletionRequest.class,
            HelpCommand.class
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done",
            "1:failed, or a checked file is wrong",
            "2:the command line makes no sense",
            "3:refused by the entry: wrong key, invalid catalogue, or a conflict with another edit",
            "4:the entry did not answer"
        })
public final class YuccagwTool {
    private YuccagwTool() {}

    /** Prints a completion script; {@code source <(yuccagw completion)} puts it to use in bash and zsh. */
    @Command(name = "completion", description = "Prints a script for shell completion: source <(yuccagw completion)")
    static final class CompletionRequest extends GenerateCompletion {}

    /** Runs the command line and ends the process with its exit code. */
    public static void main(String[] arguments) {
        PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
        int exitCode = commandLine().setOut(out).execute(arguments);
        // Only whole lines are flushed on the way, and the end of the process would lose the rest.
        out.flush();
        System.exit(exitCode);
    }

    static CommandLine commandLine() {
        return new CommandLine(new YuccagwTool())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .registerConverter(NetworkAddress.class, YuccagwTool::parseAddress)
                .setExecutionExceptionHandler((failure, command, result) -> explain(failure, command.getErr()));
    }

    private static NetworkAddress parseAddress(String text) {
        try {
            return NetworkAddress.parse(text);
        } catch (IllegalArgumentException e) {
            throw new TypeConversionException(e.getMessage());
        }
    }

    private static int explain(Exception failure, PrintWriter err) {
        if (failure instanceof CommandFailure told) {
            err.println("yuccagw: " + told.getMessage());
            return told.exitCode();
        }
        if (failure instanceof YuccagwException error) {
            err.println("yuccagw: " + error.getMessage());
            return ExitCode.FAILED;
        }
        failure.printStackTrace(err);
        return ExitCode.FAILED;
    }
}
