package org.yuccagw.cli;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.yuccagw.bench.Experiment;
import org.yuccagw.bench.ExperimentOptions;
import org.yuccagw.bench.ExperimentReport;
import org.yuccagw.bench.Experiments;
import org.yuccagw.core.error.YuccagwException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import picocli.CommandLine.Unmatched;

@Command(
        name = "experiment",
        mixinStandardHelpOptions = true,
        description = "Runs an experiment, which is reproducible by its seed. Without a name, lists all experiments."
                + " Options of the experiment follow as --NAME VALUE.")
final class ExperimentCommand implements Callable<Integer> {
    private static final String OPTION_PREFIX = "--";

    /** Output format of a report. */
    enum Format {
        TEXT,
        JSON
    }

    @Parameters(paramLabel = "NAME", arity = "0..1", description = "Name of the experiment.")
    private String name;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "Seed of the experiment. Default: ${DEFAULT-VALUE}.")
    private long seed;

    @Option(
            names = "--format",
            defaultValue = "TEXT",
            description = "${COMPLETION-CANDIDATES}. Default: ${DEFAULT-VALUE}.")
    private Format format;

    @Unmatched
    private List<String> experimentArguments = new ArrayList<>();

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws YuccagwException {
        PrintWriter out = spec.commandLine().getOut();
        if (name == null) {
            TextTable table = TextTable.of("experiment", "what it measures");
            Experiments.all().forEach(experiment -> table.row(List.of(experiment.name(), experiment.summary())));
            out.print(table);
            return ExitCode.OK;
        }
        Experiment experiment = Experiments.named(name)
                .orElseThrow(() -> new ParameterException(
                        spec.commandLine(), "unknown experiment '" + name + "'; yuccagw experiment lists all"));
        ExperimentReport report = experiment.run(new ExperimentOptions(seed, parseExperimentOptions()));
        out.print(format == Format.JSON ? ReportText.json(report) : ReportText.text(report));
        return ExitCode.OK;
    }

    /** Parses {@code --name value}, {@code --name=value}, and {@code --name} alone, which means {@code true}. */
    private Map<String, String> parseExperimentOptions() {
        Map<String, String> options = new LinkedHashMap<>();
        for (int i = 0; i < experimentArguments.size(); i++) {
            String argument = experimentArguments.get(i);
            if (!argument.startsWith(OPTION_PREFIX)) {
                throw new ParameterException(spec.commandLine(), "expected --NAME VALUE, found '" + argument + "'");
            }
            int equals = argument.indexOf('=');
            boolean valueFollows = i + 1 < experimentArguments.size()
                    && !experimentArguments.get(i + 1).startsWith(OPTION_PREFIX);
            if (equals > 0) {
                options.put(argument.substring(OPTION_PREFIX.length(), equals), argument.substring(equals + 1));
            } else if (valueFollows) {
                i++;
                options.put(argument.substring(OPTION_PREFIX.length()), experimentArguments.get(i));
            } else {
                options.put(argument.substring(OPTION_PREFIX.length()), "true");
            }
        }
        return options;
    }
}
