package org.yuccagw.adapters.peer;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.testng.annotations.Test;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.notice.EndpointNews;
import org.yuccagw.wire.PeerProtocol.Envelope;

public class NoticeCodecTest {
    @Test
    public void whatWasToldIsReadAgain() {
        EndpointNews news = new EndpointNews(EndpointIncarnation.of(EndpointId.of("engine-1"), 1_769_712_399_358L));
        Envelope.Builder envelope = Envelope.newBuilder();
        NoticeCodec.create().encode(news, envelope);
        assertEquals(NoticeCodec.create().decode(envelope.build()), Optional.of(news));
    }
}
