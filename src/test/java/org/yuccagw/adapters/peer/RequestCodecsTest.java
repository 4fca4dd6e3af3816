package org.yuccagw.adapters.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.core.admission.LimitName;
import org.yuccagw.core.admission.Share;
import org.yuccagw.core.admission.SharePeerMessage;
import org.yuccagw.core.claim.ClaimAttempt;
import org.yuccagw.core.claim.ClaimEnded.Outcome;
import org.yuccagw.core.claim.ClaimKey;
import org.yuccagw.core.claim.ClaimPeerMessage;
import org.yuccagw.core.claim.ClaimPeerMessage.Decision;
import org.yuccagw.core.claim.ClaimRecord;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.IdempotencyKey;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.core.quarantine.PromptFingerprint;
import org.yuccagw.core.quarantine.QuarantinePeerMessage;
import org.yuccagw.wire.PeerProtocol.ClaimMessage;
import org.yuccagw.wire.PeerProtocol.Envelope;
import org.yuccagw.wire.PeerProtocol.QuarantineMessage;
import org.yuccagw.wire.PeerProtocol.ShareMessage;

public class RequestCodecsTest {
    private static final ShardNumber SHARD = ShardNumber.of(3);
    private static final ClaimAttempt ATTEMPT = new ClaimAttempt(EntryId.of("entry-1"), 17, 4);
    private static final ClaimKey KEY = new ClaimKey(WorkspaceId.of("statistics"), IdempotencyKey.of("label-1"));
    private static final PromptFingerprint FINGERPRINT = new PromptFingerprint("0123abcd");
    private static final LimitName LIMIT = new LimitName("workspace:statistics");
    private static final List<BodyCodec> CODECS = List.of(ClaimCodec.of(), QuarantineCodec.of(), ShareCodec.of());

    @DataProvider
    public Object[][] messages() {
        ClaimRecord wanted = new ClaimRecord(
                KEY, "00ff", RequestId.of("request-1"), ATTEMPT, ClaimRecord.State.RUNNING, 9, Optional.empty());
        return new Object[][] {
            {new ClaimPeerMessage.Request(SHARD, wanted)},
            {new ClaimPeerMessage.Lookup(SHARD, wanted)},
            {new ClaimPeerMessage.Decided(SHARD, ATTEMPT, new Decision.Granted())},
            {
                new ClaimPeerMessage.Decided(
                        SHARD, ATTEMPT, new Decision.Running(EntryId.of("entry-2"), RequestId.of("request-2")))
            },
            {new ClaimPeerMessage.Decided(SHARD, ATTEMPT, new Decision.Refused(ErrorKind.KEY_REUSED, ""))},
            {new ClaimPeerMessage.Decided(SHARD, ATTEMPT, new Decision.Unclaimed())},
            {new ClaimPeerMessage.Decided(SHARD, ATTEMPT, new Decision.Undecided("no owner"))},
            {new ClaimPeerMessage.Ended(SHARD, KEY, ATTEMPT, Outcome.UNKNOWN, Optional.empty())},
            {new ClaimPeerMessage.EndRecorded(SHARD, ATTEMPT)},
            {new ClaimPeerMessage.StatusQuery(SHARD, KEY, ATTEMPT)},
            {
                new QuarantinePeerMessage.Deaths(List.of(new QuarantinePeerMessage.Death(
                        FINGERPRINT, EndpointId.of("engine-1"), 2, Duration.ofMillis(5))))
            },
            {new QuarantinePeerMessage.PermitRequested(FINGERPRINT, 1L << 60, true)},
            {new QuarantinePeerMessage.PermitDecided(FINGERPRINT, 8, true)},
            {new QuarantinePeerMessage.PermitReleased(FINGERPRINT, 8)},
            {new QuarantinePeerMessage.RecordsRequested()},
            {new SharePeerMessage.Ask(SHARD, LIMIT, new Share(2, 0.25), 6, 7, 1, 3)},
            {new SharePeerMessage.Grant(SHARD, 6, LIMIT, new Share(3, 0.5), 8, Duration.ofSeconds(5))},
            {new SharePeerMessage.Present(SHARD)},
        };
    }

    @Test(dataProvider = "messages")
    public void exactlyOneCodecEncodesAMessageAndDecodesItAgain(PeerMessage message) throws YuccagwException {
        Envelope.Builder envelope = Envelope.newBuilder().setFrom("entry-1");
        assertEquals(
                CODECS.stream().filter(codec -> codec.encode(message, envelope)).count(), 1);
        for (BodyCodec codec : CODECS) {
            Optional<PeerMessage> decoded = codec.decode(envelope.build());
            if (decoded.isPresent()) {
                assertEquals(decoded.get(), message);
            }
        }
    }

    @DataProvider
    public Object[][] invalidMessages() {
        return new Object[][] {
            {Envelope.newBuilder().setClaim(ClaimMessage.newBuilder().setKind(77))},
            {Envelope.newBuilder().setClaim(ClaimMessage.newBuilder().setKind(0))},
            {Envelope.newBuilder().setClaim(ClaimMessage.newBuilder().setShard(-1))},
            {Envelope.newBuilder().setQuarantine(QuarantineMessage.newBuilder().setKind(-1))},
            {Envelope.newBuilder().setShare(ShareMessage.newBuilder().setLimit("nobody:x"))},
            {
                Envelope.newBuilder()
                        .setShare(
                                ShareMessage.newBuilder().setLimit("service:x").setFraction(Double.NaN))
            },
        };
    }

    @Test(dataProvider = "invalidMessages")
    public void rejectsInvalidMessages(Envelope.Builder envelope) {
        for (BodyCodec codec : CODECS) {
            Envelope message = envelope.setFrom("entry-9").build();
            boolean supported = (codec instanceof ClaimCodec && message.hasClaim())
                    || (codec instanceof QuarantineCodec && message.hasQuarantine())
                    || (codec instanceof ShareCodec && message.hasShare());
            if (supported) {
                assertThrows(YuccagwException.class, () -> codec.decode(message));
            }
        }
    }
}
