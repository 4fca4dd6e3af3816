package org.yuccagw.adapters.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.hash.Hashing;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import org.testng.annotations.Test;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.ServiceName;

public class SampleFilesTest {
    private static final Path CATALOGUE = Path.of("config/samples/catalogue.json");
    private static final Path ENTRY = Path.of("config/samples/entry.json");

    private final CatalogueJson json = CatalogueJson.create();

    @Test
    public void sampleEntrySettingsAreValid() throws Exception {
        EntrySettings settings = EntrySettingsReader.read(ENTRY);
        assertEquals(settings.caller(), NetworkAddress.of("127.0.0.1", 8080));
        assertTrue(settings.bootstrapOperatorKeyHash().isPresent());
    }

    @Test
    public void sampleCatalogueIsValidAndHasTheKeysOfItsComments() throws Exception {
        Catalogue catalogue = json.decode(Files.readAllBytes(CATALOGUE));
        String hash = Hashing.sha256()
                .hashString("statistics-key", StandardCharsets.UTF_8)
                .toString();
        assertEquals(catalogue.workspaceByKeyHash(hash).orElseThrow().id().value(), "statistics");
        assertTrue(catalogue.service(ServiceName.of("notebook")).orElseThrow().isNonIdempotent("POST", "/label/3"));
    }

    @Test
    public void readsBackTheCatalogueThatItWrote() throws Exception {
        Catalogue catalogue = json.decode(Files.readAllBytes(CATALOGUE)).atRevision(41);
        byte[] written = json.encode(catalogue);
        assertEquals(json.decode(written), catalogue);
        assertEquals(json.decode(json.encodeReadable(catalogue).getBytes(StandardCharsets.UTF_8)), catalogue);
        assertEquals(json.encode(json.decode(written)), written);
    }

    // Guards against a crash on a damaged file. Up to three random bytes of the file are replaced; the reader must
    // return
    // a catalogue or report a short error.
    @Test
    public void aDamagedCatalogueIsReadOrRejectedWithoutACrash() throws IOException {
        byte[] sample = Files.readAllBytes(CATALOGUE);
        Random random = new Random(7);
        int rejected = 0;
        for (int round = 0; round < 2000; round++) {
            byte[] damaged = sample.clone();
            for (int change = 0; change <= random.nextInt(3); change++) {
                damaged[random.nextInt(damaged.length)] = (byte) random.nextInt(256);
            }
            try {
                json.decode(damaged);
            } catch (YuccagwException error) {
                rejected++;
                assertTrue(error.getMessage().length() < 2000);
            }
        }
        assertTrue(rejected > 100, "only " + rejected + " rejected");
    }
}
