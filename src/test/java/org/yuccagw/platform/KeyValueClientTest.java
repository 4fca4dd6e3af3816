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
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueCall;
import org.yuccagw.standins.http.ServiceFaults;
import org.yuccagw.standins.keyvalue.KeyValueSettings;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;
import org.yuccagw.standins.keyvalue.WriteFaults;

public class KeyValueClientTest {
    private static final long LONG_SECONDS = 60;

    private KeyValueStandIn service;
    private HttpClient caller;
    private KeyValueClient client;

    @BeforeMethod
    public void startServiceAndClient() throws IOException {
        service = KeyValueStandIn.start(KeyValueSettings.usual());
        caller = HttpClient.start(1);
        client = KeyValueClient.of(caller, service.address());
    }

    @AfterMethod(alwaysRun = true)
    public void stopBoth() {
        caller.stop();
        service.stop();
    }

    @Test
    public void aWriteIsReadBackWithTheRevisionItWasGiven() throws Exception {
        KeyValueAnswer.Written written = (KeyValueAnswer.Written) call(swap("a/b c", KeyValueCall.ABSENT, "õun"));
        KeyValueAnswer.Found found = (KeyValueAnswer.Found) call(new KeyValueCall.Read("a/b c"));
        assertEquals(found.items().size(), 1);
        assertEquals(found.items().get(0).revision(), written.revision());
        assertEquals(new String(found.items().get(0).value(), StandardCharsets.UTF_8), "õun");
    }

    @Test
    public void aSwapOnAnotherRevisionIsAConflictThatNamesTheCurrentOne() throws Exception {
        KeyValueAnswer.Written written = (KeyValueAnswer.Written) call(swap("key", KeyValueCall.ABSENT, "one"));
        assertEquals(call(swap("key", KeyValueCall.ABSENT, "two")), new KeyValueAnswer.Conflict(written.revision()));
        assertEquals(call(new KeyValueCall.Delete("none", 7)), new KeyValueAnswer.Conflict(KeyValueCall.ABSENT));
    }

    @Test
    public void aKeyGoesWithItsLease() throws Exception {
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
    public void aWatchAnswersOnceSomethingIsNewer() throws Exception {
        CompletableFuture<KeyValueAnswer> watched = new CompletableFuture<>();
        client.submit(new KeyValueCall.Watch("w/", 0, Duration.ofSeconds(30)), watched::complete);
        call(swap("w/one", KeyValueCall.ABSENT, "x"));
        KeyValueAnswer.Found found = (KeyValueAnswer.Found) watched.get(LONG_SECONDS, TimeUnit.SECONDS);
        assertEquals(found.items().get(0).key(), "w/one");
    }

    // The service carries out a write, and the connection breaks before the answer. Whoever takes that for a refusal
    // writes again, or tells an operator that the edit failed though it is in force.
    @Test
    public void aWriteWhoseAnswerIsLostIsNeverReportedAsRefused() throws Exception {
        service.order(WriteFaults.dropAnswers("lost", 1));
        assertTrue(call(swap("lost", KeyValueCall.ABSENT, "x")) instanceof KeyValueAnswer.Lost);
        KeyValueAnswer.Found found = (KeyValueAnswer.Found) call(new KeyValueCall.Read("lost"));
        assertEquals(found.items().size(), 1);
    }

    @Test
    public void aWatchFromBeforeTheKeptHistoryIsToldSo() throws Exception {
        KeyValueAnswer.Written first = (KeyValueAnswer.Written) call(swap("h/1", KeyValueCall.ABSENT, "x"));
        call(swap("h/2", KeyValueCall.ABSENT, "x"));
        service.compact();
        assertEquals(
                call(new KeyValueCall.Watch("h/", first.revision(), Duration.ofMillis(20))),
                new KeyValueAnswer.HistoryGone());
    }

    // A service with many endpoints answers a list in pages. Whoever takes the first page for all drops the others.
    @Test
    public void aListOfManyPagesIsReadToItsEnd() throws Exception {
        for (int index = 0; index < 1_200; index++) {
            service.put(String.format("many/%04d", index), new byte[] {1});
        }
        KeyValueAnswer.Found found = (KeyValueAnswer.Found) call(new KeyValueCall.ReadPrefix("many/"));
        assertEquals(found.items().size(), 1_200);
    }

    // The service is gone. Each call would wait for its timeout, and a thousand entries would knock at its door the
    // moment that it tries to come back.
    @Test
    public void whileTheServiceIsGoneFewCallsAreSentAndItIsFoundAgain() throws Exception {
        service.order(new ServiceFaults(true, false, 0));
        for (int attempt = 0; attempt < 50; attempt++) {
            KeyValueAnswer answer = call(new KeyValueCall.Read("key"));
            assertTrue(answer instanceof KeyValueAnswer.Refused || answer instanceof KeyValueAnswer.Lost);
        }
        assertTrue(client.isDown());
        assertTrue(client.callsRefusedHere() > client.callsSent(), client.callsSent() + " were sent");
        service.order(ServiceFaults.none());
        Awaitility.await()
                .atMost(Duration.ofSeconds(LONG_SECONDS))
                .until(() -> call(new KeyValueCall.Read("key")) instanceof KeyValueAnswer.Found);
        assertFalse(client.isDown());
    }

    @Test
    public void callsOverTheEntrysOwnBudgetAreRefusedHere() throws Exception {
        int asked = 3 * KeyValueClient.CALLS_PER_SECOND;
        CompletableFuture<?>[] answers = new CompletableFuture<?>[asked];
        for (int index = 0; index < asked; index++) {
            CompletableFuture<KeyValueAnswer> answer = new CompletableFuture<>();
            client.submit(new KeyValueCall.Read("key"), answer::complete);
            answers[index] = answer;
        }
        CompletableFuture.allOf(answers).get(LONG_SECONDS, TimeUnit.SECONDS);
        assertTrue(client.callsRefusedHere() > 0);
        assertEquals(client.callsSent() + client.callsRefusedHere(), asked);
    }

    private KeyValueAnswer call(KeyValueCall call) throws Exception {
        CompletableFuture<KeyValueAnswer> answer = new CompletableFuture<>();
        client.submit(call, answer::complete);
        return answer.get(LONG_SECONDS, TimeUnit.SECONDS);
    }

    private static KeyValueCall swap(String key, long revision, String value) {
        return new KeyValueCall.CompareAndSwap(key, revision, value.getBytes(StandardCharsets.UTF_8), Optional.empty());
    }
}
