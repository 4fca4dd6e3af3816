package org.yuccagw.core.port;

import java.util.List;
import org.yuccagw.core.port.KeyValueCall.LeaseHandle;

/** What came back for one {@link KeyValueCall}. */
public interface KeyValueAnswer {
    /**
     * One key with its value and the service-wide revision of its last write.
     *
     * @param deleted true in the answer to a watch when the last write was a deletion; the value is then empty
     */
    record Item(String key, byte[] value, long revision, boolean deleted) {
        public static Item of(String key, byte[] value, long revision) {
            return new Item(key, value, revision, false);
        }
    }

    /** Answer to a read or a watch; {@code revision} is the service's revision when it answered. */
    record Found(List<Item> items, long revision) implements KeyValueAnswer {}

    /** The write took effect; the key is now at {@code revision}. */
    record Written(long revision) implements KeyValueAnswer {}

    /** The write did not take effect: the key is at {@code currentRevision}, {@link KeyValueCall#ABSENT} if gone. */
    record Conflict(long currentRevision) implements KeyValueAnswer {}

    /** The service has dropped the history that the watch asked for: the keys must be read anew. */
    record HistoryGone() implements KeyValueAnswer {}

    record LeaseGranted(LeaseHandle lease) implements KeyValueAnswer {}

    record LeaseRenewed() implements KeyValueAnswer {}

    record LeaseLapsed() implements KeyValueAnswer {}

    /** The service refused before doing anything, such as over its rate; the call had no effect. */
    record Refused(String reason) implements KeyValueAnswer {}

    /** No answer came. A write may have taken effect, or may still take effect later. */
    record Lost(String reason) implements KeyValueAnswer {}
}
