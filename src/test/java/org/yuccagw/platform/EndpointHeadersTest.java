package org.yuccagw.platform;

import static org.testng.Assert.assertEquals;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.notice.RateLimit;

public class EndpointHeadersTest {
    @DataProvider
    public Object[][] limits() {
        return new Object[][] {
            {"1.4", RateLimit.of(1.4)},
            {" 12 ", RateLimit.of(12)},
            {"many", Optional.empty()},
            {"-3", Optional.empty()},
            {"NaN", Optional.empty()},
            {null, Optional.empty()}
        };
    }

    @Test(dataProvider = "limits")
    public void theRateLimitOfAnEndpointIsADecimalNumberInItsAnswers(String text, Optional<RateLimit> limit) {
        HeaderMap headers = new HeaderMap();
        if (text != null) {
            headers.put(new HttpString("Server-Limit"), text);
        }
        assertEquals(
                EndpointHeaders.answer(200, headers, RequestId.of("r"), EndpointId.of("e"))
                        .notice()
                        .rateLimit(),
                limit);
    }
}
