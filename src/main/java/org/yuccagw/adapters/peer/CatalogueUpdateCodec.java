package org.yuccagw.adapters.peer;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.yuccagw.core.catalogue.CatalogueUpdate;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.wire.PeerProtocol.CatalogueMessage;
import org.yuccagw.wire.PeerProtocol.Envelope;

/** Encodes the messages of the catalogue component in protobuf. */
public final class CatalogueUpdateCodec implements BodyCodec {
    private static final int WHOLE = 0;
    private static final int REQUEST = 1;
    private static final int DELTA = 2;

    private CatalogueUpdateCodec() {}

    public static CatalogueUpdateCodec of() {
        return new CatalogueUpdateCodec();
    }

    @Override
    public boolean encode(PeerMessage message, Envelope.Builder envelope) {
        CatalogueMessage.Builder body = CatalogueMessage.newBuilder();
        if (message instanceof CatalogueUpdate.FullDocument whole) {
            body.setKind(WHOLE).setRevision(whole.revision()).setDocument(ByteString.copyFrom(whole.document()));
        } else if (message instanceof CatalogueUpdate.Request request) {
            body.setKind(REQUEST).setRevision(request.revision());
        } else if (message instanceof CatalogueUpdate.Delta delta) {
            body.setKind(DELTA)
                    .setRevision(delta.revision())
                    .setBaseRevision(delta.baseRevision())
                    .setDocument(ByteString.copyFrom(delta.change()));
        } else {
            return false;
        }
        envelope.setCatalogue(body);
        return true;
    }

    @Override
    public Optional<PeerMessage> decode(Envelope envelope) throws YuccagwException {
        if (!envelope.hasCatalogue()) {
            return Optional.empty();
        }
        CatalogueMessage body = envelope.getCatalogue();
        byte[] document = body.getDocument().toByteArray();
        return Optional.of(
                switch (body.getKind()) {
                    case WHOLE -> new CatalogueUpdate.FullDocument(body.getRevision(), document);
                    case REQUEST -> new CatalogueUpdate.Request(body.getRevision());
                    case DELTA -> new CatalogueUpdate.Delta(body.getRevision(), body.getBaseRevision(), document);
                    default ->
                        throw ErrorKind.PEER_MESSAGE_INVALID.raise(
                                envelope.getFrom(), "catalogue message of unknown kind " + body.getKind());
                });
    }
}
