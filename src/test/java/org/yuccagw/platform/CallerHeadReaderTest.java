package org.yuccagw.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.adapters.serving.CallerHead;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.prompt.PromptPart;

public class CallerHeadReaderTest {
    @Test
    public void aHeadIsReadIntoItsTypes() throws YuccagwException {
        CallerHead head = CallerHeadReader.read(headers(
                "Yuccagw-Deadline-Ms", "5000",
                "Authorization", "Bearer key-1",
                "Last-Event-Id", "12",
                "Yuccagw-Model", "m",
                "Yuccagw-Token-Usage", "1460,80",
                "Yuccagw-Prefix-Hash", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"));
        assertEquals(head.id().value(), "r1");
        assertEquals(head.patience(), Optional.of(Duration.ofSeconds(5)));
        assertEquals(head.bearerKey(), Optional.of("key-1"));
        assertEquals(head.afterEvent(), 12);
        assertEquals(head.prompt().orElseThrow().totalTokens(), 1540);
        assertEquals(head.prompt().orElseThrow().sessionPart(), Optional.of(new PromptPart("91bd3f06", 410)));
        assertEquals(head.prompt().orElseThrow().sharedTokens(), 1210);
    }

    // Two lengths end the body at two places: what lies between them would run at the endpoint as a request that
    // nobody sent, with the rights of whoever comes next on that connection.
    @Test(dataProvider = "ambiguousHeads")
    public void aHeadThatCouldMeanTwoThingsIsRefused(String[] fields) {
        YuccagwException refused = expectThrows(YuccagwException.class, () -> CallerHeadReader.read(headers(fields)));
        assertEquals(refused.kind(), ErrorKind.MALFORMED_HEAD);
    }

    @DataProvider
    public Object[][] ambiguousHeads() {
        return new Object[][] {
            {new String[] {"Content-Length", "5", "Content-Length", "6"}},
            {new String[] {"Content-Length", "5", "Transfer-Encoding", "chunked"}},
            {new String[] {"Transfer-Encoding", "chunked", "Transfer-Encoding", "identity"}},
            {new String[] {"Transfer-Encoding", "gzip, chunked"}},
            {new String[] {"Content-Length", "+5"}},
            {new String[] {"Content-Length", "0x5"}},
            {new String[] {"Transfer-Encoding ", "chunked"}},
            {new String[] {"Yuccagw-Request-Id", "r2"}},
            {new String[] {"Authorization", "Bearer a", "Authorization", "Bearer b"}},
        };
    }

    @Test
    public void whatOnlyTheSystemMaySetIsNotTakenFromCallers() throws YuccagwException {
        HeaderMap forwarded = CallerHeadReader.read(headers(
                        "Authorization", "Bearer key-1",
                        "Yuccagw-Tenant", "somebody",
                        "Yuccagw-Cache-Salt", "theirs",
                        "Yuccagw-Kv-Fetch", "10.0.0.1:80",
                        "Kv-From", "10.0.0.1:80/1",
                        "Yuccagw-Hold", "1",
                        "Yuccagw-Expect-Instance", "i-1",
                        "X-Own", "stays"))
                .forwarded();
        for (String name : new String[] {
            "Authorization", "Yuccagw-Tenant", "Yuccagw-Cache-Salt", "Yuccagw-Kv-Fetch", "Kv-From", "Yuccagw-Hold"
        }) {
            assertFalse(forwarded.contains(name), name);
        }
        assertEquals(forwarded.getFirst("X-Own"), "stays");
        assertEquals(forwarded.getFirst("Yuccagw-Request-Id"), "r1");
    }

    // A caller names the headers of its prompt in Connection, which would strip them on the way: the endpoint would run
    // another request than the one that was sent.
    @Test
    public void aConnectionHeaderCannotStripWhatMakesTheRequest() throws YuccagwException {
        HeaderMap forwarded = CallerHeadReader.read(headers(
                        "Connection", "keep-alive, X-Hop, Yuccagw-Model, Yuccagw-Request-Id",
                        "Yuccagw-Model", "m",
                        "X-Hop", "goes"))
                .forwarded();
        assertTrue(forwarded.contains("Yuccagw-Model"));
        assertTrue(forwarded.contains("Yuccagw-Request-Id"));
        assertFalse(forwarded.contains("X-Hop"));
        assertFalse(forwarded.contains("Connection"));
    }

    private static HeaderMap headers(String... fields) {
        HeaderMap headers = new HeaderMap();
        headers.add(new HttpString("Yuccagw-Request-Id"), "r1");
        headers.add(new HttpString("Host"), "a.example");
        for (int index = 0; index < fields.length; index += 2) {
            headers.add(new HttpString(fields[index]), fields[index + 1]);
        }
        return headers;
    }
}
