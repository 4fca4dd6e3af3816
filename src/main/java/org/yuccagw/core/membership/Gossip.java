package org.yuccagw.core.membership;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.port.PeerMessage;

/**
 * One message of the membership protocol. Each message carries the sender's own record and records that are still being
 * disseminated.
 *
 * @param sequence number of the probe to which the message belongs, assigned by the entry that started the probe
 * @param target the entry to probe on behalf of another; present only for INDIRECT_PROBE and INDIRECT_ANSWER
 */
public record Gossip(Kind kind, long sequence, Optional<EntryId> target, ImmutableList<MemberRecord> members)
        implements PeerMessage {
    /** The kind of a message. The order of the constants defines their numbers on the wire. */
    public enum Kind {
        PROBE,
        ANSWER,
        INDIRECT_PROBE,
        INDIRECT_ANSWER,
        ASK_TABLE,
        TABLE
    }
}
