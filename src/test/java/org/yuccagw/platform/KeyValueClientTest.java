package org.yuccagw.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.FixedAnswerServer;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueCall;
import org.yuccagw.core.port.KeyValueRevision;
import org.yuccagw.standins.http.ServiceFaults;
import org.yuccagw.standins.keyvalue.KeyValueSettings;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;
import org.yuccagw.standins.keyvalue.WriteFaults;

public class KeyValueClientTest {
    private static final long TIMEOUT_SECONDS = 60;

    private KeyValueStandIn service;
    private HttpClient httpClient;
    private KeyValueClient client;

    @BeforeMethod
    public void startServiceAndClient() throws IOException {
        service = KeyValueStandIn.start(KeyValueSettings.defaults());
        httpClient = HttpClient.start(1);
        client = KeyValueClient.of(httpClient, service.address());
    }

    @AfterMethod(alwaysRun = true)
    public void stopBoth() {
        httpClient.stop();
        service.stop();
    }

    @Test
    public void aWrittenValueIsReadWithTheRevisionOfTheWrite() throws Exception {
        KeyValueAnswer.Written written =
                (KeyValueAnswer.Written) call(compareAndSwap("a/b c", KeyValueCall.ABSENT, "õun"));
        KeyValueAnswer.Found found = (KeyValueAnswer.Found) call(new KeyValueCall.Read("a/b c"));
        assertEquals(found.items().size(), 1);
        assertEquals(found.items().get(0).revision(), written.revision());
        assertEquals(new String(found.items().get(0).value(), StandardCharsets.UTF_8), "õun");
    }

    @Test
    public void aCompareAndSwapOfAnotherRevisionIsAConflictWithTheCurrentRevision() throws Exception {
        KeyValueAnswer.Written written =
                (KeyValueAnswer.Written) call(compareAndSwap("key", KeyValueCall.ABSENT, "one"));
        assertEquals(
                call(compareAndSwap("key", KeyValueCall.ABSENT, "two")),
                new KeyValueAnswer.Conflict(written.revision()));
        assertEquals(call(new KeyValueCall.Delete("none", 7)), new KeyValueAnswer.Conflict(KeyValueCall.ABSENT));
    }

    @Test
    public void aKeyIsDeletedWithItsLease() throws Exception {
        KeyValueAnswer.LeaseGranted granted =
                (KeyValueAnswer.LeaseGranted) call(new KeyValueCall.GrantLease(Duration.ofMinutes(1)));
        call(new KeyValueCall.CompareAndSwap(
                "leased", KeyValueCall.ABSENT, new byte[] {1}, Optional.of(granted.lease())));
        assertEquals(call(new KeyValueCall.RenewLease(granted.lease())), new KeyValueAnswer.LeaseRenewed());
        call(new KeyValueCall.RevokeLease(granted.lease()));
        assertEquals(call(new KeyValueCall.RenewLease(granted.lease())), new KeyValueAnswer.LeaseLapsed());
        KeyValueAnswer.Found found = (KeyValueAnswer.Found) call(new KeyValueCall.Read("leased"));
        assertTrue(found.items().isEmpty());
    }

    @Test
    public void aWatchAnswersOnceAKeyHasANewerRevision() throws Exception {
        CompletableFuture<KeyValueAnswer> watched = new CompletableFuture<>();
        client.submit(new KeyValueCall.Watch("w/", 0, Duration.ofSeconds(30)), watched::complete);
        call(compareAndSwap("w/one", KeyValueCall.ABSENT, "x"));
        KeyValueAnswer.Found found = (KeyValueAnswer.Found) withoutEra(watched.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(found.items().get(0).key(), "w/one");
    }

    // The service performs a write, and the connection breaks before the answer. If that counted as a refusal, the
    // write
    // would be repeated, or an edit that is in force would be reported to its operator as failed.
    @Test
    public void aWriteWhoseAnswerIsLostIsNeverReportedAsRefused() throws Exception {
        service.injectFaults(WriteFaults.dropAnswers("lost", 1));
        assertTrue(call(compareAndSwap("lost", KeyValueCall.ABSENT, "x")) instanceof KeyValueAnswer.Lost);
        KeyValueAnswer.Found found = (KeyValueAnswer.Found) call(new KeyValueCall.Read("lost"));
        assertEquals(found.items().size(), 1);
    }

    @Test
    public void aWatchFromBeforeTheRetainedHistoryIsAnsweredWithHistoryGone() throws Exception {
        KeyValueAnswer.Written first = (KeyValueAnswer.Written) call(compareAndSwap("h/1", KeyValueCall.ABSENT, "x"));
        call(compareAndSwap("h/2", KeyValueCall.ABSENT, "x"));
        service.compact();
        assertEquals(
                call(new KeyValueCall.Watch("h/", first.revision(), Duration.ofMillis(20))),
                new KeyValueAnswer.HistoryGone());
    }

    // The service returns long lists in pages. If the first page counted as the complete list, all other endpoints
    // would
    // be dropped.
    @Test
    public void allPagesOfAListAreRead() throws Exception {
        for (int index = 0; index < 1_200; index++) {
            service.put(String.format("many/%04d", index), new byte[] {1});
        }
        KeyValueAnswer.Found found = (KeyValueAnswer.Found) call(new KeyValueCall.ReadPrefix("many/"));
        assertEquals(found.items().size(), 1_200);
    }

    // Guards against a list that counts as complete although the service says that there is more.
    @Test
    public void aListThatEndsBeforeItsLastPageIsLost() throws Exception {
        String page = "{\"items\":[],\"storeRevision\":5,\"truncated\":true}";
        assertLost(new KeyValueCall.ReadPrefix("many/"), "200 OK", page);
    }

    // Guards against an answer that broke off before its first byte and counts as an empty one.
    @Test
    public void anAnswerWithoutItsDocumentIsLost() throws Exception {
        assertLost(new KeyValueCall.ReadPrefix("many/"), "200 OK", "");
        assertLost(compareAndSwap("key", 7, "x"), "412 Precondition Failed", "");
    }

    // Guards against losing a lease whose renewal the service confirmed by its status alone.
    @Test
    public void aRenewalNeedsNoDocument() throws Exception {
        KeyValueCall renewal = new KeyValueCall.RenewLease(new KeyValueCall.LeaseHandle(0, 7));
        assertEquals(receive(renewal, "200 OK", ""), new KeyValueAnswer.LeaseRenewed());
    }

    // Guards against a revision that is taken for one of another era.
    @Test
    public void revisionsAndLeasesBelongToTheEraOfTheirAnswer() throws Exception {
        call(compareAndSwap("key", KeyValueCall.ABSENT, "one"));
        service.takeCopy();
        KeyValueAnswer.Found before = (KeyValueAnswer.Found) call(new KeyValueCall.Read("key"));
        service.restoreCopy();
        KeyValueAnswer.Found after = (KeyValueAnswer.Found) call(new KeyValueCall.Read("key"));
        KeyValueAnswer.LeaseGranted granted =
                (KeyValueAnswer.LeaseGranted) call(new KeyValueCall.GrantLease(Duration.ofMinutes(1)));
        assertEquals(KeyValueRevision.number(after.revision()), KeyValueRevision.number(before.revision()));
        assertEquals(KeyValueRevision.era(after.revision()), KeyValueRevision.era(before.revision()) + 1);
        assertEquals(after.items().get(0).revision(), after.revision());
        assertEquals(granted.lease().era(), KeyValueRevision.era(after.revision()));
    }

    @Test
    public void anAnswerWithAnUnreadableEraIsLost() throws Exception {
        assertLost(new KeyValueCall.Read("key"), "200 OK\nStore-Era: x", "{}");
        assertLost(new KeyValueCall.Read("key"), "200 OK\nStore-Era: -1", "{\"storeRevision\":3}");
    }

    private void assertLost(KeyValueCall call, String status, String body) throws Exception {
        KeyValueAnswer received = receive(call, status, body);
        assertTrue(received instanceof KeyValueAnswer.Lost, received.toString());
    }

    private KeyValueAnswer receive(KeyValueCall call, String status, String body) throws Exception {
        try (FixedAnswerServer server = FixedAnswerServer.start("HTTP/1.1 " + status + "\n\n" + body)) {
            CompletableFuture<KeyValueAnswer> answer = new CompletableFuture<>();
            KeyValueClient.of(httpClient, server.address()).submit(call, answer::complete);
            return withoutEra(answer.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    // The service is down. Without a circuit breaker each call would wait for its timeout, and a thousand entries would
    // overload the service as soon as it restarts.
    @Test
    public void whileTheServiceIsDownFewCallsAreSentAndItsRecoveryIsDetected() throws Exception {
        service.injectFaults(new ServiceFaults(true, false, 0));
        for (int attempt = 0; attempt < 50; attempt++) {
            KeyValueAnswer answer = call(new KeyValueCall.Read("key"));
            assertTrue(answer instanceof KeyValueAnswer.Refused || answer instanceof KeyValueAnswer.Lost);
        }
        assertTrue(client.isDown());
        assertTrue(client.callsRefusedLocally() > client.callsSent(), client.callsSent() + " were sent");
        service.injectFaults(ServiceFaults.none());
        Awaitility.await()
                .atMost(Duration.ofSeconds(TIMEOUT_SECONDS))
                .until(() -> call(new KeyValueCall.Read("key")) instanceof KeyValueAnswer.Found);
        assertFalse(client.isDown());
    }

    @Test
    public void callsOverTheEntrysRateLimitAreRefusedLocally() throws Exception {
        int callCount = 3 * KeyValueClient.MAX_CALLS_PER_SECOND;
        CompletableFuture<?>[] answers = new CompletableFuture<?>[callCount];
        for (int index = 0; index < callCount; index++) {
            CompletableFuture<KeyValueAnswer> answer = new CompletableFuture<>();
            client.submit(new KeyValueCall.Read("key"), answer::complete);
            answers[index] = answer;
        }
        CompletableFuture.allOf(answers).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertTrue(client.callsRefusedLocally() > 0);
        assertEquals(client.callsSent() + client.callsRefusedLocally(), callCount);
    }

    private KeyValueAnswer call(KeyValueCall call) throws Exception {
        CompletableFuture<KeyValueAnswer> answer = new CompletableFuture<>();
        client.submit(call, answer::complete);
        return withoutEra(answer.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    private static KeyValueAnswer withoutEra(KeyValueAnswer answer) {
        return answer instanceof KeyValueAnswer.InEra inEra ? inEra.answer() : answer;
    }

    private static KeyValueCall compareAndSwap(String key, long revision, String value) {
        return new KeyValueCall.CompareAndSwap(key, revision, value.getBytes(StandardCharsets.UTF_8), Optional.empty());
    }
}
