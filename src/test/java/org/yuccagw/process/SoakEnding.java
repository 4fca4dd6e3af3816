package org.yuccagw.process;

import java.util.SplittableRandom;

/**
 * How an endpoint of a soak ends one answer. An answer that breaks off can always be told from a complete one: it ends
 * inside an event, before its stated end, or with a reset.
 *
 * @param framing what shows the end of the answer
 * @param brokenPiece number of the piece, from 0, in the middle of which the answer breaks off; -1 if it doesn't
 * @param reset whether the connection of a broken answer is reset
 */
record SoakEnding(Framing framing, int brokenPiece, boolean reset) {
    private static final int BROKEN_ONE_IN = 25;
    private static final int NONE = -1;

    /** What shows the end of an answer. */
    enum Framing {
        LENGTH,
        CHUNKS,
        CLOSE_HEADER,
        NO_HEADER;

        boolean isConnection() {
            return this == CLOSE_HEADER || this == NO_HEADER;
        }

        private String header(int length) {
            return switch (this) {
                case LENGTH -> "Content-Length: " + length + "\r\n";
                case CHUNKS -> "Transfer-Encoding: chunked\r\n";
                case CLOSE_HEADER -> "Connection: close\r\n";
                case NO_HEADER -> "";
            };
        }
    }

    /** Returns the ending of a run, derived from its seal. Streams have no length. */
    static SoakEnding of(SoakAnswer answer, String seal) {
        SplittableRandom random = new SplittableRandom(seal.hashCode());
        Framing[] framings = Framing.values();
        Framing framing = answer.streamed()
                ? framings[random.nextInt(1, framings.length)]
                : framings[random.nextInt(framings.length)];
        boolean broken = random.nextInt(BROKEN_ONE_IN) == 0;
        boolean mustReset = framing.isConnection() && !answer.streamed();
        int piece = broken ? random.nextInt(answer.pieces().size()) : NONE;
        return new SoakEnding(framing, piece, mustReset || random.nextBoolean());
    }

    /** Returns the header of the answer that tells its framing. */
    String header(SoakAnswer answer) {
        return framing.header(answer.body().length());
    }

    /** Returns the bytes on the connection for a part of the body. */
    String frame(String part) {
        return framing == Framing.CHUNKS ? Integer.toHexString(part.length()) + "\r\n" + part + "\r\n" : part;
    }

    /** Returns the bytes on the connection after the whole body. */
    String lastFrame() {
        return framing == Framing.CHUNKS ? "0\r\n\r\n" : "";
    }

    boolean breaksOffIn(int piece) {
        return piece == brokenPiece;
    }
}
