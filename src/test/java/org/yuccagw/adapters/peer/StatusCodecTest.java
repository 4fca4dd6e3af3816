package org.yuccagw.adapters.peer;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.OptionalLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.fleet.ModelWeights;
import org.yuccagw.core.follow.CopyCoverage;
import org.yuccagw.core.follow.FollowMessage;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
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
import org.yuccagw.core.placing.BreakReported;
import org.yuccagw.core.placing.LoadUpdate;
import org.yuccagw.core.placing.RejectionLimitReported;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.wire.PeerProtocol.Envelope;

public class StatusCodecTest {
    private static final EndpointIncarnation ENGINE =
            EndpointIncarnation.of(EndpointId.of("engine-1"), 1_769_712_399_358L);

    @DataProvider
    public Object[][] messages() {
        NetworkAddress address = NetworkAddress.of("10.1.0.2", 7_000);
        PeerStatus.Load load = new PeerStatus.Load(ENGINE, 3, 36_000, 12_000, new RecentPrefill(900, 300));
        PeerStatus status = new PeerStatus(
                new EntryContact(
                        EntryId.of("entry-1"), 5, FailureDomain.of("a"), address, address, Optional.of(address), 75),
                true,
                false,
                17,
                300,
                ImmutableList.of(load),
                ImmutableList.of(ENGINE),
                ImmutableList.of(new PeerStatus.Weights(ENGINE, new ModelWeights("model", 2))),
                ImmutableList.of(new PeerStatus.Queued(ServiceName.of("engines"), 3, 20_000)));
        return new Object[][] {
            {status},
            {new LoadUpdate(load)},
            {new BreakReported("fingerprint", ENGINE)},
            {new RejectionLimitReported(ENGINE, 5, true)},
            {new DomainDigest(status, OptionalLong.of(250), rosters(status.contact()))},
            {new DomainDigest(status, OptionalLong.empty(), ImmutableList.of())},
            {new EntryIntroduction(status.contact())},
            {new RosterRequest(FailureDomain.of("a"))},
            {new FollowMessage.ChangesRequest(7)},
            {new FollowMessage.StillStarting()},
            {new FollowMessage.Changes(false, 7, 9, 40, 8, ImmutableList.of(), Optional.empty())},
            {
                new FollowMessage.Changes(
                        true, 0, 9, 40, 0, ImmutableList.of(), Optional.of(new CopyCoverage(ImmutableList.of(3L), 70)))
            }
        };
    }

    private static ImmutableList<Roster> rosters(EntryContact contact) {
        Roster.Member member = new Roster.Member(contact, true, false);
        Roster digestOnly = new Roster(FailureDomain.of("b"), 350, -9_000_000_000L, Optional.empty());
        Roster complete = new Roster(FailureDomain.of("a"), 0, 12, Optional.of(ImmutableList.of(member)));
        return ImmutableList.of(digestOnly, complete);
    }

    @Test(dataProvider = "messages")
    public void decodesWhatItEncoded(PeerMessage message) throws YuccagwException {
        boolean encodedByFollowCodec = message instanceof BreakReported
                || message instanceof RejectionLimitReported
                || message instanceof FollowMessage;
        BodyCodec codec = encodedByFollowCodec ? FollowCodec.create() : StatusCodec.create();
        Envelope.Builder envelope = Envelope.newBuilder();
        codec.encode(message, envelope);
        assertEquals(codec.decode(envelope.build()), Optional.of(message));
    }
}
