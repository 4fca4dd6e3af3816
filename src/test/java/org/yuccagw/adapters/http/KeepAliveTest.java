package org.yuccagw.adapters.http;

import static org.testng.Assert.assertEquals;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class KeepAliveTest {
    private static final Duration DEFAULT_LIMIT = Duration.ofSeconds(4);

    @DataProvider
    public Object[][] responses() {
        return new Object[][] {
            {"Connection", "close", Duration.ZERO},
            {"Connection", "Close, X-Own", Duration.ZERO},
            {"Connection", "keep-alive", DEFAULT_LIMIT},
            {"Keep-Alive", "timeout=2", Duration.ofMillis(1_500)},
            {"Keep-Alive", "max=5, timeout=1", Duration.ofMillis(500)},
            {"Keep-Alive", "timeout=75", DEFAULT_LIMIT},
            {"Keep-Alive", "timeout=", DEFAULT_LIMIT},
            {"Keep-Alive", "timeout=99999999999999999999", DEFAULT_LIMIT},
            {"Keep-Alive", "timeout=0", Duration.ofMillis(-500)}
        };
    }

    // Guards against requests lost on a reused connection that the server is closing at that moment.
    @Test(dataProvider = "responses")
    public void aConnectionIsReusedForLessThanTheAnnouncedTimeout(String name, String value, Duration idleLimit) {
        HeaderMap headers = new HeaderMap();
        headers.put(new HttpString(name), value);
        assertEquals(KeepAlive.idleLimit(headers), idleLimit);
    }
}
