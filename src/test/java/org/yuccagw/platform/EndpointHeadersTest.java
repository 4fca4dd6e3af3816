package org.yuccagw.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.core.forward.EndpointAnswerHead;
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
    public void theRateLimitOfAnEndpointIsReadAsADecimalNumber(String text, Optional<RateLimit> limit) {
        HeaderMap headers = new HeaderMap();
        if (text != null) {
            headers.put(new HttpString("Server-Limit"), text);
        }
        assertEquals(
                EndpointHeaders.readAnswer(200, headers, RequestId.of("r"), EndpointId.of("e"))
                        .notice()
                        .rateLimit(),
                limit);
    }

    @DataProvider
    public Object[][] repeatedMarks() {
        return new Object[][] {
            {"Yuccagw-Request-Id", "r"}, {"Yuccagw-Request-Id", "other"}, {"Yuccagw-Response-Seal", "seal"}
        };
    }

    // Guards against an answer that is taken for this request's although another reader sees another one's mark.
    @Test(dataProvider = "repeatedMarks")
    public void anAnswerThatStatesItsMarksTwiceIsNotGenuine(String name, String second) {
        HeaderMap headers = markedHeaders();
        assertTrue(isGenuine(headers));
        headers.add(new HttpString(name), second);
        assertFalse(isGenuine(headers));
    }

    @DataProvider
    public Object[][] versions() {
        return new Object[][] {{"3x"}, {""}, {"3.0"}, {"3, 4"}, {"99999999999999999999"}};
    }

    // Guards against a stream that goes on with other weights because those of its head can't be read.
    @Test(dataProvider = "versions")
    public void anAnswerWhoseWeightVersionCannotBeReadIsRefused(String version) {
        HeaderMap headers = markedHeaders();
        headers.put(new HttpString("Yuccagw-Weight-Versions"), version);
        expectThrows(UncheckedIOException.class, () -> isGenuine(headers));
    }

    private static HeaderMap markedHeaders() {
        HeaderMap headers = new HeaderMap();
        headers.put(new HttpString("Yuccagw-Request-Id"), "r");
        headers.put(new HttpString("Yuccagw-Response-Seal"), "seal");
        return headers;
    }

    private static boolean isGenuine(HeaderMap headers) {
        EndpointAnswerHead head = EndpointHeaders.readAnswer(200, headers, RequestId.of("r"), EndpointId.of("e"));
        return head.forThisRequest() && head.sealed();
    }
}
