package org.yuccagw.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.yuccagw.adapters.decisions.LogSummary;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "summarize",
        mixinStandardHelpOptions = true,
        description = "Counts how requests ended and why they were refused, and tells when answers began, from logs.")
final class SummarizeCommand implements Callable<Integer> {
    @Parameters(arity = "1..*", paramLabel = "FILE", description = "Output of one or several entries.")
    private List<Path> files;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        LogSummary summary = LogSummary.of(DecisionFiles.read(files));
        PrintWriter out = spec.commandLine().getOut();
        out.print(counts("outcome", summary.outcomes()));
        out.println();
        out.print(counts("refused because", summary.refusals()));
        out.println();
        out.print(seconds(summary));
        return ExitCode.OK;
    }

    private static TextTable counts(String cause, Map<String, Long> counted) {
        TextTable table = TextTable.of(cause, "requests");
        counted.forEach((name, count) -> table.row(List.of(name, count.toString())));
        return table;
    }

    private static TextTable seconds(LogSummary summary) {
        TextTable table = TextTable.of("second", "answers", "first byte median ms", "99 in 100 ms");
        for (LogSummary.Second each : summary.seconds()) {
            table.row(List.of(
                    Long.toString(each.secondsSinceFirst()),
                    Long.toString(each.answers()),
                    Long.toString(each.medianMillis()),
                    Long.toString(each.lateMillis())));
        }
        return table;
    }
}
