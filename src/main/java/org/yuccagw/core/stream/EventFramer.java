package org.yuccagw.core.stream;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Holds back the incomplete event at the end of a stream of server-sent events.
 *
 * <p>Prevents two runs from being joined in the middle of an event. A connection to an endpoint may break at any byte,
 * and the stream is continued on another endpoint with the event after the last complete one. The bytes of an
 * incomplete event are discarded.
 */
public final class EventFramer {
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private final EventScanner scanner;
    private byte[] partial = new byte[256];
    private int partialBytes;

    private EventFramer(EventScanner scanner) {
        this.scanner = scanner;
    }

    /** Returns a framer of the stream that the scanner scans. */
    public static EventFramer of(EventScanner scanner) {
        return new EventFramer(scanner);
    }

    /** Adds bytes and returns the events that they complete, possibly none. */
    public ByteBuffer accept(ByteBuffer bytes) {
        int completing = scanner.scan(bytes);
        if (completing == 0) {
            keep(bytes);
            return ByteBuffer.allocate(0);
        }
        ByteBuffer completed = ByteBuffer.allocate(partialBytes + completing);
        completed.put(partial, 0, partialBytes);
        partialBytes = 0;
        completed.put(bytes.slice(bytes.position(), completing));
        bytes.position(bytes.position() + completing);
        keep(bytes);
        return completed.flip();
    }

    /** Returns whether the incomplete event is larger than 1 MiB. */
    public boolean isTooLarge() {
        return partialBytes > MAX_EVENT_BYTES;
    }

    /** Continues with another sender; see {@link EventScanner#continueWithOtherSender}. */
    public void continueWithOtherSender() {
        partialBytes = 0;
        scanner.continueWithOtherSender();
    }

    private void keep(ByteBuffer bytes) {
        int added = bytes.remaining();
        if (partialBytes + added > partial.length) {
            partial = Arrays.copyOf(partial, Math.max(2 * partial.length, partialBytes + added));
        }
        bytes.get(partial, partialBytes, added);
        partialBytes += added;
    }
}
