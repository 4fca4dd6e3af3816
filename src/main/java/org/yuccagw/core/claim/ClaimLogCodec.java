package org.yuccagw.core.claim;

import java.util.List;
import org.yuccagw.core.error.YuccagwException;

/** Encodes and decodes the documents of a shard's log of claims. The adapter determines the format. */
public interface ClaimLogCodec {
    byte[] encodeHead(ClaimHead head);

    /**
     * Decodes a head document.
     *
     * @throws YuccagwException of kind CLAIM_UNAVAILABLE when the document is damaged
     */
    ClaimHead decodeHead(byte[] document) throws YuccagwException;

    byte[] encodeSegment(List<ClaimRecord> records);

    /**
     * Decodes a segment.
     *
     * @throws YuccagwException of kind CLAIM_UNAVAILABLE when the document is damaged
     */
    List<ClaimRecord> decodeSegment(byte[] document) throws YuccagwException;
}
