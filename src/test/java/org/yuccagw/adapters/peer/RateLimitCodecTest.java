package org.yuccagw.adapters.peer;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.notice.RateLimit;
import org.yuccagw.core.ratelimit.RateLimitUpdate;
import org.yuccagw.wire.PeerProtocol.Envelope;

public class RateLimitCodecTest {
    private static final EndpointIncarnation ENGINE =
            EndpointIncarnation.of(EndpointId.of("engine-1"), 1_769_712_399_358L);

    @DataProvider
    public Object[][] messages() {
        return new Object[][] {
            {new RateLimitUpdate(ENGINE, RateLimit.of(1.4), 2_700)}, {new RateLimitUpdate(ENGINE, Optional.empty(), 0)}
        };
    }

    @Test(dataProvider = "messages")
    public void decodesWhatItEncoded(RateLimitUpdate update) {
        Envelope.Builder envelope = Envelope.newBuilder();
        RateLimitCodec.create().encode(update, envelope);
        assertEquals(RateLimitCodec.create().decode(envelope.build()), Optional.of(update));
    }
}
