package org.yuccagw.fuzz;

import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.testng.annotations.Test;
import org.yuccagw.adapters.engine.CompletionBody;
import org.yuccagw.adapters.peer.PeerCodec;
import org.yuccagw.adapters.settings.CatalogueJson;
import org.yuccagw.adapters.settings.EntrySettingsReader;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.request.ResumeToken;
import org.yuccagw.daemon.ControlComponents;

/** Whatever bytes come in, the answer is a value or one of the closed list of errors, never anything else. */
public class RandomBytesTest {
    private static final int ROUNDS = 20_000;
    private static final String BODY =
            "{\"model\":\"assistant\",\"prompt\":\"hello\",\"max_tokens\":5,\"stream\":true}";

    /** Reads bytes, or refuses them with an error of the list. */
    private interface Reader {
        void read(byte[] bytes) throws YuccagwException;
    }

    @Test
    public void anyCatalogueIsReadOrRefused() throws Exception {
        attack(Files.readAllBytes(Path.of("config/samples/catalogue.json")), 1, CatalogueJson.create()::decode, 2_000);
    }

    @Test
    public void anySettingsAreReadOrRefused() throws Exception {
        attack(Files.readAllBytes(Path.of("config/samples/entry.json")), 2, EntrySettingsReader::parse, 5_000);
    }

    @Test
    public void anyRequestBodyIsReadOrRefused() throws Exception {
        attack(BODY.getBytes(StandardCharsets.UTF_8), 3, bytes -> CompletionBody.read(bytes, false), ROUNDS);
        attack(BODY.getBytes(StandardCharsets.UTF_8), 4, bytes -> CompletionBody.read(bytes, true), ROUNDS);
    }

    @Test
    public void anyMessageOfAPeerIsReadOrRefused() throws Exception {
        PeerCodec codec = ControlComponents.codecs();
        attack(new byte[64], 5, codec::decode, ROUNDS);
        byte[] gossip = {10, 7, 101, 110, 116, 114, 121, 45, 50, 16, 5, 82, 6, 16, 1, 26, 2, 101, 51};
        attack(gossip, 6, codec::decode, ROUNDS);
    }

    @Test
    public void anyResumeTokenIsRefused() throws Exception {
        attack(
                "payload.signature".getBytes(StandardCharsets.UTF_8),
                7,
                bytes -> ResumeToken.verify(new String(bytes, StandardCharsets.ISO_8859_1), java.util.List.of("a key")),
                ROUNDS);
    }

    /** Changes, cuts and repeats some bytes of a good document, many times over, from a seed. */
    private static void attack(byte[] good, long seed, Reader reader, int rounds) {
        RandomGenerator random = new SplittableRandom(seed);
        int refused = 0;
        for (int round = 0; round < rounds; round++) {
            byte[] bytes = mutate(good, random);
            try {
                reader.read(bytes);
            } catch (YuccagwException expected) {
                refused++;
            } catch (RuntimeException e) {
                throw new AssertionError("seed " + seed + ", round " + round + " is neither read nor refused", e);
            }
        }
        assertTrue(refused > rounds / 10, "only " + refused + " of " + rounds + " were refused: too tame");
    }

    private static byte[] mutate(byte[] good, RandomGenerator random) {
        int length = random.nextInt(4) == 0 ? random.nextInt(good.length + 1) : good.length;
        byte[] bytes = java.util.Arrays.copyOf(good, length);
        int changes = 1 + random.nextInt(8);
        for (int i = 0; i < changes && bytes.length > 0; i++) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
        }
        return bytes;
    }
}
