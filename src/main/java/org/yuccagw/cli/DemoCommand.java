package org.yuccagw.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import org.yuccagw.bench.demo.Demo;
import org.yuccagw.bench.demo.DemoOutcome;
import org.yuccagw.core.error.YuccagwException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = "Runs the whole system in one JVM on stand-ins of the platform, with prompts that return after"
                + " their eviction, and prints the results for a caller and an operator. Fails if a check fails.")
final class DemoCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws YuccagwException {
        EmbeddedLogLevel.setDefaultLevel();
        ProgressLine progress = ProgressLine.onStandardError();
        Demo demo = Demo.start(progress);
        try {
            DemoOutcome outcome = demo.run();
            progress.clear();
            return print(outcome, spec.commandLine().getOut());
        } finally {
            demo.stop();
        }
    }

    private static int print(DemoOutcome outcome, PrintWriter out) {
        outcome.figures().forEach(out::println);
        out.println();
        out.println("The return in the middle by time to first token, hop by hop:");
        out.print(TraceText.of(outcome.trace()));
        outcome.problems().forEach(problem -> out.println("DID NOT HOLD: " + problem));
        out.flush();
        return outcome.problems().isEmpty() ? ExitCode.OK : ExitCode.FAILED;
    }
}
