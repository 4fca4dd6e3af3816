package org.yuccagw.cli;

import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.yuccagw.adapters.settings.EntrySettings;
import org.yuccagw.adapters.settings.EntrySettingsReader;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.daemon.EntryDaemon;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "entry",
        mixinStandardHelpOptions = true,
        description = "Runs an entry daemon until SIGTERM, which starts a graceful stop: the entry leaves the"
                + " directory, hands over its shards, completes the requests in progress, and exits with 0.")
final class EntryCommand implements Callable<Integer> {
    private static final String LOG_STYLE_PROPERTY = "yuccagw.log";

    @Option(names = "--settings", required = true, paramLabel = "FILE", description = "The entry's settings file.")
    private Path file;

    @Override
    public Integer call() throws YuccagwException, InterruptedException {
        EntrySettings settings = EntrySettingsReader.read(file);
        setLogStyle(settings);
        EntryDaemon daemon = EntryDaemon.start(settings);
        GracefulExit.onSignal(daemon::stop);
        daemon.awaitStopped();
        return ExitCode.OK;
    }

    /** Must be called before the first line is logged, since the logging library reads the style only once. */
    private static void setLogStyle(EntrySettings settings) {
        if (System.getProperty(LOG_STYLE_PROPERTY) == null) {
            System.setProperty(LOG_STYLE_PROPERTY, settings.log().name().toLowerCase(Locale.ROOT));
        }
    }
}
