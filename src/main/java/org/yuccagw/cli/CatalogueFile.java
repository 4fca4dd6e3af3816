package org.yuccagw.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.yuccagw.adapters.settings.CatalogueJson;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.error.YuccagwException;

/** Reads a catalogue from a file. */
final class CatalogueFile {
    private CatalogueFile() {}

    static Catalogue read(Path file) {
        try {
            return CatalogueJson.create().decode(Files.readAllBytes(file));
        } catch (IOException e) {
            throw CommandException.failed(file + ": the file can't be read");
        } catch (YuccagwException e) {
            throw CommandException.failed(file + ": " + e.getMessage());
        }
    }
}
