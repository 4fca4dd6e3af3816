package org.yuccagw.adapters.http;

import io.undertow.client.ClientConnection;
import java.util.Optional;
import org.xnio.IoUtils;

/**
 * An open connection of the client.
 *
 * @param overheadLimit the limit of what the server may send beside content; empty for connections with TLS
 */
record HttpConnection(ClientConnection channel, Optional<OverheadLimit> overheadLimit) {
    void startRequest() {
        overheadLimit.ifPresent(OverheadLimit::reset);
    }

    void addContent(int bytes) {
        overheadLimit.ifPresent(limit -> limit.addContent(bytes));
    }

    boolean isOpen() {
        return channel.isOpen();
    }

    void close() {
        IoUtils.safeClose(channel);
    }
}
