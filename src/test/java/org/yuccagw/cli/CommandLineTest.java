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
    private static final String SAMPLE = "config/samples/catalogue.json";

    private AdminFixture fixture;
    private Path keyFile;
    private Path wrongKeyFile;
    private Path bootstrapKeyFile;

    private record Outcome(int exitCode, String out, String err) {}

    @BeforeClass
    public void start() throws Exception {
        fixture = AdminFixture.start();
        keyFile = write(AdminFixture.OPERATOR_KEY + "\n");
        wrongKeyFile = write("guess");
        bootstrapKeyFile = write(AdminFixture.BOOTSTRAP_KEY);
    }

    @AfterClass
    public void stop() {
        fixture.stop();
    }

    @DataProvider
    public Object[][] commands() {
        List<Object[]> found = new ArrayList<>();
        collect(YuccagwTool.commandLine(), found);
        return found.toArray(new Object[0][]);
    }

    @Test(dataProvider = "commands")
    public void everyCommandHasHelpThatExplainsItAndItsOptions(String name, CommandLine command) {
        assertTrue(command.getCommandSpec().usageMessage().description().length > 0, name);
        command.getCommandSpec()
                .options()
                .forEach(option -> assertTrue(option.description().length > 0, name + " " + option.longestName()));
        assertTrue(command.getUsageMessage().contains("Usage: "), name);
    }

    @Test
    public void aFineFileIsChecked() {
        Outcome outcome = run("settings", "check", SAMPLE);
        assertEquals(outcome.exitCode(), ExitCode.OK);
        assertEquals(run("settings", "check", "config/samples/entry.json").exitCode(), ExitCode.OK);
    }

    @Test
    public void aBrokenFileIsToldWithItsPlace() {
        Outcome outcome = run("settings", "check", "src/test/resources/settings/entry/unknown-field.json");
        assertEquals(outcome.exitCode(), ExitCode.FAILED);
        assertTrue(outcome.err().contains("line 3, column 3"), outcome.err());
    }

    @Test
    public void aCommandLineThatMakesNoSenseIsAUsageError() {
        assertEquals(run("catalogue").exitCode(), ExitCode.USAGE);
        assertEquals(run("status", "--admin", "nowhere").exitCode(), ExitCode.USAGE);
        assertEquals(run("experiment", "no-such-experiment").exitCode(), ExitCode.USAGE);
    }

    @Test
    public void anEntryThatDoesNotAnswerIsUnreachable() throws Exception {
        int port;
        try (ServerSocket closed = new ServerSocket(0)) {
            port = closed.getLocalPort();
        }
        assertEquals(run("status", "--admin", "127.0.0.1:" + port).exitCode(), ExitCode.UNREACHABLE);
    }

    @Test
    public void aFirstCatalogueIsAppliedAndListedOnEveryEntry() throws Exception {
        fixture.removeCatalogue();
        Outcome applied = admin(bootstrapKeyFile, "catalogue", "apply", SAMPLE, "--wait");
        assertEquals(applied.exitCode(), ExitCode.OK, applied.err());
        assertTrue(applied.out().contains("accepted as revision 1"), applied.out());
        assertTrue(applied.out().contains("entry-1"), applied.out());
        Outcome status = admin(keyFile, "status");
        assertTrue(status.out().contains("entry-1 is ready, catalogue revision 1"), status.out());
    }

    @Test
    public void anEditThatLostARaceIsRefused() throws Exception {
        fixture.useSampleCatalogue(5);
        Outcome outcome = admin(keyFile, "catalogue", "apply", SAMPLE);
        assertEquals(outcome.exitCode(), ExitCode.REFUSED);
        assertTrue(outcome.err().contains("revision 5"), outcome.err());
    }

    @Test
    public void aDifferenceIsNamedByItsFields() throws Exception {
        fixture.useSampleCatalogue(5);
        Path changed =
                write(Files.readString(Path.of(SAMPLE)).replace("\"pool\": \"notebook\"", "\"pool\": \"other\""));
        Outcome outcome = admin(keyFile, "catalogue", "diff", changed.toString());
        assertEquals(outcome.exitCode(), ExitCode.OK);
        assertTrue(outcome.out().contains("services/notebook/pool"), outcome.out());
    }

    @Test
    public void theStoresAreListed() throws Exception {
        fixture.useSampleCatalogue(5);
        Outcome outcome = admin(keyFile, "stores");
        assertEquals(outcome.exitCode(), ExitCode.OK, outcome.err());
        assertTrue(outcome.out().contains("store-1"), outcome.out());
    }

    @Test
    public void aWrongKeyIsRefusedAndNotPrinted() throws Exception {
        fixture.useSampleCatalogue(5);
        Outcome outcome = admin(wrongKeyFile, "catalogue", "get");
        assertEquals(outcome.exitCode(), ExitCode.REFUSED);
        assertFalse(outcome.err().contains("guess"));
    }

    @Test
    public void aRequestIsExplainedByItsHops() throws Exception {
        fixture.useSampleCatalogue(5);
        Outcome outcome = admin(keyFile, "trace", AdminFixture.REQUEST);
        assertEquals(outcome.exitCode(), ExitCode.OK, outcome.err());
        assertTrue(outcome.out().startsWith("request " + AdminFixture.REQUEST + ", trace "), outcome.out());
        assertTrue(outcome.out().contains(" ms  request  policy=shortest  score=0.333"), outcome.out());
    }

    private Outcome admin(Path key, String... words) {
        List<String> whole = new ArrayList<>(List.of(words));
        whole.addAll(List.of("--admin", fixture.address().toString(), "--key-file", key.toString()));
        return run(whole.toArray(new String[0]));
    }

    private static Outcome run(String... words) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        int exitCode = YuccagwTool.commandLine()
                .setOut(new PrintWriter(out, true))
                .setErr(new PrintWriter(err, true))
                .execute(words);
        return new Outcome(exitCode, out.toString(), err.toString());
    }

    private static Path write(String text) throws Exception {
        return Files.writeString(Files.createTempFile("yuccagw", ".txt"), text);
    }

    private static void collect(CommandLine command, List<Object[]> found) {
        found.add(new Object[] {command.getCommandName(), command});
        command.getSubcommands().values().forEach(subcommand -> collect(subcommand, found));
    }
}
