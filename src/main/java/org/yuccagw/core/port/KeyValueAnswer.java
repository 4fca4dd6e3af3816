package org.yuccagw.core.port;

import java.util.List;
import org.yuccagw.core.port.KeyValueCall.LeaseHandle;

/** The result of one {@link KeyValueCall}. */
public interface KeyValueAnswer {
    /**
     * One key with its value.
     *
     * @param revision the service-wide revision of the last write to the key, a {@link KeyValueRevision}
     * @param deleted true in the answer to a watch if the last write deleted the key; the value is then empty
     */
    record Item(String key, byte[] value, long revision, boolean deleted) {
        public static Item of(String key, byte[] value, long revision) {
            return new Item(key, value, revision, false);
        }
    }

    /** The answer to a read or a watch; {@code revision} is the revision of the service at the time of the answer. */
    record Found(List<Item> items, long revision) implements KeyValueAnswer {}

    /** The write took effect and gave the key this revision. */
    record Written(long revision) implements KeyValueAnswer {}

    /**
     * The write had no effect, because the key doesn't have the expected revision.
     *
     * @param currentRevision the revision of the key, {@link KeyValueCall#ABSENT} if the key doesn't exist
     */
    record Conflict(long currentRevision) implements KeyValueAnswer {}

    /** The service has discarded the history that the watch requested; the keys must be read again. */
    record HistoryGone() implements KeyValueAnswer {}

    /** The lease was granted and runs from now on. */
    record LeaseGranted(LeaseHandle lease) implements KeyValueAnswer {}

    /** The lease was renewed or revoked. */
    record LeaseRenewed() implements KeyValueAnswer {}

    /** The lease has expired or doesn't exist. */
    record LeaseLapsed() implements KeyValueAnswer {}

    /** The call was refused and had no effect, for example because the rate limit of the service was exceeded. */
    record Refused(String reason) implements KeyValueAnswer {}

    /**
     * An answer with the era of the service in which it was made. Only the connection to the service gives it;
     * components receive the answer itself.
     */
    record InEra(long era, KeyValueAnswer answer) implements KeyValueAnswer {}

    /** No usable answer arrived. A write may have taken effect or may still do so. */
    record Lost(String reason) implements KeyValueAnswer {}
}
