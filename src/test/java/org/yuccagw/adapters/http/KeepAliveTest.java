package org.yuccagw.adapters.http;

import static org.testng.Assert.assertEquals;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class KeepAliveTest {
    private static final Duration USUAL = Duration.ofSeconds(4);

    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            {"Connection", "close", Duration.ZERO},
            {"Connection", "Close, X-Own", Duration.ZERO},
            {"Connection", "keep-alive", USUAL},
            {"Keep-Alive", "timeout=2", Duration.ofMillis(1_500)},
            {"Keep-Alive", "max=5, timeout=1", Duration.ofMillis(500)},
            {"Keep-Alive", "timeout=75", USUAL},
            {"Keep-Alive", "timeout=", USUAL},
            {"Keep-Alive", "timeout=99999999999999999999", USUAL},
            {"Keep-Alive", "timeout=0", Duration.ofMillis(-500)}
        };
    }

    // A connection that the other side is about to close loses the request that is sent on it.
    @Test(dataProvider = "answers")
    public void aConnectionIsKeptForLessThanTheOtherSideSays(String name, String value, Duration limit) {
        HeaderMap answer = new HeaderMap();
        answer.put(new HttpString(name), value);
        assertEquals(KeepAlive.limit(answer), limit);
    }
}
