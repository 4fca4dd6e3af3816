package org.yuccagw.adapters.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/** An open connection to a server. Confined to its I/O thread. */
final class HttpConnection {
    /** Servers ignore empty lines before a request. */
    private static final byte[] EMPTY_LINE = "\r\n".getBytes(StandardCharsets.US_ASCII);

    private final StreamConnection connection;

    private HttpConnection(StreamConnection connection) {
        this.connection = connection;
    }

    static HttpConnection of(StreamConnection connection) {
        return new HttpConnection(connection);
    }

    /** Calls back, from now on, whenever bytes or the end of the connection can be read. */
    void onReadable(Runnable callback) {
        connection.getSourceChannel().setReadListener(channel -> callback.run());
        connection.getSourceChannel().resumeReads();
    }

    /** Returns the number of bytes that were read, 0 if there are none at present, -1 at the end. */
    int read(ByteBuffer destination) throws IOException {
        return connection.getSourceChannel().read(destination);
    }

    void suspendReads() {
        connection.getSourceChannel().suspendReads();
    }

    void resumeReads() {
        connection.getSourceChannel().resumeReads();
    }

    /** Calls back once even if there is nothing new to read, and later as {@link #onReadable} does. */
    void wakeupReads() {
        connection.getSourceChannel().wakeupReads();
    }

    /**
     * Writes as much of the buffers as the connection accepts.
     *
     * @return whether everything has been written and flushed
     */
    boolean write(ByteBuffer[] buffers) throws IOException {
        while (buffers[buffers.length - 1].hasRemaining() || buffers[0].hasRemaining()) {
            if (connection.getSinkChannel().write(buffers, 0, buffers.length) == 0) {
                return false;
            }
        }
        return connection.getSinkChannel().flush();
    }

    /** Calls back when the connection accepts further bytes. */
    void onWritable(Runnable callback) {
        connection.getSinkChannel().setWriteListener(channel -> callback.run());
        connection.getSinkChannel().resumeWrites();
    }

    void suspendWrites() {
        connection.getSinkChannel().suspendWrites();
    }

    /**
     * Tests whether the server has reset a connection whose end was read in order. Reading never shows that, writing
     * does.
     */
    boolean isReset() {
        try {
            connection.getSinkChannel().write(ByteBuffer.wrap(EMPTY_LINE));
            return !connection.getSinkChannel().flush();
        } catch (IOException e) {
            return true;
        }
    }

    /**
     * Tests whether the server has ended an idle connection, or sent bytes for which no request was waiting. The next
     * request would take these for its response.
     */
    boolean isSpent() {
        try {
            return connection.getSourceChannel().read(ByteBuffer.allocate(1)) != 0;
        } catch (IOException e) {
            return true;
        }
    }

    /** Closes the connection as soon as the server ends it or sends anything, since no request is waiting. */
    void beginIdle() {
        onReadable(this::close);
    }

    boolean isOpen() {
        return connection.isOpen();
    }

    void close() {
        IoUtils.safeClose(connection);
    }
}
