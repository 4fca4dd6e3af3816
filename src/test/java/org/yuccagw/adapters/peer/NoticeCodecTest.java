package org.yuccagw.adapters.peer;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.notice.EndpointUpdate;
import org.yuccagw.wire.PeerProtocol.Envelope;

public class NoticeCodecTest {
    private static final EndpointIncarnation ENGINE =
            EndpointIncarnation.of(EndpointId.of("engine-1"), 1_769_712_399_358L);

    @DataProvider
    public Object[][] messages() {
        return new Object[][] {
            {new EndpointUpdate(ENGINE, true, Optional.empty())},
            {new EndpointUpdate(ENGINE, false, Optional.of(Duration.ofMillis(3_250)))}
        };
    }

    @Test(dataProvider = "messages")
    public void decodesWhatItEncoded(EndpointUpdate update) {
        Envelope.Builder envelope = Envelope.newBuilder();
        NoticeCodec.create().encode(update, envelope);
        assertEquals(NoticeCodec.create().decode(envelope.build()), Optional.of(update));
    }
}
