package org.yuccagw.adapters.peer;

import java.util.Optional;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.core.shard.ShardOwned;
import org.yuccagw.core.shard.ShardReleased;
import org.yuccagw.wire.PeerProtocol.Envelope;
import org.yuccagw.wire.PeerProtocol.ShardMessage;

/** Encodes the messages of the shards component in protobuf. */
public final class ShardCodec implements BodyCodec {
    private ShardCodec() {}

    public static ShardCodec of() {
        return new ShardCodec();
    }

    @Override
    public boolean encode(PeerMessage message, Envelope.Builder envelope) {
        if (message instanceof ShardOwned owned) {
            envelope.setShard(body(owned.shard(), owned.epoch(), false));
            return true;
        }
        if (message instanceof ShardReleased released) {
            envelope.setShard(body(released.shard(), released.epoch(), true));
            return true;
        }
        return false;
    }

    @Override
    public Optional<PeerMessage> decode(Envelope envelope) throws YuccagwException {
        if (!envelope.hasShard()) {
            return Optional.empty();
        }
        ShardMessage body = envelope.getShard();
        if (body.getShard() < 0) {
            throw ErrorKind.PEER_MESSAGE_INVALID.raise(envelope.getFrom(), "negative shard number " + body.getShard());
        }
        ShardNumber shard = ShardNumber.of(body.getShard());
        return Optional.of(
                body.getReleased()
                        ? new ShardReleased(shard, body.getEpoch())
                        : new ShardOwned(shard, body.getEpoch()));
    }

    private static ShardMessage body(ShardNumber shard, long epoch, boolean released) {
        return ShardMessage.newBuilder()
                .setShard(shard.value())
                .setEpoch(epoch)
                .setReleased(released)
                .build();
    }
}
