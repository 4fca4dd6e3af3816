package org.yuccagw.core.catalogue;

import org.yuccagw.core.port.PeerMessage;

/** What entries say to each other about the catalogue. */
public interface CatalogueUpdate extends PeerMessage {
    /** A whole document. */
    record Whole(long revision, byte[] document) implements CatalogueUpdate {}

    /** The sender has {@code revision} in force and wants whatever is newer. */
    record Ask(long revision) implements CatalogueUpdate {}

    /** How the document of {@code baseRevision} becomes that of {@code revision}. */
    record Delta(long revision, long baseRevision, byte[] change) implements CatalogueUpdate {}
}
