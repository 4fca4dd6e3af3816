package org.yuccagw.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.apache.logging.log4j.LogManager;
import org.yuccagw.adapters.settings.GatewaySettings;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.daemon.GatewayDaemon;
import org.yuccagw.platform.GatewaySettingsReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "gateway",
        mixinStandardHelpOptions = true,
        description = "Runs an entry on the users' platform until SIGTERM, which begins a graceful stop: it leaves the"
                + " directory, finishes what runs, and exits with 0.")
final class GatewayCommand implements Callable<Integer> {
    private static final String LOG_LEVEL = "yuccagw.log.level";

    @Option(
            names = "--settings",
            defaultValue = "${env:YUCCAGW_CONFIG}",
            paramLabel = "FILE",
            description = "The settings file; by default the one that YUCCAGW_CONFIG names.")
    private Path file;

    /** The command with its option given. */
    static GatewayCommand of(Path settings) {
        GatewayCommand command = new GatewayCommand();
        command.file = settings;
        return command;
    }

    @Override
    public Integer call() throws YuccagwException, InterruptedException {
        GatewaySettings settings = GatewaySettingsReader.read(file);
        if (System.getProperty(LOG_LEVEL) == null) {
            System.setProperty(LOG_LEVEL, settings.logLevel());
        }
        PlainLog.choose(System.getProperty(LOG_LEVEL));
        GatewayDaemon daemon = GatewayDaemon.start(settings);
        GracefulExit.onSignal(daemon::stop);
        HangUpSignal.handle(() -> reload(daemon));
        daemon.awaitStopped();
        return ExitCode.OK;
    }

    /** Reads the settings again; nothing that runs is touched, whatever they say. */
    private void reload(GatewayDaemon daemon) {
        try {
            daemon.noteReload(GatewaySettingsReader.read(file));
        } catch (YuccagwException e) {
            LogManager.getLogger(GatewayCommand.class).warn("the settings stay as they were: {}", e.getMessage());
        }
    }
}
