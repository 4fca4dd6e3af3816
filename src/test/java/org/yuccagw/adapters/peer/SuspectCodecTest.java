package org.yuccagw.adapters.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.suspect.LostAttempt;
import org.yuccagw.core.suspect.SuspectMessage;
import org.yuccagw.core.suspect.SuspectPart;
import org.yuccagw.wire.PeerProtocol.Envelope;

public class SuspectCodecTest {
    private static final SuspectPart PART = new SuspectPart("model", "5c1e");
    private static final SuspectPart OTHER_PART = new SuspectPart("model", "91bd");
    private static final EndpointIncarnation ENDPOINT = EndpointIncarnation.of(EndpointId.of("i-7f3a"), 1_000);
    private static final LostAttempt LOST =
            new LostAttempt(ImmutableSet.of(PART, OTHER_PART), Duration.ofMillis(410), Duration.ofMillis(70));

    @DataProvider
    public Object[][] messages() {
        return new Object[][] {
            {new SuspectMessage.CrashReported(ENDPOINT, ImmutableList.of(LOST, LOST))},
            {new SuspectMessage.CrashReported(ENDPOINT, ImmutableList.of())},
            {new SuspectMessage.PartsCleared(ImmutableSet.of(PART, OTHER_PART))},
            {
                new SuspectMessage.PartsRefused(ImmutableList.of(
                        new SuspectMessage.Refused(PART, 3, Duration.ofSeconds(90), Duration.ofMillis(20))))
            },
        };
    }

    @Test(dataProvider = "messages")
    public void decodesWhatItEncoded(SuspectMessage message) {
        Envelope.Builder envelope = Envelope.newBuilder();
        assertTrue(SuspectCodec.create().encode(message, envelope));
        assertEquals(SuspectCodec.create().decode(envelope.build()), Optional.of(message));
    }
}
