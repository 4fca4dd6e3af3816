package org.yuccagw.core.request;

import static org.testng.Assert.assertEquals;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.adapters.engine.PlainResponseListener;
import org.yuccagw.core.port.BodyEnd;

/** Event streams of plain services that end at different moments. */
public class BrokenPlainStreamTest {
    private static final String EVENT = "data: a\n\n";

    @DataProvider
    public Object[][] endings() {
        return new Object[][] {
            {"text/event-stream", EVENT, BodyEnd.CONNECTION, true},
            {"text/event-stream", EVENT + "data: b", BodyEnd.CONNECTION, false},
            {"text/event-stream; charset=utf-8", EVENT + "data: b\n", BodyEnd.LAST_CHUNK, false},
            {"text/event-stream", "", BodyEnd.CONNECTION, false},
            {"text/event-stream", "", BodyEnd.LAST_CHUNK, true},
            {"text/plain", "data: b", BodyEnd.CONNECTION, true},
        };
    }

    // Guards against an event stream of a plain service that looks complete although it ended inside an event.
    @Test(dataProvider = "endings")
    public void onlyAStreamOfWholeEventsIsComplete(String type, String body, BodyEnd end, boolean complete) {
        RecordedEffects effects = new RecordedEffects();
        RequestMachine machine = TestRequests.sentPlain(effects);
        PlainResponseListener listener = PlainResponseListener.of(machine, 1, false);
        HeaderMap headers = new HeaderMap();
        headers.put(Headers.CONTENT_TYPE, type);
        listener.onHead(200, headers);
        listener.onBytes(ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)));
        listener.onEnd(end);
        assertEquals(effects.lines.contains("end"), complete, effects.lines.toString());
    }
}
