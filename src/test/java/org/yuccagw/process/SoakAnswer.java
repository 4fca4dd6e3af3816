package org.yuccagw.process;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The answer that every endpoint of a soak gives to a request, derived from its id.
 *
 * @param streamed whether it is a stream of events
 * @param pieces the parts of the body in order, events in a stream
 * @param headMillis the time before the head
 * @param gapMillis the time before each piece
 */
record SoakAnswer(boolean streamed, List<String> pieces, long headMillis, long gapMillis) {
    private static final int MAX_EVENTS = 40;
    private static final int MAX_PARTS = 3;

    static SoakAnswer to(String request, String requestLine) {
        SplittableRandom random = new SplittableRandom(request.hashCode());
        boolean streamed = requestLine.contains(SoakRoute.RESUMABLE.prefix())
                || requestLine.contains(SoakRoute.STREAM_ONCE.prefix());
        int count = 1 + random.nextInt(streamed ? MAX_EVENTS : MAX_PARTS);
        List<String> pieces = new ArrayList<>();
        for (int number = 1; number <= count; number++) {
            pieces.add(
                    streamed
                            ? "id: " + number + "\ndata: " + request + " " + number + "/" + count + "\n\n"
                            : (request + " part " + number + "/" + count + " ").repeat(1 + random.nextInt(200)));
        }
        return streamed
                ? new SoakAnswer(true, pieces, random.nextInt(20, 150), random.nextInt(20, 80))
                : new SoakAnswer(false, pieces, random.nextInt(5, 60), random.nextInt(1, 10));
    }

    String body() {
        return String.join("", pieces);
    }
}
