package org.yuccagw.fuzz;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.adapters.engine.CompletionBody;
import org.yuccagw.adapters.http.JsonText;
import org.yuccagw.adapters.settings.CatalogueJson;
import org.yuccagw.adapters.settings.EntrySettingsReader;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.daemon.ControlComponents;
import org.yuccagw.platform.GatewaySettingsReader;
import org.yuccagw.platform.PlatformRecords;

/** Guards against documents of other processes that end the thread which reads them, with the deploy file's stack. */
public class HostileDocumentsTest {
    /** The stack of deploy/system.toml. */
    private static final int STACK_BYTES = 256 * 1024;

    private static final long TIMEOUT_SECONDS = 60;
    private static final int DOCUMENTS = 400;
    private static final int MAX_DEPTH = 20_000;
    private static final int MAX_NUMBER_LENGTH = 100_000;
    private static final int PROTOBUF_GROUP_START = 0x0B;
    private static final String[] KEYS = {
        "op/config",
        "op/version/model",
        "op/evacuate/",
        "servers/x",
        "servers/",
        "yuccagw/entry/x",
        "yuccagw/duty/x",
        "yuccagw/streams/x/1"
    };

    /** Reads bytes, or refuses them. */
    private interface Reader {
        void read(byte[] document) throws YuccagwException, IOException;
    }

    @DataProvider
    public static Object[][] readers() {
        Map<String, Reader> readers = new LinkedHashMap<>();
        readers.put("JSON trees", JsonText::read);
        readers.put("catalogues", CatalogueJson.create()::decode);
        readers.put("settings of an entry", EntrySettingsReader::parse);
        readers.put("settings of a gateway", GatewaySettingsReader::parse);
        readers.put("completions", document -> CompletionBody.read(document, false));
        readers.put("chat completions", document -> CompletionBody.read(document, true));
        readers.put("messages between entries", ControlComponents.codecs()::decode);
        for (String key : KEYS) {
            readers.put("values at " + key, document -> PlatformRecords.create().decode(key, document));
        }
        return readers.entrySet().stream()
                .map(reader -> new Object[] {reader.getKey(), reader.getValue()})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "readers")
    public void anyDocumentIsReadOrRefused(String what, Reader reader) throws Exception {
        CompletableFuture<String> outcome = new CompletableFuture<>();
        Thread thread = new Thread(null, () -> outcome.complete(readAll(reader)), what, STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        assertEquals(outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), "", what);
    }

    /** Returns an empty text, or which document ended in neither a value nor a refusal. */
    private static String readAll(Reader reader) {
        SplittableRandom random = new SplittableRandom(81);
        for (int index = 0; index < DOCUMENTS; index++) {
            byte[] document = document(random);
            try {
                reader.read(document);
            } catch (YuccagwException | IOException refused) {
                assertFalse(refused.getMessage().isBlank());
            } catch (RuntimeException | Error e) {
                return "document " + index + ", " + document.length + " bytes: " + e;
            }
        }
        return "";
    }

    private static byte[] document(SplittableRandom random) {
        return switch (random.nextInt(5)) {
            case 0 -> text("1".repeat(1 + random.nextInt(MAX_NUMBER_LENGTH)));
            case 1 -> text("{\"version\":1e" + random.nextInt(999_999_999) + ",\"born\":1e9}");
            case 2 -> bytes(random, 1 + random.nextInt(64), 0);
            case 3 -> bytes(random, 1 + random.nextInt(MAX_DEPTH), PROTOBUF_GROUP_START);
            default -> text(nested(random));
        };
    }

    private static String nested(SplittableRandom random) {
        int depth = 1 + random.nextInt(random.nextBoolean() ? MAX_DEPTH : 1_200);
        boolean closed = random.nextBoolean();
        boolean inField = random.nextBoolean();
        boolean arrays = random.nextBoolean();
        String opened = (arrays ? "[" : "{\"a\":").repeat(depth);
        String value = closed ? opened + "1" + (arrays ? "]" : "}").repeat(depth) : opened;
        return inField ? "{\"version\":3,\"routes\":" + value + (closed ? "}" : "") : value;
    }

    /** Returns bytes of one value, or random ones if that value is 0. */
    private static byte[] bytes(SplittableRandom random, int length, int value) {
        byte[] bytes = new byte[length];
        for (int index = 0; index < length; index++) {
            bytes[index] = (byte) (value == 0 ? random.nextInt(256) : value);
        }
        return bytes;
    }

    private static byte[] text(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
