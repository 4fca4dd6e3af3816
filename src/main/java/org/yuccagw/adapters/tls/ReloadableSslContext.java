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
 * An SSL context that takes each new connection to the context that is current then. A handshake in progress keeps the
 * one that it began with, so that it never sees the certificate of one and the key of another.
 */
final class ReloadableSslContext extends SSLContext {
    private ReloadableSslContext(AtomicReference<SSLContext> current) {
        super(new Delegate(current), current.get().getProvider(), current.get().getProtocol());
    }

    static SSLContext over(AtomicReference<SSLContext> current) {
        return new ReloadableSslContext(current);
    }

    private static final class Delegate extends SSLContextSpi {
        private final AtomicReference<SSLContext> current;

        private Delegate(AtomicReference<SSLContext> current) {
            this.current = current;
        }

        @Override
        protected void engineInit(KeyManager[] keys, TrustManager[] trust, SecureRandom random)
                throws KeyManagementException {
            throw new KeyManagementException("this context is made from files");
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
