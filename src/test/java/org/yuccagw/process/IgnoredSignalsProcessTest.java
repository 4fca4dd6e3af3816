package org.yuccagw.process;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.standins.keyvalue.KeyValueSettings;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;
import org.yuccagw.standins.platform.SmallDeployment;

/** An entry whose parent process ignores signals, as after {@code nohup}. */
@Test(groups = "process")
public class IgnoredSignalsProcessTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final String IGNORE_AND_RUN = "trap '' HUP TERM; exec \"$@\"";

    private KeyValueStandIn keyValue;
    private Process process;
    private Path log;

    @BeforeMethod
    public void startEntry() throws Exception {
        Path directory = Files.createTempDirectory("ignored-signals");
        keyValue = KeyValueStandIn.start(KeyValueSettings.defaults());
        Path settings = directory.resolve("entry-1.json");
        Files.write(settings, SmallDeployment.settings("entry-1", keyValue.address(), SmallDeployment.freePorts(4)));
        log = directory.resolve("entry-1.log");
        process = new ProcessBuilder(
                        "/bin/sh",
                        "-c",
                        IGNORE_AND_RUN,
                        "sh",
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx112m",
                        "-XX:+UseSerialGC",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.yuccagw.cli.GatewayMain",
                        "--settings",
                        settings.toString())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
        await().atMost(TIMEOUT).until(() -> logContains("event=\"started\""));
        await().atMost(TIMEOUT).until(() -> logContains("ignores SIGHUP"));
    }

    @AfterMethod(alwaysRun = true)
    public void end() {
        process.destroyForcibly();
        keyValue.stop();
    }

    // Guards against settings that are changed and signalled, and never read.
    @Test
    public void anEntryReadsItsSettingsAgainThoughItsParentIgnoresTheSignal() throws Exception {
        signal("-HUP");
        await().atMost(TIMEOUT).until(() -> logContains("event=\"settings-read\""));
        assertTrue(process.isAlive());
    }

    // Guards against a planned stop that the entry doesn't notice.
    @Test
    public void anEntryStopsThoughItsParentIgnoresTheSignal() throws Exception {
        signal("-TERM");
        assertTrue(process.waitFor(TIMEOUT.toSeconds(), TimeUnit.SECONDS));
        assertEquals(process.exitValue(), 0);
    }

    private void signal(String option) throws IOException, InterruptedException {
        new ProcessBuilder("kill", option, Long.toString(process.pid())).start().waitFor();
    }

    private boolean logContains(String text) throws IOException {
        return Files.readString(log).contains(text);
    }
}
