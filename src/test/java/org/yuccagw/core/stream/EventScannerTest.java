package org.yuccagw.core.stream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.testng.annotations.Test;

public class EventScannerTest {
    private static final String TWO_EVENTS = "id: 1\ndata: a\n\nversion: 7\r\nid: 2\r\ndata: b\r\n\r\n";
    private static final int RANDOM_SPLITS = 2_000;

    @Test
    public void theEndOfTheLastCompleteEventIsFound() {
        EventScanner scanner = EventScanner.fromStart();
        assertEquals(scanner.scan(bytes(TWO_EVENTS + "id: 3\nda")), TWO_EVENTS.length());
        assertEquals(scanner.lastId(), 2);
        assertEquals(scanner.completeEvents(), 2);
        assertTrue(scanner.isInsideEvent());
    }

    // Guards against taking a stream for complete that broke off at any byte of an event.
    @Test
    public void everyByteOfAnEventButItsLastIsInside() {
        for (int length = 1; length <= TWO_EVENTS.length(); length++) {
            EventScanner scanner = EventScanner.fromStart();
            scanner.scan(bytes(TWO_EVENTS.substring(0, length)));
            boolean atBoundary = length == TWO_EVENTS.length() || length == TWO_EVENTS.indexOf("version");
            assertEquals(scanner.isInsideEvent(), !atBoundary, "after " + length + " bytes");
        }
    }

    @Test
    public void emptyLinesBetweenEventsAreNotInside() {
        EventScanner scanner = EventScanner.fromStart();
        scanner.scan(bytes("\n\r\nid: 1\ndata: a\n\n\n"));
        assertFalse(scanner.isInsideEvent());
        assertEquals(scanner.completeEvents(), 1);
    }

    @Test
    public void theIncompleteEventOfAnEarlierSenderDoesNotCount() {
        EventScanner scanner = EventScanner.after(5);
        scanner.scan(bytes("id: 6\ndata: a"));
        scanner.continueWithOtherSender();
        assertFalse(scanner.isInsideEvent());
        scanner.scan(bytes("data: b\n\n"));
        assertEquals(scanner.lastId(), 5);
    }

    @Test
    public void idsThatAreNoNumbersAreIgnored() {
        EventScanner scanner = EventScanner.fromStart();
        scanner.scan(bytes("id: one\n\nid: 99999999999999999999\n\nid:" + " ".repeat(50) + "7\n\nident: 9\n\n"));
        assertEquals(scanner.lastId(), EventScanner.NO_ID);
        assertEquals(scanner.completeEvents(), 4);
    }

    @Test
    public void splitsOfTheBytesMakeNoDifference() {
        Random random = new Random(54);
        for (int run = 0; run < RANDOM_SPLITS; run++) {
            byte[] stream = randomStream(random);
            EventScanner whole = EventScanner.fromStart();
            int boundary = whole.scan(ByteBuffer.wrap(stream));
            EventScanner split = EventScanner.fromStart();
            EventFramer framer = EventFramer.of(EventScanner.fromStart());
            StringBuilder framed = new StringBuilder();
            for (int begin = 0; begin < stream.length; ) {
                int length = Math.min(stream.length - begin, 1 + random.nextInt(6));
                split.scan(ByteBuffer.wrap(stream, begin, length));
                framed.append(
                        StandardCharsets.ISO_8859_1.decode(framer.accept(ByteBuffer.wrap(stream, begin, length))));
                begin += length;
            }
            assertEquals(split.lastId(), whole.lastId(), "run " + run);
            assertEquals(split.completeEvents(), whole.completeEvents(), "run " + run);
            assertEquals(split.isInsideEvent(), whole.isInsideEvent(), "run " + run);
            assertEquals(framed.toString(), new String(stream, 0, boundary, StandardCharsets.ISO_8859_1), "run " + run);
        }
    }

    private static byte[] randomStream(Random random) {
        String alphabet = "\n\n\n\rid: 123data:x";
        byte[] stream = new byte[random.nextInt(60)];
        for (int index = 0; index < stream.length; index++) {
            stream[index] = (byte) alphabet.charAt(random.nextInt(alphabet.length()));
        }
        return stream;
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }
}
