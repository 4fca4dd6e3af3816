package org.yuccagw.adapters.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.core.cache.BlocksPlaced;
import org.yuccagw.core.cache.PromptScope;
import org.yuccagw.core.cache.StoreTier;
import org.yuccagw.core.cache.StoreUpdate;
import org.yuccagw.core.cache.StoredBlock;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.StoreId;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.wire.PeerProtocol.CacheMessage;
import org.yuccagw.wire.PeerProtocol.Envelope;

public class CacheCodecTest {
    private final CacheCodec codec = CacheCodec.create();

    @Test
    public void decodesWhatItEncoded() throws Exception {
        BlocksPlaced placed = new BlocksPlaced(
                new PromptScope(
                        WorkspaceId.of("statistics"), "notebook", ServiceName.of("assistant"), WeightVersion.of("v1")),
                12,
                StoreId.of("store-0"),
                List.of(
                        new StoreUpdate.Found(new StoredBlock(BlockKey.of(-1, 2), 3, 4_096, 77), StoreTier.MEMORY),
                        new StoreUpdate.Found(new StoredBlock(BlockKey.of(5, -6), 4, 4_096, 78), StoreTier.DISK)));
        Envelope.Builder envelope = Envelope.newBuilder();
        codec.encode(placed, envelope);
        assertEquals(codec.decode(envelope.build()), Optional.of(placed));
    }

    @Test
    public void ignoresMessagesOfOtherComponents() throws Exception {
        assertFalse(codec.decode(Envelope.getDefaultInstance()).isPresent());
    }

    @Test
    public void rejectsMessageWithoutBlocks() {
        Envelope empty = Envelope.newBuilder()
                .setFrom("entry-2")
                .setCache(CacheMessage.getDefaultInstance())
                .build();
        YuccagwException error = expectThrows(YuccagwException.class, () -> codec.decode(empty));
        assertEquals(error.kind(), ErrorKind.PEER_MESSAGE_INVALID);
    }
}
