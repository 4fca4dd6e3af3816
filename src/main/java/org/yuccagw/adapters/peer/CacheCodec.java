package org.yuccagw.adapters.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.wire.PeerProtocol.CacheMessage;
import org.yuccagw.wire.PeerProtocol.CachePlacement;
import org.yuccagw.wire.PeerProtocol.Envelope;

/** Encodes the messages of the cache component in protobuf. All blocks of one message are in one store. */
public final class CacheCodec implements BodyCodec {
    private CacheCodec() {}

    public static CacheCodec create() {
        return new CacheCodec();
    }

    @Override
    public boolean encode(PeerMessage message, Envelope.Builder envelope) {
        if (!(message instanceof BlocksPlaced placed)) {
            return false;
        }
        CacheMessage.Builder body = CacheMessage.newBuilder()
                .setWorkspace(placed.scope().workspace().value())
                .setClassName(placed.scope().className())
                .setService(placed.scope().service().value())
                .setVersion(placed.scope().version().value())
                .setStartDepth(placed.startDepth());
        for (StoreUpdate.Found found : placed.blocks()) {
            body.addPlacements(CachePlacement.newBuilder()
                    .setKeyHigh(found.block().key().high())
                    .setKeyLow(found.block().key().low())
                    .setStore(placed.store().value())
                    .setGeneration(found.block().generation())
                    .setLength(found.block().length())
                    .setChecksum(found.block().checksum())
                    .setTier(found.tier() == StoreTier.MEMORY ? 0 : 1));
        }
        envelope.setCache(body);
        return true;
    }

    @Override
    public Optional<PeerMessage> decode(Envelope envelope) throws YuccagwException {
        if (!envelope.hasCache()) {
            return Optional.empty();
        }
        CacheMessage body = envelope.getCache();
        if (body.getPlacementsCount() == 0) {
            throw ErrorKind.PEER_MESSAGE_INVALID.raise(envelope.getFrom(), "cache message without blocks");
        }
        try {
            PromptScope scope = new PromptScope(
                    WorkspaceId.of(body.getWorkspace()),
                    body.getClassName(),
                    ServiceName.of(body.getService()),
                    WeightVersion.of(body.getVersion()));
            StoreId store = StoreId.of(body.getPlacements(0).getStore());
            return Optional.of(new BlocksPlaced(scope, body.getStartDepth(), store, foundBlocks(body)));
        } catch (IllegalArgumentException e) {
            throw ErrorKind.PEER_MESSAGE_INVALID.raiseFrom(e, envelope.getFrom(), e.getMessage());
        }
    }

    private static List<StoreUpdate.Found> foundBlocks(CacheMessage body) {
        List<StoreUpdate.Found> blocks = new ArrayList<>();
        for (CachePlacement placement : body.getPlacementsList()) {
            if (placement.getLength() <= 0 || body.getStartDepth() < 0) {
                throw new IllegalArgumentException(
                        "expected a cache block of a length above 0 at a depth of at least 0");
            }
            StoredBlock block = new StoredBlock(
                    BlockKey.of(placement.getKeyHigh(), placement.getKeyLow()),
                    placement.getGeneration(),
                    placement.getLength(),
                    placement.getChecksum());
            blocks.add(new StoreUpdate.Found(block, placement.getTier() == 0 ? StoreTier.MEMORY : StoreTier.DISK));
        }
        return blocks;
    }
}
