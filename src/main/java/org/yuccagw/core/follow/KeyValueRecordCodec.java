package org.yuccagw.core.follow;

import java.util.Optional;
import org.yuccagw.core.error.YuccagwException;

/** From keys and values of the key-value service to facts; the adapter of the platform knows how they are spelled. */
public interface KeyValueRecordCodec {
    /** The prefix under which every key lies that is followed. */
    String followedPrefix();

    /**
     * Reads a value; empty for a key that says nothing to an entry.
     *
     * @throws YuccagwException of kind STATE_UNREADABLE when the value isn't as agreed
     */
    Optional<KeyValueRecord> decode(String key, byte[] value) throws YuccagwException;

    /** What the removal of the key is about. */
    KeyValueRecord.Subject subject(String key);

    /** The key and value under which an entry registers or holds a duty. */
    Entry encode(KeyValueRecord.EntryListed listed);

    /** The key and value of a duty. */
    Entry encode(KeyValueRecord.DutyHeld held);

    /** A key and its value. */
    record Entry(String key, byte[] value) {}
}
