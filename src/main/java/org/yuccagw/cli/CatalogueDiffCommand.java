package org.yuccagw.cli;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.SortedSet;
import java.util.concurrent.Callable;
import org.yuccagw.adapters.settings.CatalogueJson;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.CatalogueDifference;
import org.yuccagw.core.error.YuccagwException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "diff",
        mixinStandardHelpOptions = true,
        description = "Lists the fields in which a file differs from the catalogue in force.")
final class CatalogueDiffCommand implements Callable<Integer> {
    @Mixin
    private AdminOptions admin;

    @Parameters(paramLabel = "FILE", description = "The catalogue file.")
    private Path file;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws YuccagwException {
        Catalogue wanted = CatalogueFile.read(file);
        PrintWriter out = spec.commandLine().getOut();
        try (AdminClient client = admin.connect()) {
            Catalogue inForce = catalogueInForce(client);
            SortedSet<String> paths = CatalogueDifference.between(inForce, wanted);
            out.println(paths.size() + " fields differ from revision " + inForce.revision());
            paths.forEach(path -> out.println("  " + path));
        }
        return ExitCode.OK;
    }

    private static Catalogue catalogueInForce(AdminClient client) throws YuccagwException {
        if (client.get("/admin/status").path("revision").asLong() == 0) {
            return Catalogue.empty();
        }
        byte[] document = client.getText("/admin/catalogue").getBytes(StandardCharsets.UTF_8);
        return CatalogueJson.create().decode(document);
    }
}
