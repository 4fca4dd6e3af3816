package org.yuccagw.adapters.peer;

import java.util.Optional;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.wire.PeerProtocol.Envelope;

/** Encodes the peer messages of one component of the control core as a body of the envelope, and decodes them. */
public interface BodyCodec {
    /** Sets the envelope's body; returns false, without a change, if the message is of another codec's type. */
    boolean encode(PeerMessage message, Envelope.Builder envelope);

    /**
     * Decodes the body; returns empty if the envelope has a body of another codec's type.
     *
     * @throws YuccagwException of kind PEER_MESSAGE_INVALID when a field has an invalid value
     */
    Optional<PeerMessage> decode(Envelope envelope) throws YuccagwException;
}
