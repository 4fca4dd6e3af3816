package org.yuccagw.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.Callable;
import org.yuccagw.core.error.YuccagwException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

@Command(
        name = "history",
        mixinStandardHelpOptions = true,
        description = "Lists the latest accepted edits, the newest last. To restore one: catalogue get --revision N >"
                + " F, set its field revision to the current revision, catalogue apply F.")
final class CatalogueHistoryCommand implements Callable<Integer> {
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
            JsonNode history = client.get("/admin/history");
            if (json) {
                out.println(history.toPrettyString());
            } else {
                out.print(table(history));
            }
        }
        return ExitCode.OK;
    }

    private static TextTable table(JsonNode history) {
        TextTable table = TextTable.of("revision", "time", "operator", "edit");
        for (JsonNode edit : history.path("edits")) {
            table.row(List.of(
                    edit.path("revision").asText(),
                    Instant.ofEpochMilli(edit.path("time_ms").asLong()).toString(),
                    edit.path("operator").asText(),
                    edit.path("edit").asText()));
        }
        return table;
    }
}
