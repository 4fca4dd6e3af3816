package org.yuccagw.adapters.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.ControlComponents;
import org.yuccagw.core.catalogue.CatalogueUpdate;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.endpoint.EndpointSightings;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.membership.EntryStatus.State;
import org.yuccagw.core.membership.Gossip;
import org.yuccagw.core.membership.MemberRecord;
import org.yuccagw.core.membership.MemberRecord.Contact;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.core.shard.ShardOwned;
import org.yuccagw.core.shard.ShardReleased;

public class ControlCodecsTest {
    private static final NetworkAddress ADDRESS = NetworkAddress.parse("[fd00::7]:8080");
    private static final EntryIdentity SELF =
            new EntryIdentity(EntryId.of("entry-1"), 5, FailureDomain.of("lac"), ADDRESS, ADDRESS, ADDRESS);

    private final PeerCodec codec = ControlComponents.codec();

    @Test(dataProvider = "messages")
    public void decodesWhatItEncoded(PeerMessage message) throws YuccagwException {
        assertEquals(
                codec.decode(codec.encode(SELF, message)),
                new PeerCodec.Decoded(new PeerReceived(SELF.entry(), message), SELF.incarnation()));
    }

    @Test
    public void catalogueDocumentsKeepTheirBytes() throws YuccagwException {
        byte[] document = {0, -1, 7};
        CatalogueUpdate.FullDocument whole = (CatalogueUpdate.FullDocument)
                codec.decode(codec.encode(SELF, new CatalogueUpdate.FullDocument(3, document)))
                        .received()
                        .message();
        assertEquals(whole.revision(), 3);
        assertEquals(whole.document(), document);
        CatalogueUpdate.Delta delta =
                (CatalogueUpdate.Delta) codec.decode(codec.encode(SELF, new CatalogueUpdate.Delta(4, 3, document)))
                        .received()
                        .message();
        assertEquals(delta.baseRevision(), 3);
        assertEquals(delta.change(), document);
    }

    @Test
    public void damagedMessagesAreDecodedOrRejectedAsInvalid() {
        SplittableRandom random = new SplittableRandom(9);
        byte[] valid = codec.encode(SELF, probe());
        for (int round = 0; round < 5000; round++) {
            byte[] damaged = valid.clone();
            damaged[random.nextInt(damaged.length)] = (byte) random.nextInt(256);
            damaged[random.nextInt(damaged.length)] = (byte) random.nextInt(256);
            try {
                codec.decode(damaged);
            } catch (YuccagwException expected) {
                assertEquals(expected.kind(), ErrorKind.PEER_MESSAGE_INVALID);
            }
        }
        assertThrows(YuccagwException.class, () -> codec.decode(new byte[] {1, 2, 3}));
    }

    @DataProvider
    public Object[][] messages() {
        return new Object[][] {
            {probe()},
            {new Gossip(Gossip.Kind.TABLE, 0, Optional.empty(), ImmutableList.of())},
            {new CatalogueUpdate.Request(17)},
            {new EndpointSightings(ImmutableList.of(new EndpointSightings.Leaving(EndpointId.of("assistant-3"), 8)))},
            {new ShardOwned(ShardNumber.of(3), 99)},
            {new ShardReleased(ShardNumber.of(0), 99)},
        };
    }

    private static Gossip probe() {
        Contact contact = new Contact(FailureDomain.of("ariana"), ADDRESS, ADDRESS, ADDRESS, Optional.of(ADDRESS));
        return new Gossip(
                Gossip.Kind.INDIRECT_PROBE,
                12,
                Optional.of(EntryId.of("entry-9")),
                ImmutableList.of(
                        new MemberRecord(EntryId.of("entry-1"), 5, 6, State.ALIVE, 7, 8, Optional.of(contact)),
                        new MemberRecord(EntryId.of("entry-2"), 1, 2, State.SUSPECT, 0, 8, Optional.empty())));
    }
}
