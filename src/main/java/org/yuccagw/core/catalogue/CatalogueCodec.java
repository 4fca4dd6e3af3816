package org.yuccagw.core.catalogue;

import org.yuccagw.core.error.YuccagwException;

/** Encodes and decodes catalogues. The format is defined by the adapter that implements this interface. */
public interface CatalogueCodec {
    byte[] encode(Catalogue catalogue);

    /**
     * Decodes and validates a catalogue.
     *
     * @throws YuccagwException of kind CATALOGUE_INVALID; the message names the position and the remedy
     */
    Catalogue decode(byte[] document) throws YuccagwException;
}
