package org.yuccagw.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.yuccagw.adapters.decisions.RequestTimeline;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description = "Tells what entries decided on one request, and what they believed then, from their logs.")
final class ExplainCommand implements Callable<Integer> {
    @Option(names = "--request", required = true, paramLabel = "ID", description = "Id of the request.")
    private String request;

    @Parameters(arity = "1..*", paramLabel = "FILE", description = "Output of one or several entries.")
    private List<Path> files;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        RequestTimeline timeline = RequestTimeline.of(request, DecisionLogReader.read(files));
        if (!timeline.isKnown()) {
            throw CommandFailure.failed("no line of the files is about request " + request);
        }
        spec.commandLine().getOut().print(timeline.text());
        return ExitCode.OK;
    }
}
