package org.yuccagw.adapters.control;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.util.concurrent.Uninterruptibles;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.testng.annotations.Test;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlCore;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueCall;

public class ControlRunnerTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final NetworkAddress ADDRESS = NetworkAddress.of("127.0.0.1", 9);

    /** Requests a reply that throws, and a call in the same step. */
    private record Asked() implements ControlEvent {}

    // Guards against a call that is never sent, and a watch that ends with it, because a reply before it threw.
    @Test
    public void aCallIsSentAlthoughAReplyOfTheSameStepThrows() {
        AtomicInteger calls = new AtomicInteger();
        run((call, answer) -> calls.incrementAndGet(), context -> {
            context.reply(ControlRunnerTest::fail);
            context.call(new KeyValueCall.Read("key"), answer -> {});
        });
        await().atMost(TIMEOUT).until(() -> calls.get() == 1);
    }

    // Guards against a component that waits for the answer to a call that could not be sent.
    @Test
    public void aCallThatCannotBeSentIsAnswered() {
        AtomicInteger answers = new AtomicInteger();
        run(
                (call, answer) -> fail(),
                context -> context.call(new KeyValueCall.Read("key"), answer -> {
                    if (answer instanceof KeyValueAnswer.Lost) {
                        answers.incrementAndGet();
                    }
                }));
        await().atMost(TIMEOUT).until(() -> answers.get() == 1);
    }

    // Guards against an entry whose control thread a StackOverflowError or another Error has ended.
    @Test
    public void theThreadAndTheOtherComponentsGoOnAfterAnError() {
        AtomicInteger handled = new AtomicInteger();
        ControlRunner runner = start(
                (call, answer) -> {},
                asked(context -> {
                    throw new StackOverflowError("thrown on purpose");
                }),
                asked(context -> handled.incrementAndGet()));
        runner.offer(new Asked());
        runner.offer(new Asked());
        await().atMost(TIMEOUT).until(() -> handled.get() == 2);
        assertEquals(runner.failureCount(), 2);
        assertTrue(runner.isProgressing());
    }

    // Guards against an entry that is ready though its control thread hangs.
    @Test
    public void aThreadThatHangsDoesNotProgressUntilItGoesOn() {
        CountDownLatch hanging = new CountDownLatch(1);
        ControlRunner runner =
                start((call, answer) -> {}, asked(context -> Uninterruptibles.awaitUninterruptibly(hanging)));
        await().atMost(TIMEOUT).until(runner::isProgressing);
        runner.offer(new Asked());
        await().atMost(TIMEOUT).until(() -> !runner.isProgressing());
        hanging.countDown();
        await().atMost(TIMEOUT).until(runner::isProgressing);
    }

    // Guards against an entry that is ready though its components could not start.
    @Test
    public void aThreadThatCouldNotStartDoesNotProgress() {
        ControlComponent component = new ControlComponent() {
            @Override
            public void start(ControlContext context) {
                fail();
            }

            @Override
            public void handle(ControlEvent event, ControlContext context) {}
        };
        ControlRunner runner = start((call, answer) -> {}, component);
        await().atMost(TIMEOUT).until(() -> runner.failureCount() == 1);
        await().atMost(TIMEOUT).until(() -> !runner.isProgressing());
    }

    private static void fail() {
        throw new IllegalStateException("thrown on purpose");
    }

    private static void run(KeyValuePort keyValue, Consumer<ControlContext> onAsked) {
        start(keyValue, asked(onAsked)).offer(new Asked());
    }

    private static ControlComponent asked(Consumer<ControlContext> onAsked) {
        return (event, context) -> {
            if (event instanceof Asked) {
                onAsked.accept(context);
            }
        };
    }

    private static ControlRunner start(KeyValuePort keyValue, ControlComponent... components) {
        EntryIdentity identity =
                new EntryIdentity(EntryId.of("entry-1"), 1, FailureDomain.of("a"), ADDRESS, ADDRESS, ADDRESS);
        ControlCore core = ControlCore.of(identity, new SplittableRandom(1), List.of(components));
        ControlRunner runner = ControlRunner.of(core, keyValue, (to, message) -> {}, List.of());
        runner.start();
        return runner;
    }
}
