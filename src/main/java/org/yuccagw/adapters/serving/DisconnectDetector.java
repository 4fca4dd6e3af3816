package org.yuccagw.adapters.serving;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Notices that a caller closes its connection while its request runs.
 *
 * <p>Once a request is read the server reads nothing more from its connection until the answer is written, so a caller
 * that leaves would be noticed only by a failing write, and the endpoint would work for nobody until then. This reads
 * on: the end of the connection closes it, and bytes of a next request are given back to the server for later.
 */
final class DisconnectDetector {
    private final HttpServerExchange exchange;
    private final HttpServerConnection connection;
    private final StreamSourceConduit conduit;

    private DisconnectDetector(HttpServerExchange exchange, HttpServerConnection connection) {
        this.exchange = exchange;
        this.connection = connection;
        this.conduit = connection.getOriginalSourceConduit();
    }

    /** Watches from now until the answer is written; on the exchange's I/O thread, after the whole request was read. */
    static DisconnectDetector begin(HttpServerExchange exchange) {
        DisconnectDetector watch = new DisconnectDetector(exchange, (HttpServerConnection) exchange.getConnection());
        watch.connection.getChannel().getSourceChannel().setReadListener(channel -> watch.look());
        watch.conduit.resumeReads();
        return watch;
    }

    /**
     * Looks at once whether the caller has closed its connection, which is closed then.
     *
     * <p>Guards against work for callers who left long ago. An entry that has just started on a small share of a
     * processor reads its first requests seconds after they came. What its thread does next is to send them on, and
     * only after all of them does it hear of the connections that were closed meanwhile.
     */
    void look() {
        if (exchange.isComplete() || !conduit.isReadResumed()) {
            return;
        }
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean keep = false;
        try {
            ByteBuffer buffer = pooled.getBuffer();
            buffer.clear();
            int count = conduit.read(buffer);
            if (count < 0) {
                IoUtils.safeClose(connection);
            } else if (count > 0) {
                buffer.flip();
                connection.ungetRequestBytes(pooled);
                keep = true;
                conduit.suspendReads();
            }
        } catch (IOException ignored) {
            // A reset is an end too.
            IoUtils.safeClose(connection);
        } finally {
            if (!keep) {
                pooled.close();
            }
        }
    }
}
