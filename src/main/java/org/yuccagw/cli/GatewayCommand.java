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
        description = "Runs an entry on the users' platform until SIGTERM, which starts a graceful stop: the entry"
                + " leaves the directory, completes the requests in progress, and exits with 0.")
final class GatewayCommand implements Callable<Integer> {
    private static final String LOG_LEVEL_PROPERTY = "yuccagw.log.level";

    @Option(
            names = "--settings",
            defaultValue = "${env:YUCCAGW_CONFIG}",
            paramLabel = "FILE",
            description = "The settings file. Default: the file that the environment variable YUCCAGW_CONFIG names.")
    private Path file;

    /** Creates the command with its option set. */
    static GatewayCommand of(Path settings) {
        GatewayCommand command = new GatewayCommand();
        command.file = settings;
        return command;
    }

    @Override
    public Integer call() throws YuccagwException, InterruptedException {
        PendingTask reload = PendingTask.create();
        ProcessSignal.HANG_UP.handleUnlessIgnored(reload::request);
        GatewaySettings settings = GatewaySettingsReader.read(file);
        if (System.getProperty(LOG_LEVEL_PROPERTY) == null) {
            System.setProperty(LOG_LEVEL_PROPERTY, settings.logLevel());
        }
        SimpleLogging.configure(System.getProperty(LOG_LEVEL_PROPERTY));
        GatewayDaemon daemon = GatewayDaemon.start(settings);
        GracefulExit.onSignal(daemon::stop);
        ProcessSignal.HANG_UP.handleIfIgnored(reload::request);
        reload.runWith(() -> reload(daemon));
        daemon.awaitStopped();
        return ExitCode.OK;
    }

    /** Reads the settings file again and logs the result. The daemon keeps running with its settings unchanged. */
    private void reload(GatewayDaemon daemon) {
        try {
            daemon.logSettingsRead(GatewaySettingsReader.read(file));
        } catch (YuccagwException e) {
            LogManager.getLogger(GatewayCommand.class)
                    .warn("the settings file can't be read again: {}", e.getMessage());
        }
    }
}
