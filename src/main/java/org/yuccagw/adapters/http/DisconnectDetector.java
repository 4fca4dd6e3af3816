package org.yuccagw.adapters.http;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a caller closes its connection while its request runs.
 *
 * <p>After a request was read, Undertow reads nothing more from its connection until the answer is written. A
 * disconnect would then be detected only by a failing write, and the endpoint would compute an answer that no caller
 * reads until then. This class continues to read: at the end of the stream it closes the connection, and bytes of the
 * next request are returned to the server.
 */
public final class DisconnectDetector {
    private final HttpServerExchange exchange;
    private final HttpServerConnection connection;
    private final StreamSourceConduit conduit;

    private DisconnectDetector(HttpServerExchange exchange, HttpServerConnection connection) {
        this.exchange = exchange;
        this.connection = connection;
        this.conduit = connection.getOriginalSourceConduit();
    }

    /**
     * Starts the detection, which lasts until the answer is written. Called on the I/O thread of the exchange, after
     * the whole request was read.
     */
    public static DisconnectDetector begin(HttpServerExchange exchange) {
        DisconnectDetector detector = new DisconnectDetector(exchange, (HttpServerConnection) exchange.getConnection());
        detector.connection.getChannel().getSourceChannel().setReadListener(channel -> detector.checkNow());
        detector.conduit.resumeReads();
        return detector;
    }

    /**
     * Checks immediately whether the caller has closed its connection, and if so closes it on this side.
     *
     * <p>Guards against forwarding requests whose callers disconnected long ago. An entry that has just started with a
     * small share of a processor reads its first requests seconds after they arrived. Its I/O thread then forwards all
     * of them before it is notified of the connections that were closed in the meantime.
     */
    public void checkNow() {
        if (exchange.isComplete() || !conduit.isReadResumed()) {
            return;
        }
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean bufferReturned = false;
        try {
            ByteBuffer buffer = pooled.getBuffer();
            buffer.clear();
            int byteCount = conduit.read(buffer);
            if (byteCount < 0) {
                IoUtils.safeClose(connection);
            } else if (byteCount > 0) {
                buffer.flip();
                connection.ungetRequestBytes(pooled);
                bufferReturned = true;
                conduit.suspendReads();
            }
        } catch (IOException ignored) {
            // A reset connection is closed like one whose stream has ended.
            IoUtils.safeClose(connection);
        } finally {
            if (!bufferReturned) {
                pooled.close();
            }
        }
    }
}
