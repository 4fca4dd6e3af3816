package org.yuccagw.adapters.peer;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.membership.EntryStatus.State;
import org.yuccagw.core.membership.Gossip;
import org.yuccagw.core.membership.MemberRecord;
import org.yuccagw.core.membership.MemberRecord.Contact;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.wire.PeerProtocol.Envelope;
import org.yuccagw.wire.PeerProtocol.GossipMessage;
import org.yuccagw.wire.PeerProtocol.Member;

/** Encodes the messages of the membership component in protobuf. */
public final class GossipCodec implements BodyCodec {
    /** The index of a kind is its number on the wire. */
    private static final ImmutableList<Gossip.Kind> KINDS = ImmutableList.copyOf(Gossip.Kind.values());

    /** The index of a state is its number on the wire. */
    private static final ImmutableList<State> STATES = ImmutableList.copyOf(State.values());

    private GossipCodec() {}

    public static GossipCodec of() {
        return new GossipCodec();
    }

    @Override
    public boolean encode(PeerMessage message, Envelope.Builder envelope) {
        if (!(message instanceof Gossip gossip)) {
            return false;
        }
        GossipMessage.Builder body =
                GossipMessage.newBuilder().setKind(KINDS.indexOf(gossip.kind())).setSequence(gossip.sequence());
        gossip.target().ifPresent(target -> body.setTarget(target.value()));
        gossip.members().forEach(record -> body.addMembers(encode(record)));
        envelope.setGossip(body);
        return true;
    }

    @Override
    public Optional<PeerMessage> decode(Envelope envelope) throws YuccagwException {
        if (!envelope.hasGossip()) {
            return Optional.empty();
        }
        GossipMessage body = envelope.getGossip();
        try {
            ImmutableList.Builder<MemberRecord> members = ImmutableList.builder();
            for (Member member : body.getMembersList()) {
                members.add(decode(member));
            }
            Optional<EntryId> target =
                    body.getTarget().isEmpty() ? Optional.empty() : Optional.of(EntryId.of(body.getTarget()));
            return Optional.of(new Gossip(KINDS.get(body.getKind()), body.getSequence(), target, members.build()));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            throw ErrorKind.PEER_MESSAGE_INVALID.raiseFrom(e, envelope.getFrom(), "gossip: " + e.getMessage());
        }
    }

    private static Member encode(MemberRecord record) {
        Member.Builder member = Member.newBuilder()
                .setEntry(record.entry().value())
                .setIncarnation(record.incarnation())
                .setRefutation(record.version())
                .setState(STATES.indexOf(record.state()))
                .setLoad(record.load())
                .setCatalogueRevision(record.catalogueRevision());
        record.contact()
                .ifPresent(contact -> member.setDomain(contact.domain().value())
                        .setCallerAddress(contact.callerAddress().toString())
                        .setPeerAddress(contact.peerAddress().toString())
                        .setAdminAddress(contact.adminAddress().toString())
                        .setRelayAddress(contact.relayAddress()
                                .map(NetworkAddress::toString)
                                .orElse("")));
        return member.build();
    }

    private static MemberRecord decode(Member member) {
        return new MemberRecord(
                EntryId.of(member.getEntry()),
                member.getIncarnation(),
                member.getRefutation(),
                STATES.get(member.getState()),
                member.getLoad(),
                member.getCatalogueRevision(),
                member.getPeerAddress().isEmpty() ? Optional.empty() : Optional.of(decodeContact(member)));
    }

    private static Contact decodeContact(Member member) {
        return new Contact(
                FailureDomain.of(member.getDomain()),
                NetworkAddress.parse(member.getCallerAddress()),
                NetworkAddress.parse(member.getPeerAddress()),
                NetworkAddress.parse(member.getAdminAddress()),
                member.getRelayAddress().isEmpty()
                        ? Optional.empty()
                        : Optional.of(NetworkAddress.parse(member.getRelayAddress())));
    }
}
