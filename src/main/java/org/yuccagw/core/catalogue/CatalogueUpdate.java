package org.yuccagw.core.catalogue;

import org.yuccagw.core.port.PeerMessage;

/** Messages about the catalogue between entries. */
public interface CatalogueUpdate extends PeerMessage {
    /** The complete document of a revision. */
    record FullDocument(long revision, byte[] document) implements CatalogueUpdate {}

    /** Requests any newer revision; the sender has {@code revision} in force. */
    record Request(long revision) implements CatalogueUpdate {}

    /** The change from the document of {@code baseRevision} to that of {@code revision}, as a {@link DocumentDelta}. */
    record Delta(long revision, long baseRevision, byte[] change) implements CatalogueUpdate {}
}
