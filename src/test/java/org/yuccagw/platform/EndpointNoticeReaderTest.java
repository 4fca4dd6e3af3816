package org.yuccagw.platform;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.notice.EndpointNotice;
import org.yuccagw.core.notice.NoticeReceived;
import org.yuccagw.core.port.BodyEnd;

public class EndpointNoticeReaderTest {
    private static final EndpointIncarnation ENDPOINT = EndpointIncarnation.of(EndpointId.of("e1"), 1);

    @DataProvider
    public Object[][] statuses() {
        return new Object[][] {{200}, {429}, {500}, {503}};
    }

    @Test(dataProvider = "statuses")
    public void leavingIsReadFromAnswersOfAnyStatus(int status) {
        assertEquals(
                EndpointNoticeReader.read(status, headers("Server-Leaving", "1"))
                        .leaving(),
                true);
        assertEquals(
                EndpointNoticeReader.read(status, headers("Server-Leaving", "0"))
                        .leaving(),
                false);
    }

    @DataProvider
    public Object[][] waits() {
        return new Object[][] {
            {503, "3", Optional.of(Duration.ofSeconds(3))},
            {503, " 0.25 ", Optional.of(Duration.ofMillis(250))},
            {429, "1.5", Optional.of(Duration.ofMillis(1_500))},
            {503, "1e12", Optional.of(Duration.ofMinutes(10))},
            {503, "Infinity", Optional.of(Duration.ofMinutes(10))},
            {503, "0", Optional.empty()},
            {503, "-3", Optional.empty()},
            {503, "NaN", Optional.empty()},
            {503, "Thu, 03 Dec 2026 11:35:00 GMT", Optional.empty()},
            {503, "", Optional.empty()},
            {500, "3", Optional.empty()},
            {200, "3", Optional.empty()}
        };
    }

    @Test(dataProvider = "waits")
    public void theBackOffInSecondsIsReadFromRejectionsOnly(int status, String text, Optional<Duration> wait) {
        assertEquals(
                EndpointNoticeReader.read(status, headers("Retry-After", text)).backOff(), wait);
    }

    // The platform introduces a header with a new rule for endpoints. Unless unknown headers are reported, it goes
    // unnoticed until the gateway violates the rule.
    @Test
    public void unknownHeadersOfThePlatformAreReported() {
        HeaderMap headers = headers("Server-Mood", "bad");
        headers.put(new HttpString("yuccagw-request-id"), "r");
        headers.put(new HttpString("Server"), "any");
        headers.put(new HttpString("X-Own"), "kept");
        assertEquals(EndpointNoticeReader.read(200, headers).unknown(), ImmutableList.of("Server-Mood"));
    }

    @Test
    public void theNoticeOfAnotherEndpointAtTheAddressIsIgnored() {
        HeaderMap headers = headers("Server-Leaving", "1");
        NoticeReceived received = new NoticeReceived(ENDPOINT, EndpointNotice.ofLeaving(), false);
        assertEquals(
                EndpointNoticeReader.readCallAnswer(
                        ENDPOINT, new HttpResponse(503, headers, new byte[0], BodyEnd.LENGTH)),
                Optional.of(received));
        headers.put(new HttpString("Yuccagw-Instance-Id"), "e2");
        assertEquals(
                EndpointNoticeReader.readCallAnswer(
                        ENDPOINT, new HttpResponse(503, headers, new byte[0], BodyEnd.LENGTH)),
                Optional.empty());
    }

    private static HeaderMap headers(String name, String value) {
        HeaderMap headers = new HeaderMap();
        headers.put(new HttpString(name), value);
        return headers;
    }
}
