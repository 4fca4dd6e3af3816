package org.yuccagw.core.membership;

import java.util.Optional;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;

/**
 * The gossiped record of one entry.
 *
 * <p>Of two records, the one with the higher incarnation is newer. Within an incarnation, the one with the higher
 * version is newer; only the entry itself raises its version. At the same version, the later state wins. An entry thus
 * refutes a suspicion of version 7 by a record of version 8. {@code LEAVING} is the exception: no record of the same
 * incarnation makes the entry alive again.
 *
 * @param version raised by the entry itself when its load or catalogue changes and to refute a suspicion
 * @param load number of running requests
 * @param catalogueRevision revision of the catalogue in force on the entry
 * @param contact present if the receiver may not know it yet
 */
public record MemberRecord(
        EntryId entry,
        long incarnation,
        long version,
        EntryStatus.State state,
        int load,
        long catalogueRevision,
        Optional<Contact> contact) {

    /**
     * The failure domain and the listening addresses of an entry.
     *
     * @param relayAddress where the entry relays requests of other entries; empty if it relays none
     */
    public record Contact(
            FailureDomain domain,
            NetworkAddress callerAddress,
            NetworkAddress peerAddress,
            NetworkAddress adminAddress,
            Optional<NetworkAddress> relayAddress) {}

    /** Returns whether this record is newer than {@code known} by the rules of {@link MemberRecord}. */
    boolean supersedes(MemberRecord known) {
        if (incarnation != known.incarnation) {
            return incarnation > known.incarnation;
        }
        if (known.state == EntryStatus.State.LEAVING && state.compareTo(EntryStatus.State.LEAVING) < 0) {
            return false;
        }
        if (version != known.version) {
            return version > known.version;
        }
        return state.compareTo(known.state) > 0;
    }

    MemberRecord withState(EntryStatus.State newState) {
        return new MemberRecord(entry, incarnation, version, newState, load, catalogueRevision, contact);
    }

    MemberRecord withContact(Optional<Contact> newContact) {
        return new MemberRecord(entry, incarnation, version, state, load, catalogueRevision, newContact);
    }
}
