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

/**
 * The TLS contexts of the caller, admin and peer addresses. A context is absent if the settings name no certificate for
 * the address.
 */
final class EntryTls {
    private final List<ReloadingTls> contexts = new ArrayList<>();
    private final Optional<SSLContext> caller;
    private final Optional<SSLContext> admin;
    private final Optional<SSLContext> peer;
    private final PeerSecurity peers;

    private EntryTls(EntrySettings settings) throws YuccagwException {
        caller = startContext(settings.callerTls());
        admin = startContext(settings.adminTls());
        peer = startContext(settings.peerTls());
        peers = new PeerSecurity(peer.map(EntryTls::serverEngines), peer.map(EntryTls::clientEngines));
    }

    static EntryTls start(EntrySettings settings) throws YuccagwException {
        return new EntryTls(settings);
    }

    void stop() {
        contexts.forEach(ReloadingTls::stop);
    }

    Optional<SSLContext> caller() {
        return caller;
    }

    Optional<SSLContext> admin() {
        return admin;
    }

    /** Returns the context for connections between entries that carry requests. */
    Optional<SSLContext> peerContext() {
        return peer;
    }

    PeerSecurity peers() {
        return peers;
    }

    private Optional<SSLContext> startContext(Optional<TlsFiles> files) throws YuccagwException {
        if (files.isEmpty()) {
            return Optional.empty();
        }
        ReloadingTls tls = ReloadingTls.start(files.get());
        contexts.add(tls);
        return Optional.of(tls.context());
    }

    /** Requires a client certificate, since only an entry may send messages to the peer address. */
    private static Supplier<SSLEngine> serverEngines(SSLContext context) {
        return () -> {
            SSLEngine engine = context.createSSLEngine();
            engine.setUseClientMode(false);
            engine.setNeedClientAuth(true);
            return engine;
        };
    }

    private static Supplier<SSLEngine> clientEngines(SSLContext context) {
        return () -> {
            SSLEngine engine = context.createSSLEngine();
            engine.setUseClientMode(true);
            return engine;
        };
    }
}
