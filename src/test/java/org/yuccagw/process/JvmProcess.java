package org.yuccagw.process;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A separate JVM with the class path of this one. Its output goes to a file below {@code target/processes}. */
final class JvmProcess {
    private static final Path DIRECTORY = Path.of("target", "processes");
    private static final Path DEPLOY_FILE = Path.of("deploy", "system.toml");
    private static final String HEAP_OPTION = "-Xmx";
    private static final String STACK_OPTION = "-Xss";
    private static final String[] OPTIONS = {
        "-XX:-UsePerfData", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto"
    };

    private final Process process;
    private final Path outputFile;

    private JvmProcess(Process process, Path outputFile) {
        this.process = process;
        this.outputFile = outputFile;
    }

    static Path directory() throws IOException {
        return Files.createDirectories(DIRECTORY);
    }

    static JvmProcess start(String name, Class<?> main, String... arguments) throws IOException {
        Path outputFile = Files.createTempFile(directory(), name + "-", ".log");
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(Arrays.asList(OPTIONS));
        command.add(deployOption(HEAP_OPTION));
        command.add(stackSize());
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(main.getName());
        command.addAll(Arrays.asList(arguments));
        File file = outputFile.toFile();
        Process started = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(file)
                .start();
        return new JvmProcess(started, outputFile);
    }

    /** Returns the option of the deploy file that sets the size of stacks. */
    static String stackSize() throws IOException {
        return deployOption(STACK_OPTION);
    }

    private static String deployOption(String name) throws IOException {
        Matcher matcher = Pattern.compile("^run = .*(" + name + "\\w+)", Pattern.MULTILINE)
                .matcher(Files.readString(DEPLOY_FILE));
        if (!matcher.find()) {
            throw new IOException(DEPLOY_FILE + " doesn't set " + name);
        }
        return matcher.group(1);
    }

    /**
     * Returns the first line of output so far that starts with the given text, or an empty string if there is none
     * yet.
     */
    String findLine(String start) throws IOException {
        if (!process.isAlive()) {
            throw new IOException("process " + process.pid() + " has ended, see " + outputFile);
        }
        return Files.readAllLines(outputFile).stream()
                .filter(line -> line.startsWith(start))
                .findFirst()
                .orElse("");
    }

    /** Returns the output so far. */
    String output() throws IOException {
        return Files.readString(outputFile);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends SIGKILL and waits for the end. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    /** Waits for the end and returns the exit code. */
    int awaitExit(long seconds) throws InterruptedException {
        if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
            throw new IllegalStateException("process " + process.pid() + " still runs, see " + outputFile);
        }
        return process.exitValue();
    }

    /** Sends SIGSTOP: the process is suspended, its connections stay open. */
    void suspend() throws IOException, InterruptedException {
        signal("-STOP");
    }

    /** Sends SIGCONT. */
    void resume() throws IOException, InterruptedException {
        signal("-CONT");
    }

    /** Sends SIGHUP: the process is to read its settings again. */
    void reloadSettings() throws IOException, InterruptedException {
        signal("-HUP");
    }

    private void signal(String signal) throws IOException, InterruptedException {
        int exit = new ProcessBuilder("kill", signal, Long.toString(process.pid()))
                .start()
                .waitFor();
        if (exit != 0) {
            throw new IOException("signal " + signal + " to " + process.pid() + " ended with " + exit);
        }
    }
}
