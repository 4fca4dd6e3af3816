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
 * TLS of one address from PEM files, read again every two seconds without a restart. Connections that stand keep what
 * they have; new ones use the new files.
 *
 * <p>Files that can't be used, such as a new certificate whose key has not arrived yet, change nothing: the log says
 * why, and the next look tries again.
 */
public final class ReloadingTls {
    private static final Logger log = LogManager.getLogger(ReloadingTls.class);
    private static final long LOOK_SECONDS = 2;

    private final TlsFiles files;
    private final AtomicReference<SSLContext> current;
    private final SSLContext context;
    private final ScheduledExecutorService looker = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "tls-files");
        thread.setDaemon(true);
        return thread;
    });
    private TlsMaterial used;
    private String lastProblem = "";

    private ReloadingTls(TlsFiles files, TlsMaterial used, SSLContext first) {
        this.files = files;
        this.used = used;
        this.current = new AtomicReference<>(first);
        this.context = ReloadableSslContext.over(current);
    }

    /**
     * Reads the files and begins to watch them.
     *
     * @throws YuccagwException of kind SETTINGS_INVALID when they can't be used
     */
    public static ReloadingTls start(TlsFiles files) throws YuccagwException {
        try {
            TlsMaterial material = TlsMaterial.read(files);
            ReloadingTls tls = new ReloadingTls(files, material, material.makeContext());
            tls.looker.scheduleWithFixedDelay(tls::reload, LOOK_SECONDS, LOOK_SECONDS, TimeUnit.SECONDS);
            return tls;
        } catch (IOException | GeneralSecurityException e) {
            throw ErrorKind.SETTINGS_INVALID.raiseFrom(e, "TLS files " + files + ": " + e.getMessage());
        }
    }

    /** A context for a client that shows no certificate and trusts those of a PEM file, or the usual ones. */
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
        looker.shutdownNow();
    }

    /** For servers and clients alike; the same object for good, whatever the files hold. */
    public SSLContext context() {
        return context;
    }

    /** Whether those who connect must show a certificate. */
    public boolean isMutual() {
        return files.trusted().isPresent();
    }

    /** Looks at the files once; true if new contents are in use from now on. */
    synchronized boolean reload() {
        try {
            TlsMaterial found = TlsMaterial.read(files);
            if (found.sameAs(used)) {
                return false;
            }
            current.set(found.makeContext());
            used = found;
            lastProblem = "";
            log.info("TLS files of {} are in use again after a change", files.certificate());
            return true;
        } catch (IOException | GeneralSecurityException e) {
            tellOnce(String.valueOf(e.getMessage()));
            return false;
        }
    }

    private void tellOnce(String problem) {
        if (!problem.equals(lastProblem)) {
            lastProblem = problem;
            log.warn(
                    "TLS files of {} changed but can't be used, the earlier ones stay: {}",
                    files.certificate(),
                    problem);
        }
    }
}
