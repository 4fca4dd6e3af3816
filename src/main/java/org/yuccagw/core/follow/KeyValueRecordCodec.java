package org.yuccagw.core.follow;

import java.util.Optional;
import org.yuccagw.core.error.YuccagwException;

/**
 * Converts between records and the keys and values of the key-value service. The platform adapter, which defines their
 * format, implements it.
 */
public interface KeyValueRecordCodec {
    /** Returns the common prefix of all followed keys. */
    String followedPrefix();

    /**
     * Decodes a value; empty if the key holds no record that entries use.
     *
     * @throws YuccagwException of kind STATE_UNREADABLE if the value doesn't have the agreed format
     */
    Optional<KeyValueRecord> decode(String key, byte[] value) throws YuccagwException;

    /** Returns what the key identifies, to interpret its removal. */
    KeyValueRecord.Subject subject(String key);

    /** Returns the key and value by which an entry registers. */
    Entry encode(KeyValueRecord.EntryListed listed);

    /** Returns the key and value by which an entry claims a duty. */
    Entry encode(KeyValueRecord.DutyHeld held);

    /** Returns the key and value by which an entry stores what began streams. */
    Entry encode(KeyValueRecord.OriginsStored stored);

    /** A key and its value. */
    record Entry(String key, byte[] value) {}
}
