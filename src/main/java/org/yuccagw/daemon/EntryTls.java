package org.yuccagw.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLEngine;
import org.yuccagw.adapters.peer.PeerTransport.PeerSecurity;
import org.yuccagw.adapters.settings.EntrySettings;
import org.yuccagw.adapters.settings.EntrySettings.TlsFiles;
import org.yuccagw.adapters.tls.ReloadingTls;
import org.yuccagw.core.error.YuccagwException;

/** The certificates of the three addresses, as far as the settings name any. */
final class EntryTls {
    private final List<ReloadingTls> started = new ArrayList<>();
    private final Optional<SSLContext> caller;
    private final Optional<SSLContext> admin;
    private final PeerSecurity peers;

    private EntryTls(EntrySettings settings) throws YuccagwException {
        caller = context(settings.callerTls());
        admin = context(settings.adminTls());
        Optional<SSLContext> peer = context(settings.peerTls());
        peers = new PeerSecurity(peer.map(EntryTls::serverSide), peer.map(EntryTls::clientSide));
    }

    static EntryTls start(EntrySettings settings) throws YuccagwException {
        return new EntryTls(settings);
    }

    void stop() {
        started.forEach(ReloadingTls::stop);
    }

    Optional<SSLContext> caller() {
        return caller;
    }

    Optional<SSLContext> admin() {
        return admin;
    }

    PeerSecurity peers() {
        return peers;
    }

    private Optional<SSLContext> context(Optional<TlsFiles> files) throws YuccagwException {
        if (files.isEmpty()) {
            return Optional.empty();
        }
        ReloadingTls tls = ReloadingTls.start(files.get());
        started.add(tls);
        return Optional.of(tls.context());
    }

    /** Peers prove themselves in both directions: a stranger must not speak for an entry. */
    private static Supplier<SSLEngine> serverSide(SSLContext context) {
        return () -> {
            SSLEngine engine = context.createSSLEngine();
            engine.setUseClientMode(false);
            engine.setNeedClientAuth(true);
            return engine;
        };
    }

    private static Supplier<SSLEngine> clientSide(SSLContext context) {
        return () -> {
            SSLEngine engine = context.createSSLEngine();
            engine.setUseClientMode(true);
            return engine;
        };
    }
}
