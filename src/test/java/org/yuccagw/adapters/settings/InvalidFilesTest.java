package org.yuccagw.adapters.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;

/** Reads invalid files; the expected error message is in a file of the same name with the extension .message. */
public class InvalidFilesTest {
    private static final Path RESOURCES = Path.of("src/test/resources/settings");
    private static final int FILES_PER_DIRECTORY = 10;

    @DataProvider
    public Object[][] invalidEntrySettings() throws IOException {
        return filesIn("entry");
    }

    @DataProvider
    public Object[][] invalidCatalogues() throws IOException {
        return filesIn("catalogue");
    }

    @Test(dataProvider = "invalidEntrySettings")
    public void anInvalidSettingsFileIsRejectedWithPositionAndCorrection(Path file) throws IOException {
        YuccagwException error = expectThrows(YuccagwException.class, () -> EntrySettingsReader.read(file));
        assertEquals(error.kind(), ErrorKind.SETTINGS_INVALID);
        assertEquals(error.getMessage(), file + ": " + expectedMessage(file));
    }

    @Test(dataProvider = "invalidCatalogues")
    public void anInvalidCatalogueIsRejectedWithPositionAndCorrection(Path file) throws IOException {
        byte[] document = Files.readAllBytes(file);
        YuccagwException error = expectThrows(
                YuccagwException.class, () -> CatalogueJson.create().decode(document));
        assertEquals(error.kind(), ErrorKind.CATALOGUE_INVALID);
        assertEquals(error.getMessage(), expectedMessage(file));
    }

    private static String expectedMessage(Path file) throws IOException {
        String name = file.getFileName().toString().replace(".json", ".message");
        return Files.readString(file.resolveSibling(name)).strip();
    }

    private static Object[][] filesIn(String directory) throws IOException {
        List<Object[]> rows = new ArrayList<>();
        try (Stream<Path> files = Files.list(RESOURCES.resolve(directory))) {
            files.filter(file -> file.toString().endsWith(".json"))
                    .sorted()
                    .forEach(file -> rows.add(new Object[] {file}));
        }
        assertEquals(rows.size(), FILES_PER_DIRECTORY);
        return rows.toArray(new Object[0][]);
    }
}
