package org.yuccagw.adapters.peer;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.notice.EndpointNews;
import org.yuccagw.wire.PeerProtocol.Envelope;

public class NoticeCodecTest {
    private static final EndpointIncarnation ENGINE =
            EndpointIncarnation.of(EndpointId.of("engine-1"), 1_769_712_399_358L);

    @DataProvider
    public Object[][] messages() {
        return new Object[][] {
            {new EndpointNews(ENGINE, true, Optional.empty())},
            {new EndpointNews(ENGINE, false, Optional.of(Duration.ofMillis(3_250)))}
        };
    }

    @Test(dataProvider = "messages")
    public void whatWasToldIsReadAgain(EndpointNews news) {
        Envelope.Builder envelope = Envelope.newBuilder();
        NoticeCodec.create().encode(news, envelope);
        assertEquals(NoticeCodec.create().decode(envelope.build()), Optional.of(news));
    }
}
