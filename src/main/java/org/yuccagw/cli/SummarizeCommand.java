package org.yuccagw.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import org.yuccagw.adapters.decisions.DecisionLine;
import org.yuccagw.adapters.decisions.LogSummary;
import org.yuccagw.adapters.decisions.PromptSummary;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "summarize",
        mixinStandardHelpOptions = true,
        description = "Prints statistics from logs: outcomes of requests, reasons of refusals, times to the first"
                + " byte of answers, and waiting times of prompts.")
final class SummarizeCommand implements Callable<Integer> {
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double HIGH_PERCENTILE = 90;

    @Parameters(arity = "1..*", paramLabel = "FILE", description = "Output of one or several entries.")
    private List<Path> files;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        List<DecisionLine> lines = DecisionLogReader.read(files);
        LogSummary summary = LogSummary.of(lines);
        PromptSummary prompts = PromptSummary.of(lines);
        PrintWriter out = spec.commandLine().getOut();
        out.print(countTable("outcome", summary.outcomes()));
        out.println();
        out.print(countTable("refused because", summary.refusals()));
        out.println();
        out.print(secondTable(summary));
        out.println();
        out.print(groupTable("prompts of route", prompts.byRoute()));
        out.println();
        out.print(groupTable("prompts from second", prompts.byInterval()));
        return ExitCode.OK;
    }

    private static <K> TextTable groupTable(String name, Map<K, PromptSummary.Group> groups) {
        TextTable table = TextTable.of(
                name,
                "prompts",
                "waited median ms",
                "9 in 10 ms",
                "begin predicted median ms",
                "begun median ms",
                "9 in 10 ms",
                "shared held",
                "fetched",
                "read");
        groups.forEach((key, group) -> table.row(List.of(
                key.toString(),
                Long.toString(group.prompts()),
                Long.toString(group.waitedMillis(MEDIAN_PERCENTILE)),
                Long.toString(group.waitedMillis(HIGH_PERCENTILE)),
                Long.toString(group.predictedMillis(MEDIAN_PERCENTILE)),
                Long.toString(group.firstByteMillis(MEDIAN_PERCENTILE)),
                Long.toString(group.firstByteMillis(HIGH_PERCENTILE)),
                formatShare(group.heldShare()),
                formatShare(group.fetchedShare()),
                formatShare(group.prefilledShare()))));
        return table;
    }

    private static String formatShare(double share) {
        return String.format(Locale.ROOT, "%.2f", share);
    }

    private static TextTable countTable(String title, Map<String, Long> counts) {
        TextTable table = TextTable.of(title, "requests");
        counts.forEach((name, count) -> table.row(List.of(name, count.toString())));
        return table;
    }

    private static TextTable secondTable(LogSummary summary) {
        TextTable table = TextTable.of("second", "answers", "first byte median ms", "99 in 100 ms");
        for (LogSummary.Second second : summary.seconds()) {
            table.row(List.of(
                    Long.toString(second.secondsSinceFirst()),
                    Long.toString(second.answers()),
                    Long.toString(second.medianMillis()),
                    Long.toString(second.p99Millis())));
        }
        return table;
    }
}
