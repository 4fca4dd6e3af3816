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
        description = "Counts from logs how requests ended and why they were refused, and tells when answers began and"
                + " what prompts waited for.")
final class SummarizeCommand implements Callable<Integer> {
    private static final double MEDIAN = 50;
    private static final double NINE_IN_TEN = 90;

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
        out.print(counts("outcome", summary.outcomes()));
        out.println();
        out.print(counts("refused because", summary.refusals()));
        out.println();
        out.print(seconds(summary));
        out.println();
        out.print(groups("prompts of route", prompts.byRoute()));
        out.println();
        out.print(groups("prompts from second", prompts.byInterval()));
        return ExitCode.OK;
    }

    private static <K> TextTable groups(String name, Map<K, PromptSummary.Group> groups) {
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
                Long.toString(group.waitedMillis(MEDIAN)),
                Long.toString(group.waitedMillis(NINE_IN_TEN)),
                Long.toString(group.predictedMillis(MEDIAN)),
                Long.toString(group.firstByteMillis(MEDIAN)),
                Long.toString(group.firstByteMillis(NINE_IN_TEN)),
                share(group.heldShare()),
                share(group.fetchedShare()),
                share(group.prefilledShare()))));
        return table;
    }

    private static String share(double share) {
        return String.format(Locale.ROOT, "%.2f", share);
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
                    Long.toString(each.p99Millis())));
        }
        return table;
    }
}
