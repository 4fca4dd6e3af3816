package org.yuccagw.adapters.http;

import io.undertow.protocols.ssl.UndertowXnioSsl;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;
import javax.net.ssl.SSLContext;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.ssl.SslConnection;
import org.xnio.ssl.XnioSsl;
import org.yuccagw.core.id.NetworkAddress;

/** Opens connections, with TLS or in plain text. */
final class HttpConnector {
    private static final OptionMap PLAIN_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    /** The handshake begins with {@link SslConnection#startHandshake}. */
    private static final OptionMap TLS_OPTIONS =
            OptionMap.create(Options.TCP_NODELAY, true, Options.SSL_STARTTLS, true);

    private final Optional<XnioSsl> tls;

    private HttpConnector(Optional<XnioSsl> tls) {
        this.tls = tls;
    }

    static HttpConnector plain() {
        return new HttpConnector(Optional.empty());
    }

    static HttpConnector withTls(SSLContext context) {
        return new HttpConnector(Optional.of(new UndertowXnioSsl(Xnio.getInstance(), OptionMap.EMPTY, context)));
    }

    /** Opens a connection. Exactly one of the two is called, once, on the I/O thread. */
    void connect(
            NetworkAddress address,
            XnioIoThread thread,
            Consumer<HttpConnection> onConnected,
            Consumer<IOException> onFailure) {
        try {
            InetSocketAddress destination = new InetSocketAddress(address.host(), address.port());
            if (tls.isPresent()) {
                IoFuture<SslConnection> opening = tls.get()
                        .openSslConnection(
                                thread,
                                destination,
                                connection -> beginTls(connection, onConnected, onFailure),
                                TLS_OPTIONS);
                reportFailure(opening, onFailure);
            } else {
                IoFuture<StreamConnection> opening = thread.openStreamConnection(
                        destination, connection -> onConnected.accept(HttpConnection.of(connection)), PLAIN_OPTIONS);
                reportFailure(opening, onFailure);
            }
        } catch (RuntimeException e) {
            onFailure.accept(new IOException("no connection to " + address + ": " + e, e));
        }
    }

    private static void beginTls(
            SslConnection connection, Consumer<HttpConnection> onConnected, Consumer<IOException> onFailure) {
        try {
            connection.startHandshake();
        } catch (IOException e) {
            onFailure.accept(e);
            return;
        }
        onConnected.accept(HttpConnection.of(connection));
    }

    private static void reportFailure(IoFuture<? extends StreamConnection> opening, Consumer<IOException> onFailure) {
        opening.addNotifier(
                (future, attachment) -> {
                    if (future.getStatus() == IoFuture.Status.FAILED) {
                        onFailure.accept(future.getException());
                    }
                },
                null);
    }
}
