package org.yuccagw.adapters.peer;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.OptionalLong;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.fleet.ModelWeights;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.pacing.RecentPrefill;
import org.yuccagw.core.peers.DomainDigest;
import org.yuccagw.core.peers.EntryIntroduction;
import org.yuccagw.core.peers.PeerStatus;
import org.yuccagw.core.peers.Roster;
import org.yuccagw.core.peers.RosterRequest;
import org.yuccagw.core.placing.LoadUpdate;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.wire.PeerProtocol.Contact;
import org.yuccagw.wire.PeerProtocol.DigestMessage;
import org.yuccagw.wire.PeerProtocol.EndpointLoadMessage;
import org.yuccagw.wire.PeerProtocol.EndpointWeights;
import org.yuccagw.wire.PeerProtocol.Envelope;
import org.yuccagw.wire.PeerProtocol.QueuedPromptsMessage;
import org.yuccagw.wire.PeerProtocol.RosterAskMessage;
import org.yuccagw.wire.PeerProtocol.RosterMember;
import org.yuccagw.wire.PeerProtocol.RosterMessage;
import org.yuccagw.wire.PeerProtocol.StatusMessage;

/** Encodes heartbeats, the load updates between them, and the rosters and digests of the mesh in protobuf. */
public final class StatusCodec implements BodyCodec {
    private StatusCodec() {}

    public static StatusCodec create() {
        return new StatusCodec();
    }

    @Override
    public boolean encode(PeerMessage message, Envelope.Builder envelope) {
        if (message instanceof LoadUpdate update) {
            envelope.setLoadNews(encode(update.load()));
            return true;
        }
        if (message instanceof EntryIntroduction introduction) {
            envelope.setIntroduction(encode(introduction.contact()));
            return true;
        }
        if (message instanceof RosterRequest request) {
            envelope.setRosterAsk(
                    RosterAskMessage.newBuilder().setDomain(request.domain().value()));
            return true;
        }
        if (message instanceof DomainDigest digest) {
            envelope.setDigest(encode(digest));
            return true;
        }
        if (!(message instanceof PeerStatus status)) {
            return false;
        }
        envelope.setStatus(encode(status));
        return true;
    }

    private static DigestMessage encode(DomainDigest digest) {
        DigestMessage.Builder wire = DigestMessage.newBuilder()
                .setStatus(encode(digest.status()))
                .setConfirmed(digest.confirmedAgeMillis().isPresent())
                .setConfirmedAgeMillis(digest.confirmedAgeMillis().orElse(0));
        digest.rosters().forEach(roster -> wire.addRosters(encode(roster)));
        return wire.build();
    }

    private static RosterMessage encode(Roster roster) {
        RosterMessage.Builder wire = RosterMessage.newBuilder()
                .setDomain(roster.domain().value())
                .setAgeMillis(roster.ageMillis())
                .setDigest(roster.digest())
                .setWithMembers(roster.members().isPresent());
        for (Roster.Member member : roster.members().orElse(ImmutableList.of())) {
            wire.addMembers(RosterMember.newBuilder()
                    .setContact(encode(member.contact()))
                    .setReady(member.ready())
                    .setHeard(member.heard()));
        }
        return wire.build();
    }

    private static StatusMessage encode(PeerStatus status) {
        StatusMessage.Builder wire = StatusMessage.newBuilder()
                .setContact(encode(status.contact()))
                .setReady(status.ready())
                .setLeaving(status.leaving())
                .setRevision(status.revision())
                .setIntervalMillis(status.intervalMillis());
        for (PeerStatus.Load load : status.loads()) {
            wire.addLoads(encode(load));
        }
        for (PeerStatus.Queued queued : status.queued()) {
            wire.addQueued(QueuedPromptsMessage.newBuilder()
                    .setService(queued.service().value())
                    .setUrgency(queued.urgency())
                    .setPromptTokens(queued.promptTokens()));
        }
        status.loading().forEach(endpoint -> wire.addLoading(EndpointStarts.encode(endpoint)));
        for (PeerStatus.Weights weights : status.weights()) {
            wire.addWeights(EndpointWeights.newBuilder()
                    .setEndpoint(EndpointStarts.encode(weights.endpoint()))
                    .setModel(weights.runs().model())
                    .setVersion(weights.runs().version()));
        }
        return wire.build();
    }

    private static EndpointLoadMessage encode(PeerStatus.Load load) {
        return EndpointLoadMessage.newBuilder()
                .setEndpoint(EndpointStarts.encode(load.endpoint()))
                .setRequests(load.requests())
                .setTokens(load.tokens())
                .setUnreadTokens(load.unreadTokens())
                .setPrefillMillis(load.prefill().totalMillis())
                .setLongestPrefillMillis(load.prefill().longestMillis())
                .build();
    }

    private static PeerStatus.Load decode(EndpointLoadMessage load) {
        return new PeerStatus.Load(
                EndpointStarts.decode(load.getEndpoint()),
                load.getRequests(),
                load.getTokens(),
                load.getUnreadTokens(),
                decodePrefill(load.getPrefillMillis(), load.getLongestPrefillMillis()));
    }

    /** Returns the reported prefill, or none if the values contradict each other. */
    private static RecentPrefill decodePrefill(int totalMillis, int longestMillis) {
        boolean valid = longestMillis > 0 && totalMillis >= longestMillis;
        return valid ? new RecentPrefill(totalMillis, longestMillis) : RecentPrefill.NONE;
    }

    private static Contact encode(EntryContact contact) {
        return Contact.newBuilder()
                .setEntry(contact.entry().value())
                .setIncarnation(contact.incarnation())
                .setDomain(contact.domain().value())
                .setCallers(contact.callers().toString())
                .setPeers(contact.peers().toString())
                .setRelays(contact.relays().map(NetworkAddress::toString).orElse(""))
                .setCapacity(contact.capacity())
                .build();
    }

    @Override
    public Optional<PeerMessage> decode(Envelope envelope) {
        if (envelope.hasLoadNews()) {
            return Optional.of(new LoadUpdate(decode(envelope.getLoadNews())));
        }
        if (envelope.hasIntroduction()) {
            return Optional.of(new EntryIntroduction(decode(envelope.getIntroduction())));
        }
        if (envelope.hasRosterAsk()) {
            return Optional.of(
                    new RosterRequest(FailureDomain.of(envelope.getRosterAsk().getDomain())));
        }
        if (envelope.hasDigest()) {
            return Optional.of(decode(envelope.getDigest()));
        }
        return envelope.hasStatus() ? Optional.of(decode(envelope.getStatus())) : Optional.empty();
    }

    private static DomainDigest decode(DigestMessage wire) {
        return new DomainDigest(
                decode(wire.getStatus()),
                wire.getConfirmed() ? OptionalLong.of(wire.getConfirmedAgeMillis()) : OptionalLong.empty(),
                wire.getRostersList().stream().map(StatusCodec::decode).collect(ImmutableList.toImmutableList()));
    }

    private static Roster decode(RosterMessage wire) {
        FailureDomain domain = FailureDomain.of(wire.getDomain());
        if (!wire.getWithMembers()) {
            return new Roster(domain, wire.getAgeMillis(), wire.getDigest(), Optional.empty());
        }
        return new Roster(
                domain,
                wire.getAgeMillis(),
                wire.getDigest(),
                Optional.of(wire.getMembersList().stream()
                        .map(member ->
                                new Roster.Member(decode(member.getContact()), member.getReady(), member.getHeard()))
                        .collect(ImmutableList.toImmutableList())));
    }

    private static PeerStatus decode(StatusMessage wire) {
        return new PeerStatus(
                decode(wire.getContact()),
                wire.getReady(),
                wire.getLeaving(),
                wire.getRevision(),
                wire.getIntervalMillis(),
                wire.getLoadsList().stream().map(StatusCodec::decode).collect(ImmutableList.toImmutableList()),
                wire.getLoadingList().stream().map(EndpointStarts::decode).collect(ImmutableList.toImmutableList()),
                wire.getWeightsList().stream()
                        .map(weights -> new PeerStatus.Weights(
                                EndpointStarts.decode(weights.getEndpoint()),
                                new ModelWeights(weights.getModel(), weights.getVersion())))
                        .collect(ImmutableList.toImmutableList()),
                wire.getQueuedList().stream()
                        .map(queued -> new PeerStatus.Queued(
                                ServiceName.of(queued.getService()),
                                queued.getUrgency(),
                                Math.max(0, queued.getPromptTokens())))
                        .collect(ImmutableList.toImmutableList()));
    }

    private static EntryContact decode(Contact wire) {
        return new EntryContact(
                EntryId.of(wire.getEntry()),
                wire.getIncarnation(),
                FailureDomain.of(wire.getDomain()),
                NetworkAddress.parse(wire.getCallers()),
                NetworkAddress.parse(wire.getPeers()),
                wire.getRelays().isEmpty() ? Optional.empty() : Optional.of(NetworkAddress.parse(wire.getRelays())),
                wire.getCapacity());
    }
}
