package org.yuccagw.core.follow;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.yuccagw.core.port.KeyValueAnswer.Item;
import org.yuccagw.core.port.PeerMessage;

/** The messages by which entries send each other changes of the followed keys. */
public sealed interface FollowMessage extends PeerMessage {
    /** Requests the changes after a revision, or all keys if the revision is 0. */
    record ChangesRequest(long afterRevision) implements FollowMessage {}

    /** Answers a request with the statement that this entry has just started and knows only what the service states. */
    record StillStarting() implements FollowMessage {}

    /**
     * Reports changes, either as the answer to a request or unrequested from a lead to its followers.
     *
     * @param whole whether the items are all keys, so that every other key has been removed; recent removals, with the
     *     value before them, are among the items
     * @param afterRevision unless {@code whole}, the items are all changes after this revision, and what the sender
     *     knows better than a service that was restored from an older copy
     * @param revision the revision up to which the sender's copy is complete
     * @param confirmedAgeMillis time since the sender's copy was confirmed
     * @param lapsesUpToRevision up to which revision removals may be lapses of leases, since the sender received them
     *     with the first answer after an outage; 0 if there are none
     * @param coverage what the items cover; empty if they aren't the answer to a request
     */
    record Changes(
            boolean whole,
            long afterRevision,
            long revision,
            long confirmedAgeMillis,
            long lapsesUpToRevision,
            ImmutableList<Item> items,
            Optional<CopyCoverage> coverage)
            implements FollowMessage {}
}
