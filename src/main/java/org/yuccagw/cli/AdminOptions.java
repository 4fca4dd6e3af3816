package org.yuccagw.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import org.yuccagw.adapters.tls.ReloadingTls;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.NetworkAddress;
import picocli.CommandLine.Option;

/** Options of all subcommands that connect to the admin address of an entry. */
final class AdminOptions {
    @Option(
            names = "--admin",
            paramLabel = "HOST:PORT",
            defaultValue = "${env:YUCCAGW_ADMIN:-127.0.0.1:8081}",
            description = "Admin address of any entry. Default: $YUCCAGW_ADMIN, else 127.0.0.1:8081.")
    private NetworkAddress address;

    @Option(
            names = "--key-file",
            paramLabel = "FILE",
            description = "File with the operator's key. Default: the environment variable YUCCAGW_OPERATOR_KEY.")
    private Path keyFile;

    @Option(names = "--tls", description = "Use TLS to connect to the admin address.")
    private boolean tls;

    @Option(
            names = "--trust",
            paramLabel = "FILE",
            description = "PEM file of trusted certificates for --tls. Default: those of the Java installation.")
    private String trustFile;

    /** Returns a client of the chosen entry, which the command has to close. */
    AdminClient connect() throws YuccagwException {
        Optional<SSLContext> context =
                tls ? Optional.of(ReloadingTls.clientContext(Optional.ofNullable(trustFile))) : Optional.empty();
        return AdminClient.start(address, readKey(), context);
    }

    private String readKey() {
        if (keyFile == null) {
            return Optional.ofNullable(System.getenv("YUCCAGW_OPERATOR_KEY")).orElse("");
        }
        try {
            return Files.readString(keyFile).strip();
        } catch (IOException e) {
            throw CommandException.failed("the key file can't be read: " + e.getMessage());
        }
    }
}
