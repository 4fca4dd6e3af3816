package org.yuccagw.adapters.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.core.port.BodyEnd;
import org.yuccagw.faults.AnswerSamples;
import org.yuccagw.faults.AnswerSamples.Sample;

public class ResponseReaderTest {
    private static final long SEED = 88;
    private static final int RANDOM_SPLITS = 200;
    private static final int SPOILT_PER_SAMPLE = 400;

    /** What a reader made of bytes, up to the end of the response. */
    private record Outcome(int status, String body, BodyEnd bodyEnd) {}

    @DataProvider
    public static Object[][] broken() {
        return rows(AnswerSamples.broken());
    }

    @DataProvider
    public static Object[][] sound() {
        return rows(AnswerSamples.sound());
    }

    private static Object[][] rows(List<Sample> samples) {
        return samples.stream().map(sample -> new Object[] {sample}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "broken")
    public void anInvalidResponseIsRefusedWhereverItsBytesAreSplit(Sample sample) {
        byte[] bytes = bytes(sample);
        for (int split = 0; split <= bytes.length; split++) {
            int at = split;
            expectThrows(IOException.class, () -> read("POST", bytes, at));
        }
    }

    @Test(dataProvider = "sound")
    public void aValidResponseIsReadWhereverItsBytesAreSplit(Sample sample) throws IOException {
        byte[] bytes = bytes(sample);
        for (int split = 0; split <= bytes.length; split++) {
            Outcome outcome = read("POST", bytes, split);
            assertEquals(outcome.status(), sample.status());
            assertEquals(outcome.body(), sample.body());
        }
    }

    @Test(dataProvider = "sound")
    public void aValidResponseIsReadFromRandomPortions(Sample sample) throws IOException {
        Random random = new Random(SEED);
        byte[] bytes = bytes(sample);
        for (int round = 0; round < RANDOM_SPLITS; round++) {
            int[] ends = random.ints(5, 0, bytes.length + 1).sorted().toArray();
            assertEquals(read("POST", bytes, ends).body(), sample.body());
        }
    }

    // Guards against a part that looks whole because the connection ended there.
    @Test(dataProvider = "sound")
    public void aPartOfAResponseIsNotWhole(Sample sample) throws IOException {
        byte[] bytes = bytes(sample);
        Outcome whole = read("POST", bytes);
        for (int length = 0; length < bytes.length; length++) {
            byte[] part = Arrays.copyOf(bytes, length);
            try {
                Outcome outcome = read("POST", part);
                boolean isWhole = outcome.equals(whole) || outcome.bodyEnd() == BodyEnd.CONNECTION;
                assertTrue(isWhole, sample.name() + " of " + length + " bytes: " + outcome);
            } catch (IOException expected) {
                // The part is refused, or not whole.
            }
        }
    }

    // Guards against a spoilt byte beside the content that changes what is read as the body.
    @Test(dataProvider = "sound")
    public void aSpoiltByteNeverMovesTheEndOfAStatedBody(Sample sample) throws IOException {
        Random random = new Random(SEED);
        byte[] bytes = bytes(sample);
        for (int round = 0; round < SPOILT_PER_SAMPLE; round++) {
            byte[] spoilt = bytes.clone();
            spoilt[random.nextInt(bytes.length)] = (byte) random.nextInt(32);
            try {
                Outcome outcome = read("POST", spoilt);
                boolean isOfSameLength =
                        outcome.body().length() == sample.body().length();
                assertTrue(
                        isOfSameLength || outcome.bodyEnd() == BodyEnd.CONNECTION,
                        new String(spoilt, StandardCharsets.ISO_8859_1));
            } catch (IOException expected) {
                // The response is refused.
            }
        }
    }

    @DataProvider
    public static Object[][] headsWithoutBody() {
        return new Object[][] {
            {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
            {"HTTP/1.1 404 No\r\n\r\n"}
        };
    }

    @Test(dataProvider = "headsWithoutBody")
    public void theResponseToAHeadRequestHasNoBody(String head) throws IOException {
        Outcome outcome = read("HEAD", head.getBytes(StandardCharsets.ISO_8859_1));
        assertEquals(outcome.body(), "");
        assertEquals(outcome.bodyEnd(), BodyEnd.LENGTH);
    }

    private static byte[] bytes(Sample sample) {
        return sample.text().replace(AnswerSamples.MARKS, "X-Mark: 1\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Reads the bytes in portions that end at the given positions, and then the end of the connection. */
    private static Outcome read(String method, byte[] bytes, int... ends) throws IOException {
        ResponseReader reader = ResponseReader.of(method);
        StringBuilder body = new StringBuilder();
        int start = 0;
        for (int portion = 0; portion <= ends.length; portion++) {
            int end = portion < ends.length ? ends[portion] : bytes.length;
            if (readPortion(reader, ByteBuffer.wrap(bytes, start, end - start), body)) {
                return outcome(reader, body);
            }
            start = end;
        }
        reader.endConnection();
        return outcome(reader, body);
    }

    private static boolean readPortion(ResponseReader reader, ByteBuffer portion, StringBuilder body)
            throws IOException {
        while (true) {
            switch (reader.next(portion)) {
                case MORE -> {
                    return false;
                }
                case END -> {
                    return true;
                }
                case CONTENT -> body.append(StandardCharsets.ISO_8859_1.decode(reader.content()));
                default -> assertEquals(body.length(), 0);
            }
        }
    }

    private static Outcome outcome(ResponseReader reader, StringBuilder body) {
        return new Outcome(
                reader.head().status(), body.toString(), reader.head().bodyEnd());
    }
}
