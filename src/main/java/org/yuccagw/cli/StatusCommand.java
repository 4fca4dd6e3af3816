package org.yuccagw.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import org.yuccagw.core.error.YuccagwException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = "Shows whether an entry is ready, and all entries that it knows.")
final class StatusCommand implements Callable<Integer> {
    @Mixin
    private AdminOptions admin;

    @Option(names = "--json", description = "Print the whole answer as JSON.")
    private boolean json;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws YuccagwException {
        PrintWriter out = spec.commandLine().getOut();
        try (AdminClient client = admin.connect()) {
            JsonNode status = client.get("/admin/status");
            if (!json) {
                String state = status.path("ready").asBoolean()
                        ? "ready"
                        : "not ready: " + status.path("reason").asText();
                out.println(status.path("entry").asText() + " is " + state + ", catalogue revision "
                        + status.path("revision").asLong());
            }
            ListPrinter.print(out, status, "entries", json);
        }
        return ExitCode.OK;
    }
}
