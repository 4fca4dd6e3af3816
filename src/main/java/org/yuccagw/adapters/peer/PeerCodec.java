package org.yuccagw.adapters.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.wire.PeerProtocol.Envelope;

/** Encodes and decodes the messages between entries with the first codec that supports the message. */
public final class PeerCodec {
    private final List<BodyCodec> codecs;

    private PeerCodec(List<BodyCodec> codecs) {
        this.codecs = List.copyOf(codecs);
    }

    public static PeerCodec of(List<BodyCodec> codecs) {
        return new PeerCodec(codecs);
    }

    /**
     * Encodes a message from this entry.
     *
     * @throws IllegalArgumentException when no codec supports the message
     */
    public byte[] encode(EntryIdentity self, PeerMessage message) {
        Envelope.Builder envelope =
                Envelope.newBuilder().setFrom(self.entry().value()).setIncarnation(self.incarnation());
        for (BodyCodec codec : codecs) {
            if (codec.encode(message, envelope)) {
                return envelope.build().toByteArray();
            }
        }
        throw new IllegalArgumentException(
                "no codec supports " + message.getClass().getName());
    }

    /**
     * A message from another entry.
     *
     * @param incarnation the start of the sender that sent it
     */
    public record Decoded(PeerReceived received, long incarnation) {}

    /**
     * Decodes a message.
     *
     * @throws YuccagwException of kind PEER_MESSAGE_INVALID when the bytes are no valid message or the body is unknown
     */
    public Decoded decode(byte[] bytes) throws YuccagwException {
        Envelope envelope = parse(bytes);
        if (envelope.getFrom().isBlank()) {
            throw ErrorKind.PEER_MESSAGE_INVALID.raise("unknown", "field 'from' is empty");
        }
        try {
            for (BodyCodec codec : codecs) {
                Optional<PeerMessage> message = codec.decode(envelope);
                if (message.isPresent()) {
                    PeerReceived received = new PeerReceived(EntryId.of(envelope.getFrom()), message.get());
                    return new Decoded(received, envelope.getIncarnation());
                }
            }
        } catch (RuntimeException e) {
            throw ErrorKind.PEER_MESSAGE_INVALID.raiseFrom(e, envelope.getFrom(), e.getMessage());
        }
        throw ErrorKind.PEER_MESSAGE_INVALID.raise(envelope.getFrom(), "no message body known to this version");
    }

    private static Envelope parse(byte[] bytes) throws YuccagwException {
        try {
            return Envelope.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw ErrorKind.PEER_MESSAGE_INVALID.raiseFrom(e, "unknown", e.getMessage());
        }
    }
}
