package org.yuccagw.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.Callable;
import org.yuccagw.core.error.YuccagwException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "trace",
        mixinStandardHelpOptions = true,
        description = "Prints the hops of one recent request, with the routing decisions and retries.")
final class TraceCommand implements Callable<Integer> {
    @Mixin
    private AdminOptions admin;

    @Parameters(paramLabel = "ID", description = "Id of the request, from the header X-Request-Id of its answer.")
    private String request;

    @Option(names = "--json", description = "Print the whole answer as JSON.")
    private boolean json;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws YuccagwException {
        try (AdminClient client = admin.connect()) {
            JsonNode trace = client.get("/admin/trace/" + request);
            String text = json ? trace.toPrettyString() + "\n" : TraceText.of(trace);
            spec.commandLine().getOut().print(text);
        }
        return ExitCode.OK;
    }
}
