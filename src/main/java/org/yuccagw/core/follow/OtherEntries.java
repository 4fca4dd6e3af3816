package org.yuccagw.core.follow;

import java.util.List;
import org.yuccagw.core.id.EntryId;

/** The other entries, which may know better than the key-value service. */
public interface OtherEntries {
    /** Returns the other entries that are known. */
    List<EntryId> known();

    /** Returns whether there are addresses of entries that haven't been heard yet. */
    boolean hasUnheardSeeds();

    /** Sends an entry the address at which this one can be answered. */
    void introduceTo(EntryId entry);
}
