package org.yuccagw.adapters.control;

import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
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

    private static void fail() {
        throw new IllegalStateException("thrown on purpose");
    }

    private static void run(KeyValuePort keyValue, Consumer<ControlContext> onAsked) {
        ControlComponent component = (event, context) -> {
            if (event instanceof Asked) {
                onAsked.accept(context);
            }
        };
        EntryIdentity identity =
                new EntryIdentity(EntryId.of("entry-1"), 1, FailureDomain.of("a"), ADDRESS, ADDRESS, ADDRESS);
        ControlCore core = ControlCore.of(identity, new SplittableRandom(1), List.of(component));
        ControlRunner runner = ControlRunner.of(core, keyValue, (to, message) -> {}, List.of());
        runner.start();
        runner.offer(new Asked());
    }
}
