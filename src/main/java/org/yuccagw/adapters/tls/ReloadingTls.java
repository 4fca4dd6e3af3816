package org.yuccagw.adapters.tls;

import java.io.IOException;
import java.security.GeneralSecurityException;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import javax.net.ssl.SSLContext;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.yuccagw.adapters.settings.EntrySettings.TlsFiles;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;

/**
 * The TLS configuration of one address from PEM files, which are reloaded every two seconds without a restart. Open
 * connections keep their certificates; new connections use the new files.
 *
 * <p>If the files can't be used, for example because the key of a new certificate hasn't been replaced yet, the
 * previous contents stay in use, the reason is logged, and the next reload tries again.
 */
public final class ReloadingTls {
    private static final Logger log = LogManager.getLogger(ReloadingTls.class);
    private static final long RELOAD_INTERVAL_SECONDS = 2;

    private final TlsFiles files;
    private final AtomicReference<SSLContext> current;
    private final SSLContext context;
    private final ScheduledExecutorService reloader = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "tls-files");
        thread.setDaemon(true);
        return thread;
    });
    private TlsMaterial currentMaterial;
    private String lastProblem = "";

    private ReloadingTls(TlsFiles files, TlsMaterial currentMaterial, SSLContext initialContext) {
        this.files = files;
        this.currentMaterial = currentMaterial;
        this.current = new AtomicReference<>(initialContext);
        this.context = ReloadableSslContext.of(current);
    }

    /**
     * Reads the files and starts to reload them periodically.
     *
     * @throws YuccagwException of kind SETTINGS_INVALID when they can't be used
     */
    public static ReloadingTls start(TlsFiles files) throws YuccagwException {
        try {
            TlsMaterial initialMaterial = TlsMaterial.read(files);
            ReloadingTls tls = new ReloadingTls(files, initialMaterial, initialMaterial.createContext());
            tls.reloader.scheduleWithFixedDelay(
                    tls::reload, RELOAD_INTERVAL_SECONDS, RELOAD_INTERVAL_SECONDS, TimeUnit.SECONDS);
            return tls;
        } catch (IOException | GeneralSecurityException e) {
            throw ErrorKind.SETTINGS_INVALID.raiseFrom(e, "TLS files " + files + ": " + e.getMessage());
        }
    }

    /**
     * Returns a context for clients without a certificate of their own.
     *
     * @param trustedFile path of a PEM file with the trusted certificates; without it those of the Java installation
     * apply
     * @throws YuccagwException of kind SETTINGS_INVALID when the file can't be used
     */
    public static SSLContext clientContext(Optional<String> trustedFile) throws YuccagwException {
        try {
            Optional<byte[]> pem =
                    trustedFile.isPresent() ? Optional.of(PemFiles.read(trustedFile.get())) : Optional.empty();
            SSLContext context = SSLContext.getInstance("TLS");
            context.init(null, TlsMaterial.trustManagers(pem), null);
            return context;
        } catch (IOException | GeneralSecurityException e) {
            throw ErrorKind.SETTINGS_INVALID.raiseFrom(
                    e, "trusted certificates " + trustedFile.orElse("of this machine") + ": " + e.getMessage());
        }
    }

    public void stop() {
        reloader.shutdownNow();
    }

    /** Returns the context for servers and clients. It is always the same object and follows changes of the files. */
    public SSLContext context() {
        return context;
    }

    /** Returns whether peers must authenticate with a certificate (mutual TLS). */
    public boolean isMutual() {
        return files.trusted().isPresent();
    }

    /** Reads the files once; returns true if their contents have changed and are now in use. */
    synchronized boolean reload() {
        try {
            TlsMaterial newMaterial = TlsMaterial.read(files);
            if (newMaterial.hasSameContents(currentMaterial)) {
                return false;
            }
            current.set(newMaterial.createContext());
            currentMaterial = newMaterial;
            lastProblem = "";
            log.info("using the changed TLS files of {}", files.certificate());
            return true;
        } catch (IOException | GeneralSecurityException e) {
            warnOnce(String.valueOf(e.getMessage()));
            return false;
        }
    }

    private void warnOnce(String problem) {
        if (!problem.equals(lastProblem)) {
            lastProblem = problem;
            log.warn(
                    "the changed TLS files of {} can't be used, the previous contents stay in use: {}",
                    files.certificate(),
                    problem);
        }
    }
}
