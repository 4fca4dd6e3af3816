package org.yuccagw.adapters.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.util.DefaultIndenter;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import org.yuccagw.adapters.http.BoundedJson;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.CatalogueCodec;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;

/**
 * Reads and writes the catalogue as JSON. The input may contain comments. The output is canonical: equal catalogues
 * give equal bytes, with names in alphabetical order and without omitted fields.
 */
public final class CatalogueJson implements CatalogueCodec {
    private static final ObjectMapper MAPPER = BoundedJson.mapper();

    private final ObjectWriter compact = MAPPER.writer();
    private final ObjectWriter readable = MAPPER.writer(readablePrinter());

    private CatalogueJson() {}

    public static CatalogueJson create() {
        return new CatalogueJson();
    }

    @Override
    public byte[] encode(Catalogue catalogue) {
        return write(compact, catalogue).getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the canonical form with line breaks and indentation, for readers and for comparison by lines. */
    public String encodeReadable(Catalogue catalogue) {
        return write(readable, catalogue) + "\n";
    }

    @Override
    public Catalogue decode(byte[] document) throws YuccagwException {
        return CatalogueReader.read(document);
    }

    /**
     * Returns whether a document is a catalogue rather than the settings of an entry, judged by its top-level fields.
     *
     * @throws YuccagwException of kind CATALOGUE_INVALID when the document can't be parsed
     */
    public static boolean isCatalogue(byte[] document) throws YuccagwException {
        PositionedValue root = PositionedParser.parse(document, ErrorKind.CATALOGUE_INVALID);
        return root instanceof PositionedValue.ObjectValue object
                && (object.fields().containsKey("services") || object.fields().containsKey("workspaces"));
    }

    private static String write(ObjectWriter writer, Catalogue catalogue) {
        ObjectNode root = MAPPER.createObjectNode();
        CatalogueWriter.write(catalogue, root);
        try {
            return writer.writeValueAsString(root);
        } catch (JsonProcessingException e) {
            // Can't happen: the tree built above contains plain values only, which always have a JSON form.
            throw new UncheckedIOException(e);
        }
    }

    private static DefaultPrettyPrinter readablePrinter() {
        DefaultPrettyPrinter printer = new DefaultPrettyPrinter();
        printer.indentObjectsWith(new DefaultIndenter("  ", "\n"));
        printer.indentArraysWith(new DefaultIndenter("  ", "\n"));
        return printer;
    }
}
