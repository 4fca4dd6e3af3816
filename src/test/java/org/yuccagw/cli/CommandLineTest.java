package org.yuccagw.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.adapters.admin.AdminFixture;
import picocli.CommandLine;

public class CommandLineTest {
    private static final String SAMPLE_CATALOGUE = "config/samples/catalogue.json";

    private AdminFixture fixture;
    private Path keyFile;
    private Path wrongKeyFile;
    private Path bootstrapKeyFile;

    private record CommandResult(int exitCode, String out, String err) {}

    @BeforeClass
    public void start() throws Exception {
        fixture = AdminFixture.start();
        keyFile = writeTempFile(AdminFixture.OPERATOR_KEY + "\n");
        wrongKeyFile = writeTempFile("guess");
        bootstrapKeyFile = writeTempFile(AdminFixture.BOOTSTRAP_KEY);
    }

    @AfterClass
    public void stop() {
        fixture.stop();
    }

    @DataProvider
    public Object[][] commands() {
        List<Object[]> commands = new ArrayList<>();
        collect(YuccagwTool.commandLine(), commands);
        return commands.toArray(new Object[0][]);
    }

    @Test(dataProvider = "commands")
    public void everyCommandAndOptionHasADescription(String name, CommandLine command) {
        assertTrue(command.getCommandSpec().usageMessage().description().length > 0, name);
        command.getCommandSpec()
                .options()
                .forEach(option -> assertTrue(option.description().length > 0, name + " " + option.longestName()));
        assertTrue(command.getUsageMessage().contains("Usage: "), name);
    }

    @Test
    public void aValidFilePassesTheCheck() {
        CommandResult result = run("settings", "check", SAMPLE_CATALOGUE);
        assertEquals(result.exitCode(), ExitCode.OK);
        assertEquals(run("settings", "check", "config/samples/entry.json").exitCode(), ExitCode.OK);
    }

    @Test
    public void anInvalidFileIsReportedWithLineAndColumn() {
        CommandResult result = run("settings", "check", "src/test/resources/settings/entry/unknown-field.json");
        assertEquals(result.exitCode(), ExitCode.FAILED);
        assertTrue(result.err().contains("line 3, column 3"), result.err());
    }

    @Test
    public void anInvalidCommandLineIsAUsageError() {
        assertEquals(run("catalogue").exitCode(), ExitCode.USAGE);
        assertEquals(run("status", "--admin", "nowhere").exitCode(), ExitCode.USAGE);
        assertEquals(run("experiment", "no-such-experiment").exitCode(), ExitCode.USAGE);
    }

    @Test
    public void anEntryThatDoesNotAnswerIsReportedAsUnreachable() throws Exception {
        int port;
        try (ServerSocket closed = new ServerSocket(0)) {
            port = closed.getLocalPort();
        }
        assertEquals(run("status", "--admin", "127.0.0.1:" + port).exitCode(), ExitCode.UNREACHABLE);
    }

    @Test
    public void aFirstCatalogueIsAppliedAndListedOnEveryEntry() throws Exception {
        fixture.removeCatalogue();
        CommandResult applied = runAsOperator(bootstrapKeyFile, "catalogue", "apply", SAMPLE_CATALOGUE, "--wait");
        assertEquals(applied.exitCode(), ExitCode.OK, applied.err());
        assertTrue(applied.out().contains("accepted as revision 1"), applied.out());
        assertTrue(applied.out().contains("entry-1"), applied.out());
        CommandResult status = runAsOperator(keyFile, "status");
        assertTrue(status.out().contains("entry-1 is ready, catalogue revision 1"), status.out());
    }

    @Test
    public void anEditThatIsBasedOnAnOldRevisionIsRefused() throws Exception {
        fixture.useSampleCatalogue(5);
        CommandResult result = runAsOperator(keyFile, "catalogue", "apply", SAMPLE_CATALOGUE);
        assertEquals(result.exitCode(), ExitCode.REFUSED);
        assertTrue(result.err().contains("revision 5"), result.err());
    }

    @Test
    public void aDifferenceIsReportedByFieldPath() throws Exception {
        fixture.useSampleCatalogue(5);
        Path changed = writeTempFile(
                Files.readString(Path.of(SAMPLE_CATALOGUE)).replace("\"pool\": \"notebook\"", "\"pool\": \"other\""));
        CommandResult result = runAsOperator(keyFile, "catalogue", "diff", changed.toString());
        assertEquals(result.exitCode(), ExitCode.OK);
        assertTrue(result.out().contains("services/notebook/pool"), result.out());
    }

    @Test
    public void theStoresAreListed() throws Exception {
        fixture.useSampleCatalogue(5);
        CommandResult result = runAsOperator(keyFile, "stores");
        assertEquals(result.exitCode(), ExitCode.OK, result.err());
        assertTrue(result.out().contains("store-1"), result.out());
    }

    @Test
    public void aWrongKeyIsRefusedAndNotPrinted() throws Exception {
        fixture.useSampleCatalogue(5);
        CommandResult result = runAsOperator(wrongKeyFile, "catalogue", "get");
        assertEquals(result.exitCode(), ExitCode.REFUSED);
        assertFalse(result.err().contains("guess"));
    }

    @Test
    public void theHopsOfARequestArePrinted() throws Exception {
        fixture.useSampleCatalogue(5);
        CommandResult result = runAsOperator(keyFile, "trace", AdminFixture.REQUEST);
        assertEquals(result.exitCode(), ExitCode.OK, result.err());
        assertTrue(result.out().startsWith("request " + AdminFixture.REQUEST + ", trace "), result.out());
        assertTrue(result.out().contains(" ms  request  policy=shortest  score=0.333"), result.out());
    }

    private CommandResult runAsOperator(Path usedKeyFile, String... arguments) {
        List<String> allArguments = new ArrayList<>(List.of(arguments));
        allArguments.addAll(List.of("--admin", fixture.address().toString(), "--key-file", usedKeyFile.toString()));
        return run(allArguments.toArray(new String[0]));
    }

    private static CommandResult run(String... arguments) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        int exitCode = YuccagwTool.commandLine()
                .setOut(new PrintWriter(out, true))
                .setErr(new PrintWriter(err, true))
                .execute(arguments);
        return new CommandResult(exitCode, out.toString(), err.toString());
    }

    private static Path writeTempFile(String text) throws Exception {
        return Files.writeString(Files.createTempFile("yuccagw", ".txt"), text);
    }

    private static void collect(CommandLine command, List<Object[]> commands) {
        commands.add(new Object[] {command.getCommandName(), command});
        command.getSubcommands().values().forEach(subcommand -> collect(subcommand, commands));
    }
}
