package org.yuccagw.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.Callable;
import org.yuccagw.adapters.settings.CatalogueJson;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.NetworkAddress;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "apply",
        mixinStandardHelpOptions = true,
        description = "Replaces the catalogue by a file. Its field \"revision\" is the revision that the edit is"
                + " based on. If another edit was accepted since, this one is refused and the fields that both change"
                + " are listed.")
final class CatalogueApplyCommand implements Callable<Integer> {
    private static final long POLL_INTERVAL_MILLIS = 200;

    @Mixin
    private AdminOptions admin;

    @Parameters(paramLabel = "FILE", description = "The catalogue file.")
    private Path file;

    @Option(
            names = "--wait",
            description = "Wait until the catalogue is in force on every entry, and list the entries.")
    private boolean waitForEntries;

    @Option(
            names = "--timeout",
            paramLabel = "SECONDS",
            defaultValue = "30",
            description = "Longest time for --wait. Default: ${DEFAULT-VALUE}.")
    private long timeoutSeconds;

    @Option(
            names = "--edit",
            paramLabel = "ID",
            description = "Id of this edit. An edit that is sent again with the same id is applied only once."
                    + " Default: a new id.")
    private String editId;

    @Spec
    private CommandSpec spec;

    /** The revision of the catalogue that one entry reports; empty if it doesn't answer. */
    private record EntryRevision(String entry, String admin, Optional<Long> revision) {
        boolean hasReached(long wanted) {
            return revision.isPresent() && revision.get() >= wanted;
        }

        List<String> cells() {
            return List.of(entry, admin, revision.map(Object::toString).orElse("no answer"));
        }
    }

    @Override
    public Integer call() throws YuccagwException, InterruptedException {
        Catalogue wanted = CatalogueFile.read(file);
        String usedEditId = editId == null ? UUID.randomUUID().toString() : editId;
        PrintWriter out = spec.commandLine().getOut();
        try (AdminClient client = admin.connect()) {
            // Queried before the edit, since the first catalogue disables the bootstrap key, which may be in use here.
            List<NetworkAddress> entries = waitForEntries ? remainingEntries(client) : List.of();
            JsonNode answer = client.put(
                    "/admin/catalogue?edit=" + usedEditId,
                    CatalogueJson.create().encodeReadable(wanted));
            long revision = answer.path("revision").asLong();
            out.println("accepted as revision " + revision + ", edit " + usedEditId);
            out.flush();
            return waitForEntries ? awaitRevision(client, entries, revision, out) : ExitCode.OK;
        }
    }

    private int awaitRevision(AdminClient client, List<NetworkAddress> entries, long revision, PrintWriter out)
            throws InterruptedException {
        long startNanos = System.nanoTime();
        long timeoutNanos = Duration.ofSeconds(timeoutSeconds).toNanos();
        List<EntryRevision> revisions = queryRevisions(client, entries);
        while (!revisions.stream().allMatch(entry -> entry.hasReached(revision))
                && System.nanoTime() - startNanos < timeoutNanos) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
            revisions = queryRevisions(client, entries);
        }
        TextTable table = TextTable.of("entry", "admin", "revision");
        revisions.forEach(entry -> table.row(entry.cells()));
        out.print(table);
        return revisions.stream().allMatch(entry -> entry.hasReached(revision)) ? ExitCode.OK : ExitCode.FAILED;
    }

    /** Returns the admin addresses of all entries that the queried entry knows, except those that are leaving. */
    private static List<NetworkAddress> remainingEntries(AdminClient client) {
        List<NetworkAddress> addresses = new ArrayList<>();
        for (JsonNode entry : client.get("/admin/status").path("entries")) {
            if (!entry.path("state").asText().equals("leaving")) {
                addresses.add(NetworkAddress.parse(entry.path("admin").asText()));
            }
        }
        return addresses;
    }

    private static List<EntryRevision> queryRevisions(AdminClient client, List<NetworkAddress> entries) {
        List<EntryRevision> revisions = new ArrayList<>();
        for (NetworkAddress address : entries) {
            Optional<JsonNode> readiness = client.readiness(address);
            revisions.add(new EntryRevision(
                    readiness.map(node -> node.path("entry").asText()).orElse("?"),
                    address.toString(),
                    readiness.map(node -> node.path("revision").asLong())));
        }
        return revisions;
    }
}
