package org.yuccagw.core.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueAnswer.Found;
import org.yuccagw.core.port.KeyValueAnswer.InEra;
import org.yuccagw.core.port.KeyValueAnswer.Item;
import org.yuccagw.core.port.KeyValueCall;
import org.yuccagw.core.port.KeyValueCall.CompareAndSwap;
import org.yuccagw.core.port.KeyValueCall.LeaseHandle;
import org.yuccagw.core.port.KeyValueCall.Read;
import org.yuccagw.core.port.KeyValueCall.RenewLease;
import org.yuccagw.core.port.KeyValueCall.RevokeLease;
import org.yuccagw.core.port.KeyValueCall.Watch;
import org.yuccagw.core.port.KeyValueRevision;

public class KeyValueErasTest {
    private static final long FOUR = KeyValueRevision.of(4, 27);
    private static final long FIVE = KeyValueRevision.of(5, 20);
    private static final Read READ = new Read("key");
    private static final CompareAndSwap SWAP = new CompareAndSwap("key", FOUR, new byte[0], Optional.empty());

    private ArrayDeque<Sent> sent;
    private List<KeyValueAnswer> answers;
    private List<Long> restored;
    private KeyValueEras eras;

    private record Sent(KeyValueCall call, Consumer<KeyValueAnswer> answer) {}

    @BeforeMethod
    public void create() {
        sent = new ArrayDeque<>();
        answers = new ArrayList<>();
        restored = new ArrayList<>();
        eras = KeyValueEras.of(
                (call, answer) -> sent.add(new Sent(call, answer)), Runnable::run, era -> restored.add(era));
    }

    private void submit(KeyValueCall call) {
        eras.submit(call, answers::add);
    }

    private KeyValueCall answer(KeyValueAnswer answer) {
        Sent next = sent.remove();
        next.answer().accept(answer);
        return next.call();
    }

    private void seeEra(long era) {
        submit(READ);
        answer(new InEra(era, new Found(List.of(), KeyValueRevision.of(era, 20))));
        answers.clear();
    }

    @Test
    public void revisionsIncreaseOverEras() {
        assertTrue(FIVE > FOUR);
        assertEquals(KeyValueRevision.era(FIVE), 5);
        assertEquals(KeyValueRevision.number(FIVE), 20);
        assertEquals(KeyValueRevision.of(5, 0), KeyValueRevision.NONE);
        assertTrue(KeyValueRevision.of((1L << 21) - 1, (1L << 32) - 1) < 1L << 53);
    }

    @Test
    public void aHigherEraIsAnnouncedOnceAndTheFirstOneIsNot() {
        seeEra(4);
        assertEquals(restored, List.of());
        seeEra(5);
        seeEra(5);
        assertEquals(restored, List.of(5L));
    }

    // Guards against a watch that continues from a number which the service has granted again.
    @Test
    public void aWatchFromAnEarlierEraHasNoHistory() {
        seeEra(4);
        submit(new Watch("", FOUR, Duration.ofSeconds(1)));
        answer(new InEra(5, new Found(List.of(Item.of("key", new byte[0], FIVE)), FIVE)));
        submit(new Watch("", FOUR, Duration.ofSeconds(1)));
        assertTrue(sent.isEmpty());
        assertEquals(answers, List.of(new KeyValueAnswer.HistoryGone(), new KeyValueAnswer.HistoryGone()));
    }

    // Guards against the renewal or the end of another entry's lease, whose number this entry's lease had before.
    @Test
    public void aLeaseOfAnEarlierEraHasLapsed() {
        seeEra(5);
        submit(new RenewLease(new LeaseHandle(4, 7)));
        submit(new RevokeLease(new LeaseHandle(4, 7)));
        assertTrue(sent.isEmpty());
        assertEquals(answers, List.of(new KeyValueAnswer.LeaseLapsed(), new KeyValueAnswer.LeaseLapsed()));
        submit(new RenewLease(new LeaseHandle(5, 7)));
        answer(new InEra(6, new KeyValueAnswer.LeaseRenewed()));
        assertEquals(answers.get(2), new KeyValueAnswer.LeaseLapsed());
    }

    // Guards against a condition that holds for a value which this entry never read.
    @Test
    public void aConditionOnARevisionOfAnEarlierEraNeverHolds() {
        seeEra(5);
        submit(SWAP);
        KeyValueCall made = answer(new InEra(5, new Found(List.of(Item.of("key", new byte[0], FIVE)), FIVE)));
        assertEquals(made, READ);
        assertEquals(answers, List.of(new KeyValueAnswer.Conflict(FIVE)));
    }

    @Test
    public void afterACallWithoutAnAnswerTheEraIsReadBeforeAConditionalWrite() {
        seeEra(4);
        submit(READ);
        answer(new KeyValueAnswer.Lost("reset"));
        answers.clear();
        submit(SWAP);
        assertEquals(answer(new InEra(5, new Found(List.of(), FIVE))), READ);
        assertEquals(answer(new InEra(5, new Found(List.of(), FIVE))), READ);
        assertEquals(answers, List.of(new KeyValueAnswer.Conflict(KeyValueCall.ABSENT)));
    }

    @Test
    public void aConditionalWriteIsSentOnceTheEraIsConfirmed() {
        seeEra(4);
        submit(READ);
        answer(new KeyValueAnswer.Lost("reset"));
        submit(SWAP);
        answer(new InEra(4, new Found(List.of(), FOUR)));
        assertEquals(answer(new InEra(4, new KeyValueAnswer.Written(FOUR + 1))), SWAP);
        assertEquals(answers.get(answers.size() - 1), new KeyValueAnswer.Written(FOUR + 1));
    }

    // Guards against an answer of the earlier era that arrives after one of the later.
    @Test
    public void aLateAnswerOfAnEarlierEraIsLost() {
        seeEra(4);
        submit(new KeyValueCall.GrantLease(Duration.ofSeconds(1)));
        Sent late = sent.remove();
        seeEra(5);
        late.answer().accept(new InEra(4, new KeyValueAnswer.LeaseGranted(new LeaseHandle(4, 9))));
        assertTrue(answers.get(0) instanceof KeyValueAnswer.Lost);
    }
}
