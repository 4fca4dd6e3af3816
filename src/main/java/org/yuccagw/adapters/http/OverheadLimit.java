package org.yuccagw.adapters.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Limits the bytes that a server may send beside the content of its response bodies: status lines, headers, interim
 * responses, the framing of chunks, trailers. Beyond the limit, reads fail.
 *
 * <p>Undertow's client has no such limit. It parses what belongs to one of these elements in one turn of the I/O thread
 * and keeps it in memory, for as long as the server sends.
 *
 * <p>Confined to the I/O thread of the connection.
 */
final class OverheadLimit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** Bytes beside the content, for each request on a connection. */
    static final long MAX_HEAD_BYTES = 128 * 1024;

    /** A chunk of one byte comes with five bytes of framing, and may have a short extension. */
    private static final long MAX_FRAMING_PER_CONTENT_BYTE = 16;

    private long allowedBytes = MAX_HEAD_BYTES;

    private OverheadLimit(StreamSourceConduit source) {
        super(source);
    }

    static OverheadLimit around(StreamSourceConduit source) {
        return new OverheadLimit(source);
    }

    /** Starts to count anew, for the response to another request. */
    void reset() {
        allowedBytes = MAX_HEAD_BYTES;
    }

    /** Allows for content that has been received. */
    void addContent(int bytes) {
        allowedBytes = Math.min(MAX_HEAD_BYTES, allowedBytes + bytes * (1 + MAX_FRAMING_PER_CONTENT_BYTE));
    }

    @Override
    public int read(ByteBuffer destination) throws IOException {
        return (int) count(super.read(destination));
    }

    @Override
    public long read(ByteBuffer[] destinations, int offset, int length) throws IOException {
        return count(super.read(destinations, offset, length));
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        return count(super.transferTo(position, count, target));
    }

    @Override
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) throws IOException {
        return count(super.transferTo(count, throughBuffer, target));
    }

    private long count(long read) throws IOException {
        allowedBytes -= Math.max(0, read);
        if (allowedBytes < 0) {
            throw new IOException("more than " + MAX_HEAD_BYTES + " bytes beside the content of a response");
        }
        return read;
    }
}
