package org.yuccagw.cli;

import java.util.concurrent.Callable;
import org.yuccagw.core.error.YuccagwException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

@Command(
        name = "drain",
        mixinStandardHelpOptions = true,
        description = "Removes an entry from the directory and hands over its shards. The entry completes the"
                + " requests in progress and accepts no new ones until its process is restarted.")
final class DrainCommand implements Callable<Integer> {
    @Mixin
    private AdminOptions admin;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws YuccagwException {
        try (AdminClient client = admin.connect()) {
            client.post("/admin/drain");
        }
        spec.commandLine().getOut().println("draining; follow it with: yuccagw status");
        return ExitCode.OK;
    }
}
