package org.yuccagw.cli;

import java.io.PrintWriter;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.yuccagw.bench.demo.Demo;
import org.yuccagw.bench.local.LocalCatalogue;
import org.yuccagw.bench.local.LocalDeployment;
import org.yuccagw.core.error.YuccagwException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

@Command(
        name = "dev",
        mixinStandardHelpOptions = true,
        description = "Runs the system of the demo until Ctrl-C, and prints its addresses and a curl command.")
final class DevCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws YuccagwException, InterruptedException {
        EmbeddedLogLevel.setDefaultLevel();
        ProgressLine progress = ProgressLine.onStandardError();
        Demo demo = Demo.start(progress);
        progress.clear();
        print(demo, spec.commandLine().getOut());
        Runtime.getRuntime().addShutdownHook(new Thread(demo::stop, "stop"));
        new CountDownLatch(1).await();
        return ExitCode.OK;
    }

    private static void print(Demo demo, PrintWriter out) {
        LocalDeployment system = demo.system();
        TextTable table = TextTable.of("callers", "operators");
        for (int i = 0; i < system.callerAddresses().size(); i++) {
            table.row(List.of(
                    system.callerAddresses().get(i).toString(),
                    system.adminAddresses().get(i).toString()));
        }
        out.println(table);
        out.println("Stream an answer:");
        out.println("  " + demo.curlLine());
        out.println("Look at it as an operator:");
        out.println("  YUCCAGW_OPERATOR_KEY=" + LocalCatalogue.OPERATOR_KEY + " bin/yuccagw status --admin "
                + system.adminAddresses().get(0));
        out.println("Ctrl-C ends it.");
        out.flush();
    }
}
