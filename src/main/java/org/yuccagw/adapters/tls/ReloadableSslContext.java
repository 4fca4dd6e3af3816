package org.yuccagw.adapters.tls;

import java.security.KeyManagementException;
import java.security.SecureRandom;
import java.util.concurrent.atomic.AtomicReference;
import javax.net.ssl.KeyManager;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLContextSpi;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLParameters;
import javax.net.ssl.SSLServerSocketFactory;
import javax.net.ssl.SSLSessionContext;
import javax.net.ssl.SSLSocketFactory;
import javax.net.ssl.TrustManager;

/**
 * An SSL context that delegates to a replaceable context. Each new connection uses the context that is current at that
 * time. A handshake in progress keeps its context, so that it never combines the certificate of one context with the
 * key of another.
 */
final class ReloadableSslContext extends SSLContext {
    private ReloadableSslContext(AtomicReference<SSLContext> current) {
        super(new Delegate(current), current.get().getProvider(), current.get().getProtocol());
    }

    static SSLContext of(AtomicReference<SSLContext> current) {
        return new ReloadableSslContext(current);
    }

    private static final class Delegate extends SSLContextSpi {
        private final AtomicReference<SSLContext> current;

        private Delegate(AtomicReference<SSLContext> current) {
            this.current = current;
        }

        @Override
        protected void engineInit(KeyManager[] keyManagers, TrustManager[] trustManagers, SecureRandom random)
                throws KeyManagementException {
            throw new KeyManagementException("this context is initialized from files");
        }

        @Override
        protected SSLSocketFactory engineGetSocketFactory() {
            return current.get().getSocketFactory();
        }

        @Override
        protected SSLServerSocketFactory engineGetServerSocketFactory() {
            return current.get().getServerSocketFactory();
        }

        @Override
        protected SSLEngine engineCreateSSLEngine() {
            return current.get().createSSLEngine();
        }

        @Override
        protected SSLEngine engineCreateSSLEngine(String host, int port) {
            return current.get().createSSLEngine(host, port);
        }

        @Override
        protected SSLSessionContext engineGetServerSessionContext() {
            return current.get().getServerSessionContext();
        }

        @Override
        protected SSLSessionContext engineGetClientSessionContext() {
            return current.get().getClientSessionContext();
        }

        @Override
        protected SSLParameters engineGetDefaultSSLParameters() {
            return current.get().getDefaultSSLParameters();
        }

        @Override
        protected SSLParameters engineGetSupportedSSLParameters() {
            return current.get().getSupportedSSLParameters();
        }
    }
}
